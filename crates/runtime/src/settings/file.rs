//! Loads the settings file at start-up and reloads it on request.

use super::{parse, ProcessSettings, SettingsError};
use std::path::{Path, PathBuf};

/// The environment variable that names the settings file.
pub const PATH_VARIABLE: &str = "STREAMUSHER_SETTINGS";

/// Path of the settings file if the environment variable is not set.
pub const DEFAULT_PATH: &str = "/etc/streamusher/settings.toml";

/// Loads the settings file that [`PATH_VARIABLE`] names, or else the one at [`DEFAULT_PATH`].
///
/// # Errors
/// Returns a [`SettingsError`] if the file cannot be read or its content is invalid.
pub fn load() -> Result<ProcessSettings, SettingsError> {
    let path = std::env::var_os(PATH_VARIABLE).map_or(PathBuf::from(DEFAULT_PATH), PathBuf::from);
    load_from(&path)
}

/// Loads the settings file at `path`.
///
/// # Errors
/// Returns a [`SettingsError`] if the file cannot be read or its content is invalid.
pub fn load_from(path: &Path) -> Result<ProcessSettings, SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&text, &name),
        Err(reason) => Err(SettingsError::Unreadable { path: name, reason }),
    }
}

/// Reloads the settings file, for example after SIGHUP, and passes the settings to `apply`. If the file is
/// invalid, the error is logged and the current settings stay in effect.
pub fn reload(apply: impl FnOnce(&ProcessSettings)) {
    match load() {
        Ok(settings) => {
            log::info!("settings reloaded: seeds {:?}", settings.seeds);
            apply(&settings);
        }
        Err(error) => log::error!("settings not reloaded, keeping the former ones: {error}"),
    }
}
