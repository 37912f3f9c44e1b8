//! Validation of a JSON or TOML configuration file that is named on the command line.

use crate::error::ConfigurationError;
use crate::invalid_field::locate_invalid_field;
use crate::validation::validate;
use figment::providers::{Format, Serialized, Toml};
use figment::Figment;
use std::path::Path;
use streamusher_protocol::config::Configuration;

/// Reads a configuration file, `*.json` or `*.toml`, and validates it by the same checks as an operator's
/// change.
///
/// # Errors
/// If the file cannot be read or is invalid.
pub fn check_file(path: &Path) -> Result<Configuration, ConfigurationError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigurationError::UnreadableFile {
            path: path.to_owned(),
            cause: error.to_string(),
        })?;
    let configuration = match path.extension().and_then(|extension| extension.to_str()) {
        Some("json") => read_json(&text)?,
        Some("toml") => extract(&Figment::from(Toml::string(&text)))?,
        _ => {
            return Err(ConfigurationError::UnknownFileFormat {
                path: path.to_owned(),
            })
        }
    };
    validate(&configuration, 0)?;
    Ok(configuration)
}

fn read_json(text: &str) -> Result<Configuration, ConfigurationError> {
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|error| ConfigurationError::Malformed {
            cause: error.to_string(),
        })?;
    extract(&Figment::from(Serialized::defaults(value)))
}

fn extract(figment: &Figment) -> Result<Configuration, ConfigurationError> {
    figment
        .extract()
        .map_err(|error| to_configuration_error(figment, &error))
}

/// Returns the error that names the invalid field, or a general one if the text cannot be parsed at all.
fn to_configuration_error(figment: &Figment, error: &figment::Error) -> ConfigurationError {
    let malformed = || ConfigurationError::Malformed {
        cause: error.to_string(),
    };
    match figment.extract::<serde_json::Value>() {
        Ok(value) => locate_invalid_field(&value).unwrap_or_else(malformed),
        Err(_) => malformed(),
    }
}
