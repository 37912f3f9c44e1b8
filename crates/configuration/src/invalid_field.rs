//! Locates the invalid field of a body that is JSON but not a valid configuration. Runs only after parsing
//! has failed, because the parser's own error does not contain the path of the field.
//!
//! A field is invalid if an otherwise valid item cannot be parsed with it.

use crate::error::ConfigurationError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use streamusher_protocol::config::{Configuration, Limits, Route, Service};

/// Maximum length of a value or cause in an error message, in characters. Messages are included in responses
/// and logs.
const MAX_SHOWN_CHARS: usize = 160;

/// Returns the error for the first invalid field of a configuration or an update, or `None` if no single
/// field is invalid.
pub(crate) fn locate_invalid_field(body: &Value) -> Option<ConfigurationError> {
    let Value::Object(fields) = body else {
        return Some(not_an_object("the body", &body.to_string()));
    };
    locate_in_lists("", fields)
        .or_else(|| locate_in_upsert(fields.get("upsert")?))
        .or_else(|| locate_in_remove(fields.get("remove")?))
        .or_else(|| locate_in_fields::<Configuration>("", fields))
}

/// Returns the error for a text that should be an object.
pub(crate) fn not_an_object(field: &str, text: &str) -> ConfigurationError {
    ConfigurationError::InvalidField {
        field: shortened(field),
        value: shortened(text),
        cause: "expected an object".into(),
    }
}

/// Truncates a text to the length at which error messages show it.
pub(crate) fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn locate_in_upsert(upsert: &Value) -> Option<ConfigurationError> {
    match upsert.as_object() {
        Some(lists) => locate_in_lists("upsert.", lists),
        None => Some(not_an_object("upsert", &upsert.to_string())),
    }
}

fn locate_in_remove(remove: &Value) -> Option<ConfigurationError> {
    let Some(lists) = remove.as_object() else {
        return Some(not_an_object("remove", &remove.to_string()));
    };
    lists.iter().find_map(|(list, names)| {
        let cause = Vec::<String>::deserialize(names).err()?.to_string();
        let field = shortened(&format!("remove.{list}"));
        Some(invalid_field(&field, names, &cause))
    })
}

fn locate_in_lists(path: &str, fields: &Map<String, Value>) -> Option<ConfigurationError> {
    let in_routes = || locate_in_list::<Route>(&format!("{path}routes"), fields.get("routes")?);
    let in_services =
        || locate_in_list::<Service>(&format!("{path}services"), fields.get("services")?);
    let in_limits = || {
        let limits = fields.get("limits").filter(|limits| !limits.is_null())?;
        locate_in_item::<Limits>(&format!("{path}limits"), limits)
    };
    in_routes().or_else(in_services).or_else(in_limits)
}

fn locate_in_list<T: DeserializeOwned + Serialize + Default>(
    path: &str,
    list: &Value,
) -> Option<ConfigurationError> {
    let Value::Array(items) = list else {
        return Some(invalid_field(path, list, "expected a list"));
    };
    items
        .iter()
        .enumerate()
        .find_map(|(index, item)| locate_in_item::<T>(&format!("{path}[{index}]"), item))
}

fn locate_in_item<T: DeserializeOwned + Serialize + Default>(
    path: &str,
    item: &Value,
) -> Option<ConfigurationError> {
    let cause = T::deserialize(item).err()?.to_string();
    item.as_object()
        .and_then(|fields| locate_in_fields::<T>(&format!("{path}."), fields))
        .or_else(|| Some(invalid_field(path, item, &cause)))
}

fn locate_in_fields<T: DeserializeOwned + Serialize + Default>(
    path: &str,
    fields: &Map<String, Value>,
) -> Option<ConfigurationError> {
    fields.iter().find_map(|(name, value)| {
        let cause = field_error::<T>(name, value)?;
        Some(invalid_field(&format!("{path}{name}"), value, &cause))
    })
}

/// Returns the parser's error for an otherwise valid `T` in which this field has this value.
fn field_error<T: DeserializeOwned + Serialize + Default>(
    name: &str,
    value: &Value,
) -> Option<String> {
    let mut sample = serde_json::to_value(T::default()).ok()?;
    sample
        .as_object_mut()?
        .insert(name.to_owned(), value.clone());
    T::deserialize(sample).err().map(|error| error.to_string())
}

fn invalid_field(field: &str, value: &Value, cause: &str) -> ConfigurationError {
    ConfigurationError::InvalidField {
        field: field.to_owned(),
        value: shortened(&value.to_string()),
        cause: shortened(cause),
    }
}
