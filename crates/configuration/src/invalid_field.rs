//! Finds the field at fault in a body that is JSON but no configuration. Runs only once parsing has failed.
//!
//! A field is at fault if an otherwise valid item does not parse with it.

use crate::error::ConfigurationError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use streamusher_protocol::config::{Configuration, Limits, Route, Service};

/// Longest value or cause shown in a message, in characters: messages go into answers and logs.
const MOST_SHOWN: usize = 160;

/// The error for the first field at fault of a configuration or an update; none where no single field is.
pub fn locate(body: &Value) -> Option<ConfigurationError> {
    let Value::Object(fields) = body else {
        return Some(no_object("the body", &body.to_string()));
    };
    let in_lists = || locate_in_lists("", fields);
    let in_upsert = || locate_in_upsert(fields.get("upsert")?);
    let in_remove = || locate_in_remove(fields.get("remove")?);
    let field = || locate_field::<Configuration>("", fields);
    in_lists()
        .or_else(in_upsert)
        .or_else(in_remove)
        .or_else(field)
}

/// The error for a text that is to be an object and is none.
pub fn no_object(field: &str, text: &str) -> ConfigurationError {
    ConfigurationError::Field {
        field: shortened(field),
        value: shortened(text),
        cause: "expected an object".into(),
    }
}

fn locate_in_upsert(upsert: &Value) -> Option<ConfigurationError> {
    match upsert.as_object() {
        Some(lists) => locate_in_lists("upsert.", lists),
        None => Some(no_object("upsert", &upsert.to_string())),
    }
}

fn locate_in_remove(remove: &Value) -> Option<ConfigurationError> {
    let Some(lists) = remove.as_object() else {
        return Some(no_object("remove", &remove.to_string()));
    };
    lists.iter().find_map(|(list, names)| {
        let cause = Vec::<String>::deserialize(names).err()?.to_string();
        Some(error(&shortened(&format!("remove.{list}")), names, cause))
    })
}

fn locate_in_lists(path: &str, fields: &Map<String, Value>) -> Option<ConfigurationError> {
    let routes = || locate_item::<Route>(&format!("{path}routes"), fields.get("routes")?);
    let services = || locate_item::<Service>(&format!("{path}services"), fields.get("services")?);
    let limits = || {
        let value = fields.get("limits").filter(|value| !value.is_null())?;
        locate_fields::<Limits>(&format!("{path}limits"), value)
    };
    routes().or_else(services).or_else(limits)
}

fn locate_item<T: DeserializeOwned + Serialize + Default>(
    path: &str,
    list: &Value,
) -> Option<ConfigurationError> {
    let Value::Array(items) = list else {
        return Some(error(path, list, "expected a list".into()));
    };
    let faults = items
        .iter()
        .enumerate()
        .map(|(index, item)| locate_fields::<T>(&format!("{path}[{index}]"), item));
    faults.flatten().next()
}

fn locate_fields<T: DeserializeOwned + Serialize + Default>(
    path: &str,
    item: &Value,
) -> Option<ConfigurationError> {
    let cause = T::deserialize(item).err()?.to_string();
    let field = item
        .as_object()
        .and_then(|fields| locate_field::<T>(&format!("{path}."), fields));
    field.or_else(|| Some(error(path, item, cause)))
}

fn locate_field<T: DeserializeOwned + Serialize + Default>(
    path: &str,
    fields: &Map<String, Value>,
) -> Option<ConfigurationError> {
    fields.iter().find_map(|(name, value)| {
        let cause = fault_of::<T>(name, value)?;
        Some(error(&format!("{path}{name}"), value, cause))
    })
}

/// What is wrong with a valid `T` once it has this field.
fn fault_of<T: DeserializeOwned + Serialize + Default>(
    name: &str,
    value: &Value,
) -> Option<String> {
    let mut sample = serde_json::to_value(T::default()).ok()?;
    sample
        .as_object_mut()?
        .insert(name.to_owned(), value.clone());
    T::deserialize(sample).err().map(|error| error.to_string())
}

fn error(field: &str, value: &Value, cause: String) -> ConfigurationError {
    ConfigurationError::Field {
        field: field.to_owned(),
        value: shortened(&value.to_string()),
        cause: shortened(&cause),
    }
}

/// A value as it is shown in a message.
pub fn shortened(text: &str) -> String {
    match text.char_indices().nth(MOST_SHOWN) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
