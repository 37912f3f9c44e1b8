//! Reading the settings file, and saying what is wrong with it.

use super::ProcessSettings;
use figment::providers::{Format, Toml};
use figment::value::{Num, Value};
use figment::Figment;
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const PATH_VARIABLE: &str = "STREAMUSHER_SETTINGS";

/// Where the file is without the variable.
pub const DEFAULT_PATH: &str = "/etc/streamusher/settings.toml";

/// Why there are no settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {path}: {reason}: name a file that can be read in {PATH_VARIABLE}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// The file is not TOML.
    #[error("settings file {path}: {reason}: write it as TOML")]
    Syntax {
        /// The file.
        path: String,
        /// What is wrong, and where.
        reason: String,
    },
    /// A key is missing or its value is of no use.
    #[error("settings file {path}: key {key} = {value}: {remedy}")]
    Key {
        /// The file.
        path: String,
        /// The key, with its table.
        key: String,
        /// What is there.
        value: String,
        /// What to do.
        remedy: String,
    },
}

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
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: name.clone(),
        reason: error.to_string(),
    })?;
    parse(&text, &name)
}

/// Reads the file again, as after SIGHUP, and hands it to `take_over`. A file that is wrong is told and changes nothing.
pub fn reload(take_over: impl FnOnce(&ProcessSettings)) {
    match load() {
        Ok(settings) => {
            log::info!("settings read again: seeds {:?}", settings.seeds);
            take_over(&settings);
        }
        Err(error) => log::error!("{error}; the former settings stay"),
    }
}

/// Reads the text of a settings file; `path` is its name in errors.
///
/// # Errors
/// See [`SettingsError`].
pub fn parse(text: &str, path: &str) -> Result<ProcessSettings, SettingsError> {
    let figment = Figment::from(Toml::string(text));
    let settings = figment
        .extract::<ProcessSettings>()
        .map_err(|error| key_error(path, &figment, error))?;
    check(&settings, path)?;
    Ok(settings)
}

fn key_error(path: &str, figment: &Figment, error: figment::Error) -> SettingsError {
    use figment::error::Kind;
    let path = path.to_owned();
    let key = error.path.join(".");
    if let Kind::MissingField(field) = &error.kind {
        let key = if key.is_empty() {
            field.to_string()
        } else {
            format!("{key}.{field}")
        };
        return SettingsError::Key {
            path,
            key,
            value: "(missing)".to_owned(),
            remedy: "add it".to_owned(),
        };
    }
    if key.is_empty() {
        return SettingsError::Syntax {
            path,
            reason: error.kind.to_string(),
        };
    }
    let value =
        value_at(figment, &error.path).map_or("(unknown)".to_owned(), |value| shown(&value));
    SettingsError::Key {
        path,
        key,
        value,
        remedy: format!("{}: write a value of that kind", error.kind),
    }
}

/// The value at a path of keys and, in arrays, places.
fn value_at(figment: &Figment, path: &[String]) -> Option<Value> {
    let (first, rest) = path.split_first()?;
    let mut value = figment.find_value(first).ok()?;
    for step in rest {
        value = match value {
            Value::Array(_, items) => items.into_iter().nth(step.parse().ok()?)?,
            Value::Dict(_, mut fields) => fields.remove(step)?,
            _ => return None,
        };
    }
    Some(value)
}

fn shown(value: &Value) -> String {
    match value {
        Value::String(_, text) => format!("{text:?}"),
        Value::Bool(_, value) => value.to_string(),
        Value::Num(_, Num::F64(value)) => value.to_string(),
        Value::Num(_, number) => number
            .to_i128()
            .map_or("(a number)".to_owned(), |value| value.to_string()),
        Value::Array(_, items) => format!(
            "[{}]",
            items.iter().map(shown).collect::<Vec<_>>().join(", ")
        ),
        _ => "(a table)".to_owned(),
    }
}

fn check(settings: &ProcessSettings, path: &str) -> Result<(), SettingsError> {
    let wrong = |key: &str, value: String, remedy: &str| {
        Err(SettingsError::Key {
            path: path.to_owned(),
            key: key.to_owned(),
            value,
            remedy: remedy.to_owned(),
        })
    };
    let [first, last] = settings.port_range;
    if first == 0 || last < first {
        return wrong(
            "port_range",
            format!("[{first}, {last}]"),
            "give a first port above 0 and a last one not below it",
        );
    }
    if settings.seeds.is_empty() {
        return wrong(
            "seeds",
            "[]".to_owned(),
            "name at least one control address as ip:port",
        );
    }
    if settings.heartbeat_ms == 0 {
        return wrong(
            "heartbeat_ms",
            "0".to_owned(),
            "give the time between two heartbeats, above 0",
        );
    }
    if settings.bounds.hold_max_ms == 0 {
        return wrong(
            "bounds.hold_max_ms",
            "0".to_owned(),
            "give how long a worker holds runs, above 0",
        );
    }
    Ok(())
}
