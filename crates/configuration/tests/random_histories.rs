//! Random histories of changes, with repetitions, races, invalid ones and failovers, against a model that keeps everything.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use serde_json::{json, Map, Value};
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{route, sample, service, Numbers, Records};

const HISTORIES: u64 = 150;
const CHANGES_PER_HISTORY: usize = 120;

#[derive(Clone, Debug, PartialEq)]
struct Change {
    is_whole: bool,
    base_version: u64,
    body: String,
    /// The change as a value, where it is well-formed; the model never parses the body.
    meaning: Option<Value>,
}

#[derive(Debug, PartialEq)]
enum Decision {
    Applied(u64),
    AlreadyApplied(u64),
    Conflict(u64),
    Invalid,
}

/// All changes that were ever applied or rejected, and the newest configuration as a value.
#[derive(Default)]
struct Model {
    current: Option<Value>,
    applied: Vec<(Change, u64)>,
    rejected: Vec<Change>,
}

impl Model {
    fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current["version"].as_u64().expect("a number"))
    }

    fn decide(&mut self, change: &Change) -> Decision {
        if let Some((_, version)) = self.applied.iter().find(|(applied, _)| applied == change) {
            return Decision::AlreadyApplied(*version);
        }
        if change.base_version != self.version() || self.rejected.contains(change) {
            self.rejected.push(change.clone());
            return Decision::Conflict(self.version());
        }
        let Some(next) = self.result_of(change).filter(|next| self.is_valid(next)) else {
            return Decision::Invalid;
        };
        let version = next["version"].as_u64().expect("a number");
        self.current = Some(next);
        self.applied.push((change.clone(), version));
        Decision::Applied(version)
    }

    fn result_of(&self, change: &Change) -> Option<Value> {
        let meaning = change.meaning.clone()?;
        if change.is_whole {
            return Some(meaning);
        }
        let mut next = self.current.clone().unwrap_or_else(|| json!({}));
        next["version"] = meaning["version"].clone();
        for list in ["routes", "services"] {
            let mut items = next[list].as_array().cloned().unwrap_or_default();
            let removed = meaning["remove"][list]
                .as_array()
                .cloned()
                .unwrap_or_default();
            items.retain(|item| !removed.contains(&item["name"]));
            for item in meaning["upsert"][list].as_array().into_iter().flatten() {
                match items.iter_mut().find(|other| other["name"] == item["name"]) {
                    Some(other) => *other = item.clone(),
                    None => items.push(item.clone()),
                }
            }
            if next.get(list).is_some() || meaning["upsert"].get(list).is_some() {
                next[list] = Value::Array(items);
            }
        }
        Some(next)
    }

    fn is_valid(&self, next: &Value) -> bool {
        let list = |name: &str| next[name].as_array().cloned().unwrap_or_default();
        let services: Vec<Value> = list("services")
            .iter()
            .map(|service| service["name"].clone())
            .collect();
        let routes = list("routes");
        let have_services = routes
            .iter()
            .all(|route| services.contains(&route["service"]));
        let have_timeouts = routes.iter().all(|route| route["timeout_ms"] != json!(0));
        let keys: Vec<_> = routes
            .iter()
            .map(|route| (&route["host"], &route["path_prefix"]))
            .collect();
        let names: Vec<_> = routes.iter().map(|route| &route["name"]).collect();
        let is_newer = next["version"]
            .as_u64()
            .is_some_and(|version| version > self.version());
        is_newer
            && have_services
            && have_timeouts
            && distinct(&keys)
            && distinct(&names)
            && distinct(&services.iter().collect::<Vec<_>>())
    }
}

fn distinct<T: PartialEq>(items: &[T]) -> bool {
    items
        .iter()
        .enumerate()
        .all(|(index, item)| !items[..index].contains(item))
}

/// A random change: mostly well-formed, on the current version or near it, at times a repetition.
fn random_change(numbers: &mut Numbers, version: u64, sent: &[Change]) -> Change {
    if !sent.is_empty() && numbers.below(4) == 0 {
        return numbers.one_of(sent).clone();
    }
    let base_version = if numbers.below(5) == 0 {
        numbers.below(version + 3)
    } else {
        version
    };
    let next = if numbers.below(6) == 0 {
        numbers.below(version + 1)
    } else {
        version + 1 + numbers.below(3)
    };
    let is_whole = numbers.below(3) == 0;
    let meaning = if is_whole {
        random_whole(numbers, next)
    } else {
        random_update(numbers, next)
    };
    let mut body = meaning.to_string();
    if numbers.below(12) == 0 {
        body.truncate(numbers.index(body.len()));
        return Change {
            is_whole,
            base_version,
            body,
            meaning: None,
        };
    }
    Change {
        is_whole,
        base_version,
        body,
        meaning: Some(meaning),
    }
}

fn random_whole(numbers: &mut Numbers, version: u64) -> Value {
    let mut whole = sample(version);
    whole["services"] = random_services(numbers, 3);
    whole["routes"] = random_routes(numbers, 3);
    whole["note"] = json!(numbers.below(100));
    whole
}

fn random_update(numbers: &mut Numbers, version: u64) -> Value {
    let mut update = json!({"version": version});
    let (mut upsert, mut remove) = (Map::new(), Map::new());
    if numbers.below(2) == 0 {
        upsert.insert("routes".into(), distinct_names(&random_routes(numbers, 3)));
    }
    if numbers.below(2) == 0 {
        upsert.insert(
            "services".into(),
            distinct_names(&random_services(numbers, 3)),
        );
    }
    for list in ["routes", "services"] {
        if numbers.below(3) == 0 {
            let name = format!("{list}-{}", numbers.below(5));
            let added = upsert
                .get(list)
                .and_then(Value::as_array)
                .is_some_and(|items| items.iter().any(|item| item["name"] == json!(name)));
            if !added {
                remove.insert(list.into(), json!([name]));
            }
        }
    }
    update["upsert"] = Value::Object(upsert);
    update["remove"] = Value::Object(remove);
    update
}

fn random_services(numbers: &mut Numbers, max_count: u64) -> Value {
    (0..=numbers.below(max_count))
        .map(|_| service(&format!("services-{}", numbers.below(5))))
        .collect()
}

fn random_routes(numbers: &mut Numbers, max_count: u64) -> Value {
    let routes = (0..numbers.below(max_count)).map(|_| {
        let prefix = format!("/p{}/", numbers.below(6));
        let service = format!("services-{}", numbers.below(5));
        let mut route = route(
            &format!("routes-{}", numbers.below(5)),
            "host.example",
            &prefix,
            &service,
        );
        if numbers.below(25) == 0 {
            route["timeout_ms"] = json!(0);
        }
        route
    });
    routes.collect()
}

fn distinct_names(items: &Value) -> Value {
    let mut kept: Vec<Value> = Vec::new();
    for item in items.as_array().expect("a list") {
        if kept.iter().all(|other| other["name"] != item["name"]) {
            kept.push(item.clone());
        }
    }
    Value::Array(kept)
}

fn submit(store: &mut ConfigurationStore, records: &mut Records, change: &Change) -> Decision {
    let outcome = if change.is_whole {
        store.replace(change.base_version, &change.body)
    } else {
        store.update(change.base_version, &change.body)
    };
    match outcome {
        ChangeOutcome::Applied { version, writes } => {
            records.commit(writes);
            Decision::Applied(version)
        }
        ChangeOutcome::AlreadyApplied { version } => Decision::AlreadyApplied(version),
        ChangeOutcome::VersionConflict {
            current_version,
            writes,
        } => {
            records.commit(writes);
            Decision::Conflict(current_version)
        }
        ChangeOutcome::HistoryTruncated { current_version }
        | ChangeOutcome::RejectionLimitReached { current_version } => {
            panic!("undecided on {current_version}")
        }
        ChangeOutcome::Invalid(_) => Decision::Invalid,
    }
}

#[test]
fn store_agrees_with_model_after_each_change() {
    let mut counts = [0usize; 4];
    for seed in 0..HISTORIES {
        let mut numbers = Numbers(seed);
        let (mut store, mut records, mut model) = (
            ConfigurationStore::new(),
            Records::default(),
            Model::default(),
        );
        let mut sent: Vec<Change> = Vec::new();
        for step in 0..CHANGES_PER_HISTORY {
            let change = random_change(&mut numbers, model.version(), &sent);
            let (expected, found) = (
                model.decide(&change),
                submit(&mut store, &mut records, &change),
            );
            assert_eq!(found, expected, "seed {seed}, step {step}, {change:?}");
            counts[kind(&found)] += 1;
            sent.push(change);
            if numbers.below(20) == 0 {
                store = records.recover();
            }
            assert_agreement(&store, &model, seed, step);
        }
    }
    assert!(
        counts.iter().all(|&count| count > 1_000),
        "every outcome is met often: {counts:?}"
    );
}

fn kind(outcome: &Decision) -> usize {
    match outcome {
        Decision::Applied(_) => 0,
        Decision::AlreadyApplied(_) => 1,
        Decision::Conflict(_) => 2,
        Decision::Invalid => 3,
    }
}

fn assert_agreement(store: &ConfigurationStore, model: &Model, seed: u64, step: usize) {
    let read = store
        .text()
        .map(|text| serde_json::from_str::<Value>(&text).expect("JSON"));
    assert_eq!(read, model.current, "seed {seed}, step {step}");
    let routes = model
        .current
        .as_ref()
        .and_then(|current| current["routes"].as_array())
        .cloned()
        .unwrap_or_default();
    for prefix in (0..6).map(|number| format!("/p{number}/")) {
        let expected = routes
            .iter()
            .find(|route| route["path_prefix"] == json!(prefix))
            .map(|route| &route["name"]);
        let found = store
            .routes()
            .lookup("host.example", &prefix)
            .map(|found| json!(&*found.route.name));
        assert_eq!(
            found.as_ref(),
            expected,
            "seed {seed}, step {step}, {prefix}"
        );
    }
}
