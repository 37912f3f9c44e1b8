//! The settings file on disk: loading it at the start, and reloading it.

use super::{parse, ProcessSettings, SettingsError};
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const PATH_VARIABLE: &str = "STREAMUSHER_SETTINGS";

/// Where the file is without the variable.
pub const DEFAULT_PATH: &str = "/etc/streamusher/settings.toml";

/// Reads the file that [`PATH_VARIABLE`] names.
///
/// # Errors
/// See [`SettingsError`].
pub fn load() -> Result<ProcessSettings, SettingsError> {
    let path = std::env::var_os(PATH_VARIABLE).map_or(PathBuf::from(DEFAULT_PATH), PathBuf::from);
    load_from(&path)
}

/// Reads the file at `path`.
///
/// # Errors
/// See [`SettingsError`].
pub fn load_from(path: &Path) -> Result<ProcessSettings, SettingsError> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&text, &name),
        Err(reason) => Err(SettingsError::Unreadable { path: name, reason }),
    }
}

/// Reads the file again, as after SIGHUP, and passes it to `apply`. A file that cannot be used is logged and has no effect.
pub fn reload(apply: impl FnOnce(&ProcessSettings)) {
    match load() {
        Ok(settings) => {
            log::info!("settings reloaded: seeds {:?}", settings.seeds);
            apply(&settings);
        }
        Err(error) => log::error!("settings not reloaded, keeping the former ones: {error}"),
    }
}
