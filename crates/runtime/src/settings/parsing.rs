//! Parses a settings file, with errors that name the key, its value and a remedy.

use super::validation::validate;
use super::{ProcessSettings, SettingsError};
use figment::error::Kind;
use figment::providers::{Format, Toml};
use figment::value::{Num, Value};
use figment::Figment;

/// Parses the text of a settings file. `path` identifies the file in error messages.
///
/// # Errors
/// Returns a [`SettingsError`] if the text is not valid TOML, or if a key is missing or has an invalid value.
pub fn parse(text: &str, path: &str) -> Result<ProcessSettings, SettingsError> {
    let figment = Figment::from(Toml::string(text));
    let settings = figment
        .extract::<ProcessSettings>()
        .map_err(|error| settings_error(path, &figment, &error))?;
    validate(&settings, path)?;
    Ok(settings)
}

fn settings_error(path: &str, figment: &Figment, error: &figment::Error) -> SettingsError {
    let path = path.to_owned();
    let key = error.path.join(".");
    if let Kind::MissingField(field) = &error.kind {
        return missing_key(path, &key, field);
    }
    if key.is_empty() {
        return SettingsError::Syntax {
            path,
            reason: error.kind.to_string(),
        };
    }
    let value = value_at(figment, &error.path);
    SettingsError::Key {
        path,
        key,
        value: value.map_or("(unknown)".to_owned(), |value| display(&value)),
        remedy: format!("{}: write a value of that kind", error.kind),
    }
}

fn missing_key(path: String, table: &str, field: &str) -> SettingsError {
    let key = if table.is_empty() {
        field.to_owned()
    } else {
        format!("{table}.{field}")
    };
    SettingsError::Key {
        path,
        key,
        value: "(missing)".to_owned(),
        remedy: "add it".to_owned(),
    }
}

/// Returns the value at a path of table keys and array indexes.
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

/// Formats a value as it is written in the file.
fn display(value: &Value) -> String {
    match value {
        Value::String(_, text) => format!("{text:?}"),
        Value::Bool(_, value) => value.to_string(),
        Value::Num(_, Num::F64(value)) => value.to_string(),
        Value::Num(_, number) => number
            .to_i128()
            .map_or("(a number)".to_owned(), |value| value.to_string()),
        Value::Array(_, items) => {
            let items: Vec<String> = items.iter().map(display).collect();
            format!("[{}]", items.join(", "))
        }
        _ => "(a table)".to_owned(),
    }
}
