//! A configuration as text, and the result of an update on it.
//!
//! Items are carried over as they were written, so that fields and numbers not known here come back unchanged.

use crate::error::ConfigurationError;
use crate::invalid_field::{no_object, shortened};
use crate::json::{explain, parse_update};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The part of an update that names nothing but what it changes.
#[derive(Deserialize)]
struct Change<'a> {
    version: u64,
    #[serde(default, borrow)]
    upsert: BTreeMap<String, &'a RawValue>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<String>>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Field<'a> {
    Version(u64),
    Text(&'a RawValue),
    Items(Vec<&'a RawValue>),
}

/// The configuration that an update makes of `document`. The same texts always give the same result.
///
/// Replaced items keep their place, new ones go to the end. A field of `upsert` that is no list replaces the field of
/// that name whole. Names to remove that are not there are passed over. Whether the result is valid is not checked.
///
/// # Errors
/// Where the update cannot be read, names an item twice, or adds and removes the same one.
pub fn apply(document: &str, update: &str) -> Result<String, ConfigurationError> {
    parse_update(update)?;
    let change: Change = read(update)?;
    let mut fields: BTreeMap<String, Field> = read::<BTreeMap<String, &RawValue>>(document)?
        .into_iter()
        .map(|(name, text)| (name, Field::Text(text)))
        .collect();
    for (list, names) in &change.remove {
        remove(&mut fields, list, names)?;
    }
    for (list, text) in &change.upsert {
        let removed = change
            .remove
            .get(list)
            .into_iter()
            .flatten()
            .map(String::as_str)
            .collect();
        upsert(&mut fields, list, text, &removed)?;
    }
    fields.insert("version".into(), Field::Version(change.version));
    serde_json::to_string(&fields).map_err(|error| ConfigurationError::Unreadable {
        cause: error.to_string(),
    })
}

fn remove(
    fields: &mut BTreeMap<String, Field>,
    list: &str,
    names: &[String],
) -> Result<(), ConfigurationError> {
    if names.is_empty() || !fields.contains_key(list) {
        return Ok(());
    }
    let names: HashSet<&str> = names.iter().map(String::as_str).collect();
    let mut kept = Vec::new();
    for item in items(fields, list)? {
        if !names.contains(&*name_of(list, item)?) {
            kept.push(item);
        }
    }
    fields.insert(list.to_owned(), Field::Items(kept));
    Ok(())
}

fn upsert<'a>(
    fields: &mut BTreeMap<String, Field<'a>>,
    list: &str,
    text: &'a RawValue,
    removed: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    if text.get() == "null" {
        return Ok(());
    }
    if !text.get().starts_with('[') {
        fields.insert(list.to_owned(), Field::Text(text));
        return Ok(());
    }
    let mut items = items(fields, list)?;
    let mut places = places_of(list, &items)?;
    let mut added = HashSet::new();
    for item in read::<Vec<&RawValue>>(text.get())? {
        let name = name_of(list, item)?;
        check_added(list, &name, &mut added, removed)?;
        match places.get(&name) {
            Some(&place) => items[place] = item,
            None => {
                places.insert(name, items.len());
                items.push(item);
            }
        }
    }
    fields.insert(list.to_owned(), Field::Items(items));
    Ok(())
}

fn check_added(
    list: &str,
    name: &str,
    added: &mut HashSet<String>,
    removed: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    if removed.contains(name) {
        return Err(ConfigurationError::AddedAndRemoved {
            list: shortened(list),
            value: shortened(name),
        });
    }
    if added.insert(name.to_owned()) {
        return Ok(());
    }
    let field = shortened(&format!("upsert.{list}"));
    Err(ConfigurationError::DuplicateName {
        value: shortened(name),
        first: format!("another item of {field}"),
        field,
    })
}

/// The items of a list; none where it is not there.
fn items<'a>(
    fields: &BTreeMap<String, Field<'a>>,
    list: &str,
) -> Result<Vec<&'a RawValue>, ConfigurationError> {
    match fields.get(list) {
        None => Ok(Vec::new()),
        Some(Field::Items(items)) => Ok(items.clone()),
        Some(Field::Text(text)) => read_list(list, text),
        Some(Field::Version(version)) => {
            Err(no_list(list, &version.to_string(), "expected a list"))
        }
    }
}

fn read_list<'a>(list: &str, text: &'a RawValue) -> Result<Vec<&'a RawValue>, ConfigurationError> {
    serde_json::from_str(text.get()).map_err(|error| no_list(list, text.get(), &error.to_string()))
}

fn no_list(list: &str, value: &str, cause: &str) -> ConfigurationError {
    ConfigurationError::Field {
        field: shortened(list),
        value: shortened(value),
        cause: shortened(cause),
    }
}

fn places_of(
    list: &str,
    items: &[&RawValue],
) -> Result<HashMap<String, usize>, ConfigurationError> {
    let named = items
        .iter()
        .enumerate()
        .map(|(place, item)| Ok((name_of(list, item)?, place)));
    named.collect()
}

fn name_of(list: &str, item: &RawValue) -> Result<String, ConfigurationError> {
    let text = item.get();
    if !text.starts_with('{') {
        return Err(no_object(list, text));
    }
    let named: Named =
        serde_json::from_str(text).map_err(|error| no_list(list, text, &error.to_string()))?;
    Ok(named.name)
}

fn read<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, ConfigurationError> {
    serde_json::from_str(text).map_err(|error| explain(text, &error))
}
