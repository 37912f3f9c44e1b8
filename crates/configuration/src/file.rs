//! Checking of a configuration file given on the command line, in JSON or TOML.

use crate::error::ConfigurationError;
use crate::validation::check;
use figment::providers::{Format, Serialized, Toml};
use figment::Figment;
use std::path::Path;
use streamusher_protocol::config::Configuration;

/// Reads and checks a configuration file, `*.json` or `*.toml`, by the same checks as an operator's order.
///
/// # Errors
/// Where it cannot be read or is invalid.
pub fn check_file(path: &Path) -> Result<Configuration, ConfigurationError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigurationError::File {
        path: path.to_owned(),
        cause: error.to_string(),
    })?;
    let configuration = match path.extension().and_then(|extension| extension.to_str()) {
        Some("json") => read_json(&text)?,
        Some("toml") => extract(Figment::from(Toml::string(&text)))?,
        _ => {
            return Err(ConfigurationError::UnknownFormat {
                path: path.to_owned(),
            })
        }
    };
    check(&configuration, 0)?;
    Ok(configuration)
}

fn read_json(text: &str) -> Result<Configuration, ConfigurationError> {
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|error| ConfigurationError::Unreadable {
            cause: error.to_string(),
        })?;
    extract(Figment::from(Serialized::defaults(value)))
}

fn extract(figment: Figment) -> Result<Configuration, ConfigurationError> {
    figment.extract().map_err(|error| explain(&figment, &error))
}

/// Names the field at fault, where the text could be read at all.
fn explain(figment: &Figment, error: &figment::Error) -> ConfigurationError {
    let unreadable = || ConfigurationError::Unreadable {
        cause: error.to_string(),
    };
    match figment.extract::<serde_json::Value>() {
        Ok(value) => crate::invalid_field::locate(&value).unwrap_or_else(unreadable),
        Err(_) => unreadable(),
    }
}
