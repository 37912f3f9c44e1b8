//! Reading of configurations and updates from JSON. Types are checked here, what holds between fields in [`crate::validation`].

use crate::error::ConfigurationError;
use crate::invalid_field;
use serde::de::DeserializeOwned;
use streamusher_protocol::config::{Configuration, Update};

/// What JSON allows around a value.
pub(crate) const WHITE_SPACE: [char; 4] = [' ', '\t', '\r', '\n'];

/// Reads a whole configuration.
///
/// # Errors
/// [`ConfigurationError::Unreadable`] where it is no JSON, [`ConfigurationError::Field`] where a field has the wrong type.
pub fn parse_configuration(body: &str) -> Result<Configuration, ConfigurationError> {
    parse(body)
}

/// Reads an update.
///
/// # Errors
/// As for [`parse_configuration`].
pub fn parse_update(body: &str) -> Result<Update, ConfigurationError> {
    parse(body)
}

fn parse<T: DeserializeOwned>(body: &str) -> Result<T, ConfigurationError> {
    check_object(body)?;
    serde_json::from_str(body).map_err(|error| explain(body, &error))
}

/// Refuses lists, which the parser would take for the fields in their order.
fn check_object(body: &str) -> Result<(), ConfigurationError> {
    if body.trim_start_matches(WHITE_SPACE).starts_with('[') {
        return Err(invalid_field::no_object("the body", body));
    }
    Ok(())
}

/// Makes the parser's error into one that names the field, where the text is JSON at all.
pub(crate) fn explain(body: &str, error: &serde_json::Error) -> ConfigurationError {
    let unreadable = || ConfigurationError::Unreadable {
        cause: invalid_field::shortened(&error.to_string()),
    };
    match serde_json::from_str(body) {
        Ok(value) => invalid_field::locate(&value).unwrap_or_else(unreadable),
        Err(_) => unreadable(),
    }
}
