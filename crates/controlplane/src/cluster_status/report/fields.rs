//! Fields of a status as text. Statuses may come from processes of any release, so missing fields are shown
//! as empty.

use serde_json::Value;

/// The value at a JSON pointer as text; empty if it does not exist.
pub(super) fn text(value: &Value, pointer: &str) -> String {
    value.pointer(pointer).map_or_else(String::new, value_text)
}

/// A value as text; strings are without quotes.
pub(super) fn value_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// The items of the list at a JSON pointer; empty if there is no list.
pub(super) fn list<'a>(value: &'a Value, pointer: &str) -> impl Iterator<Item = &'a Value> {
    value
        .pointer(pointer)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

/// Whether the field `key` is `true`.
pub(super) fn is_true(value: &Value, key: &str) -> bool {
    value.get(key).and_then(Value::as_bool) == Some(true)
}

/// A log position as `EPOCH/SEQUENCE`.
pub(super) fn log_position(value: Option<&Value>) -> String {
    let Some(value) = value.filter(|value| !value.is_null()) else {
        return String::new();
    };
    format!("{}/{}", text(value, "/epoch"), text(value, "/sequence"))
}

/// A disk's id in hexadecimal digits, as in the logs.
pub(super) fn disk_id(id: &str) -> String {
    id.parse::<u64>()
        .map_or_else(|_| id.to_owned(), |id| format!("{id:016x}"))
}
