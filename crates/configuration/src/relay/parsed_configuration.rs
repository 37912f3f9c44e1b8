//! A configuration as a member receives it: its text, which it sends on, and what the text means.

use super::message::ConfigurationDelta;
use crate::error::ConfigurationError;
use crate::json::parse_configuration;
use crate::update::apply_update;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;

/// A configuration and its text.
pub(super) struct ParsedConfiguration {
    pub(super) text: Arc<RawValue>,
    pub(super) configuration: Arc<Configuration>,
}

impl ParsedConfiguration {
    /// Parses a configuration that is to be of this version.
    ///
    /// # Errors
    /// Where it cannot be read or is of another version.
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

    /// The configuration that an update makes of `base`.
    ///
    /// # Errors
    /// Where the update or its result cannot be read, or the result is of another version.
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
