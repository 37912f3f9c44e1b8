//! Configuration that a member has received: its text, which the member forwards, and its parsed form.

use super::message::ConfigurationDelta;
use crate::error::ConfigurationError;
use crate::json::parse_configuration;
use crate::update::apply_update;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;

/// A configuration and its JSON text.
pub(super) struct ParsedConfiguration {
    pub(super) text: Arc<RawValue>,
    pub(super) configuration: Arc<Configuration>,
}

impl ParsedConfiguration {
    /// Parses a configuration that must have this version.
    ///
    /// # Errors
    /// If the text cannot be parsed or has another version.
    pub(super) fn parse(
        text: Arc<RawValue>,
        version: u64,
    ) -> Result<ParsedConfiguration, ConfigurationError> {
        let configuration = parse_configuration(text.get())?;
        if configuration.version != version {
            let found = configuration.version;
            let cause = format!("version is {found} in place of {version}");
            return Err(ConfigurationError::Malformed { cause });
        }
        Ok(ParsedConfiguration {
            text,
            configuration: Arc::new(configuration),
        })
    }

    /// Applies an update to `base` and parses the resulting configuration.
    ///
    /// # Errors
    /// If the update or its result cannot be parsed, or the result has another version.
    pub(super) fn apply(
        base: &RawValue,
        delta: &ConfigurationDelta,
    ) -> Result<ParsedConfiguration, ConfigurationError> {
        let text = apply_update(base.get(), delta.update.get())?;
        let text = RawValue::from_string(text).map_err(|error| ConfigurationError::Malformed {
            cause: error.to_string(),
        })?;
        ParsedConfiguration::parse(text.into(), delta.version)
    }
}
