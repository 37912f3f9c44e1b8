//! Checks of settings beyond the types of their keys.

use super::{DeploymentLimits, ProcessSettings, SettingsError};

/// Validates parsed settings. `path` identifies the file in error messages.
pub(super) fn validate(settings: &ProcessSettings, path: &str) -> Result<(), SettingsError> {
    let [first, last] = settings.port_range;
    if first == 0 || last < first {
        return Err(key_error(
            path,
            "port_range",
            format!("[{first}, {last}]"),
            "give a first port above 0 and a last one not below it",
        ));
    }
    if settings.seeds.is_empty() {
        return Err(key_error(
            path,
            "seeds",
            "[]".to_owned(),
            "name at least one control address as ip:port",
        ));
    }
    if settings.heartbeat_ms == 0 {
        return Err(key_error(
            path,
            "heartbeat_ms",
            "0".to_owned(),
            "give the time between two heartbeats, above 0",
        ));
    }
    if settings.bounds.hold_max_ms == 0 {
        return Err(key_error(
            path,
            "bounds.hold_max_ms",
            "0".to_owned(),
            "give how long a worker holds runs, above 0",
        ));
    }
    validate_bounds(&settings.bounds, path)
}

/// Checks that time limits in seconds are finite and not negative. Limits in milliseconds are integers by
/// their type.
fn validate_bounds(bounds: &DeploymentLimits, path: &str) -> Result<(), SettingsError> {
    let seconds = [
        ("bounds.seed_lag_s", bounds.seed_lag_s),
        ("bounds.reuse_after_s", bounds.reuse_after_s),
        ("bounds.catch_up_s", bounds.catch_up_s),
        ("bounds.grace_s", bounds.grace_s),
        ("bounds.recovery_s", bounds.recovery_s),
        ("bounds.finish_s", bounds.finish_s),
        ("bounds.status_s", bounds.status_s),
        ("bounds.save_s", bounds.save_s),
    ];
    for (key, value) in seconds {
        if !(value.is_finite() && value >= 0.0) {
            let remedy = "give a time in seconds, from 0";
            return Err(key_error(path, key, value.to_string(), remedy));
        }
    }
    Ok(())
}

fn key_error(path: &str, key: &str, value: String, remedy: &str) -> SettingsError {
    SettingsError::Key {
        path: path.to_owned(),
        key: key.to_owned(),
        value,
        remedy: remedy.to_owned(),
    }
}
