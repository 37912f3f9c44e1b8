//! Application of an update to the text of a configuration.
//!
//! Operates on JSON text and not on parsed items: an item that the update does not name is copied unchanged,
//! so that fields and numbers that this release does not support are preserved.

use crate::error::ConfigurationError;
use crate::invalid_field::{not_an_object, shortened};
use crate::json::{parse_update, to_configuration_error};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Applies `update` to `base` and returns the resulting configuration as JSON. The same texts always give the
/// same result.
///
/// Replaced items keep their position, new ones are appended. A field of `upsert` that is not a list replaces
/// the whole field of that name. Names to remove that do not exist are skipped. The result is not validated.
///
/// # Errors
/// If the update cannot be parsed, names an item twice, or upserts and removes the same item.
pub fn apply_update(base: &str, update: &str) -> Result<String, ConfigurationError> {
    parse_update(update)?;
    let update: RawUpdate<'_> = parse(update)?;
    let mut document = Document::parse(base)?;
    for (list, names) in &update.remove {
        document.remove_items(list, names)?;
    }
    for (field, text) in &update.upsert {
        document.upsert(field, text, &update.removed_names(field))?;
    }
    document.set_version(update.version);
    document.to_json()
}

/// An update whose items are not parsed.
#[derive(Deserialize)]
struct RawUpdate<'a> {
    version: u64,
    #[serde(default, borrow)]
    upsert: BTreeMap<String, &'a RawValue>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<String>>,
}

impl RawUpdate<'_> {
    fn removed_names(&self, list: &str) -> HashSet<&str> {
        let names = self.remove.get(list).into_iter().flatten();
        names.map(String::as_str).collect()
    }
}

/// Top-level fields of a configuration.
struct Document<'a> {
    fields: BTreeMap<String, FieldValue<'a>>,
}

/// Value of a top-level field: the original text until the update changes it.
#[derive(Serialize)]
#[serde(untagged)]
enum FieldValue<'a> {
    Version(u64),
    Text(&'a RawValue),
    Items(Vec<&'a RawValue>),
}

impl<'a> Document<'a> {
    fn parse(text: &'a str) -> Result<Document<'a>, ConfigurationError> {
        let fields: BTreeMap<String, &RawValue> = parse(text)?;
        let fields = fields
            .into_iter()
            .map(|(name, text)| (name, FieldValue::Text(text)))
            .collect();
        Ok(Document { fields })
    }

    fn to_json(&self) -> Result<String, ConfigurationError> {
        serde_json::to_string(&self.fields).map_err(|error| ConfigurationError::Malformed {
            cause: error.to_string(),
        })
    }

    fn set_version(&mut self, version: u64) {
        self.fields
            .insert("version".into(), FieldValue::Version(version));
    }

    fn remove_items(&mut self, list: &str, names: &[String]) -> Result<(), ConfigurationError> {
        if names.is_empty() || !self.fields.contains_key(list) {
            return Ok(());
        }
        let names: HashSet<&str> = names.iter().map(String::as_str).collect();
        let mut kept = Vec::new();
        for item in self.items(list)? {
            if !names.contains(&*item_name(list, item)?) {
                kept.push(item);
            }
        }
        self.fields.insert(list.to_owned(), FieldValue::Items(kept));
        Ok(())
    }

    /// Replaces a field or, if `text` is a list, the items that it names. `null` changes nothing.
    fn upsert(
        &mut self,
        field: &str,
        text: &'a RawValue,
        removed_names: &HashSet<&str>,
    ) -> Result<(), ConfigurationError> {
        if text.get() == "null" {
            return Ok(());
        }
        if text.get().starts_with('[') {
            return self.upsert_items(field, text, removed_names);
        }
        self.fields.insert(field.to_owned(), FieldValue::Text(text));
        Ok(())
    }

    fn upsert_items(
        &mut self,
        list: &str,
        text: &'a RawValue,
        removed_names: &HashSet<&str>,
    ) -> Result<(), ConfigurationError> {
        let mut items = self.items(list)?;
        let mut positions = positions_by_name(list, &items)?;
        let mut upserted = HashSet::new();
        for item in parse::<Vec<&RawValue>>(text.get())? {
            let name = item_name(list, item)?;
            check_upserted(list, &name, &mut upserted, removed_names)?;
            if let Some(&position) = positions.get(&name) {
                items[position] = item;
            } else {
                positions.insert(name, items.len());
                items.push(item);
            }
        }
        self.fields
            .insert(list.to_owned(), FieldValue::Items(items));
        Ok(())
    }

    /// Returns the items of a list; empty if the list does not exist.
    fn items(&self, list: &str) -> Result<Vec<&'a RawValue>, ConfigurationError> {
        match self.fields.get(list) {
            None => Ok(Vec::new()),
            Some(FieldValue::Items(items)) => Ok(items.clone()),
            Some(FieldValue::Text(text)) => serde_json::from_str(text.get())
                .map_err(|error| not_a_list(list, text.get(), &error.to_string())),
            Some(FieldValue::Version(version)) => {
                Err(not_a_list(list, &version.to_string(), "expected a list"))
            }
        }
    }
}

fn positions_by_name(
    list: &str,
    items: &[&RawValue],
) -> Result<HashMap<String, usize>, ConfigurationError> {
    let mut positions = HashMap::new();
    for (position, item) in items.iter().enumerate() {
        positions.insert(item_name(list, item)?, position);
    }
    Ok(positions)
}

/// Checks that an update neither upserts an item twice nor upserts and removes it.
fn check_upserted(
    list: &str,
    name: &str,
    upserted: &mut HashSet<String>,
    removed_names: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    if removed_names.contains(name) {
        return Err(ConfigurationError::UpsertedAndRemoved {
            list: shortened(list),
            value: shortened(name),
        });
    }
    if upserted.insert(name.to_owned()) {
        return Ok(());
    }
    let field = shortened(&format!("upsert.{list}"));
    Err(ConfigurationError::DuplicateName {
        value: shortened(name),
        first: format!("another item of {field}"),
        field,
    })
}

fn item_name(list: &str, item: &RawValue) -> Result<String, ConfigurationError> {
    #[derive(Deserialize)]
    struct NamedItem {
        name: String,
    }
    let text = item.get();
    if !text.starts_with('{') {
        return Err(not_an_object(list, text));
    }
    let item: NamedItem =
        serde_json::from_str(text).map_err(|error| not_a_list(list, text, &error.to_string()))?;
    Ok(item.name)
}

/// Returns the error for a field that is not a list of named items.
fn not_a_list(field: &str, value: &str, cause: &str) -> ConfigurationError {
    ConfigurationError::InvalidField {
        field: shortened(field),
        value: shortened(value),
        cause: shortened(cause),
    }
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, ConfigurationError> {
    serde_json::from_str(text).map_err(|error| to_configuration_error(text, &error))
}
