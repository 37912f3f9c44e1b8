//! Parsing of configurations and updates from JSON. Types are checked here, constraints between fields in
//! [`crate::validation`].

use crate::error::ConfigurationError;
use crate::invalid_field::{locate_invalid_field, not_an_object, shortened};
use serde::de::DeserializeOwned;
use streamusher_protocol::config::{Configuration, Update};

/// Whitespace that JSON allows around a value.
pub(crate) const JSON_WHITESPACE: [char; 4] = [' ', '\t', '\r', '\n'];

/// Parses a whole configuration.
///
/// # Errors
/// [`ConfigurationError::Malformed`] if the body is not JSON, [`ConfigurationError::InvalidField`] if a field
/// has the wrong type.
pub(crate) fn parse_configuration(body: &str) -> Result<Configuration, ConfigurationError> {
    parse_object(body)
}

/// Parses an update.
///
/// # Errors
/// The same as those of [`parse_configuration`].
pub(crate) fn parse_update(body: &str) -> Result<Update, ConfigurationError> {
    parse_object(body)
}

fn parse_object<T: DeserializeOwned>(body: &str) -> Result<T, ConfigurationError> {
    reject_array(body)?;
    serde_json::from_str(body).map_err(|error| to_configuration_error(body, &error))
}

/// Rejects an array, which the parser would accept as a list of the fields in their declared order.
fn reject_array(body: &str) -> Result<(), ConfigurationError> {
    if body.trim_start_matches(JSON_WHITESPACE).starts_with('[') {
        return Err(not_an_object("the body", body));
    }
    Ok(())
}

/// Converts the parser's error into one that names the invalid field, if the text is JSON at all.
pub(crate) fn to_configuration_error(body: &str, error: &serde_json::Error) -> ConfigurationError {
    let malformed = || ConfigurationError::Malformed {
        cause: shortened(&error.to_string()),
    };
    match serde_json::from_str(body) {
        Ok(value) => locate_invalid_field(&value).unwrap_or_else(malformed),
        Err(_) => malformed(),
    }
}
