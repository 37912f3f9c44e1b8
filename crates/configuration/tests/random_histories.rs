//! Random histories of changes, with repetitions, conflicts, invalid changes and failovers, compared with a
//! reference model that retains all decisions.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use serde_json::{json, Map, Value};
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{route, sample, service, Records, TestRng};

const HISTORIES: u64 = 150;
const CHANGES_PER_HISTORY: usize = 120;

#[derive(Clone, Debug, PartialEq)]
struct Change {
    is_replacement: bool,
    base_version: u64,
    body: String,
    /// The change as a value, or `None` if the body is malformed; the model never parses the body.
    body_value: Option<Value>,
}

#[derive(Debug, PartialEq)]
enum Decision {
    Applied(u64),
    AlreadyApplied(u64),
    Conflict(u64),
    Invalid,
}

/// Reference model: all changes that were ever applied or rejected, and the newest configuration as a value.
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
        let Some(next) = self
            .resulting_configuration(change)
            .filter(|next| self.is_valid(next))
        else {
            return Decision::Invalid;
        };
        let version = next["version"].as_u64().expect("a number");
        self.current = Some(next);
        self.applied.push((change.clone(), version));
        Decision::Applied(version)
    }

    fn resulting_configuration(&self, change: &Change) -> Option<Value> {
        let body_value = change.body_value.clone()?;
        if change.is_replacement {
            return Some(body_value);
        }
        let mut next = self.current.clone().unwrap_or_else(|| json!({}));
        next["version"] = body_value["version"].clone();
        for list in ["routes", "services"] {
            let mut items = next[list].as_array().cloned().unwrap_or_default();
            let removed = body_value["remove"][list]
                .as_array()
                .cloned()
                .unwrap_or_default();
            items.retain(|item| !removed.contains(&item["name"]));
            for item in body_value["upsert"][list].as_array().into_iter().flatten() {
                match items.iter_mut().find(|other| other["name"] == item["name"]) {
                    Some(other) => *other = item.clone(),
                    None => items.push(item.clone()),
                }
            }
            if next.get(list).is_some() || body_value["upsert"].get(list).is_some() {
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
        let all_services_exist = routes
            .iter()
            .all(|route| services.contains(&route["service"]));
        let all_timeouts_are_positive = routes.iter().all(|route| route["timeout_ms"] != json!(0));
        let keys: Vec<_> = routes
            .iter()
            .map(|route| (&route["host"], &route["path_prefix"]))
            .collect();
        let names: Vec<_> = routes.iter().map(|route| &route["name"]).collect();
        let is_newer = next["version"]
            .as_u64()
            .is_some_and(|version| version > self.version());
        is_newer
            && all_services_exist
            && all_timeouts_are_positive
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

/// Returns a random change: usually well-formed, based on the current version or one close to it, sometimes a
/// repetition.
fn random_change(rng: &mut TestRng, version: u64, sent: &[Change]) -> Change {
    if !sent.is_empty() && rng.below(4) == 0 {
        return rng.one_of(sent).clone();
    }
    let base_version = if rng.below(5) == 0 {
        rng.below(version + 3)
    } else {
        version
    };
    let next = if rng.below(6) == 0 {
        rng.below(version + 1)
    } else {
        version + 1 + rng.below(3)
    };
    let is_replacement = rng.below(3) == 0;
    let body_value = if is_replacement {
        random_replacement(rng, next)
    } else {
        random_update(rng, next)
    };
    let mut body = body_value.to_string();
    if rng.below(12) == 0 {
        body.truncate(rng.index(body.len()));
        return Change {
            is_replacement,
            base_version,
            body,
            body_value: None,
        };
    }
    Change {
        is_replacement,
        base_version,
        body,
        body_value: Some(body_value),
    }
}

fn random_replacement(rng: &mut TestRng, version: u64) -> Value {
    let mut whole = sample(version);
    whole["services"] = random_services(rng, 3);
    whole["routes"] = random_routes(rng, 3);
    whole["note"] = json!(rng.below(100));
    whole
}

fn random_update(rng: &mut TestRng, version: u64) -> Value {
    let mut update = json!({"version": version});
    let (mut upsert, mut remove) = (Map::new(), Map::new());
    if rng.below(2) == 0 {
        upsert.insert("routes".into(), distinct_names(&random_routes(rng, 3)));
    }
    if rng.below(2) == 0 {
        upsert.insert("services".into(), distinct_names(&random_services(rng, 3)));
    }
    for list in ["routes", "services"] {
        if rng.below(3) == 0 {
            let name = format!("{list}-{}", rng.below(5));
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

fn random_services(rng: &mut TestRng, max_count: u64) -> Value {
    (0..=rng.below(max_count))
        .map(|_| service(&format!("services-{}", rng.below(5))))
        .collect()
}

fn random_routes(rng: &mut TestRng, max_count: u64) -> Value {
    let routes = (0..rng.below(max_count)).map(|_| {
        let prefix = format!("/p{}/", rng.below(6));
        let service = format!("services-{}", rng.below(5));
        let mut route = route(
            &format!("routes-{}", rng.below(5)),
            "host.example",
            &prefix,
            &service,
        );
        if rng.below(25) == 0 {
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
    let outcome = if change.is_replacement {
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
        let mut rng = TestRng(seed);
        let (mut store, mut records, mut model) = (
            ConfigurationStore::new(),
            Records::default(),
            Model::default(),
        );
        let mut sent: Vec<Change> = Vec::new();
        for step in 0..CHANGES_PER_HISTORY {
            let change = random_change(&mut rng, model.version(), &sent);
            let (expected, found) = (
                model.decide(&change),
                submit(&mut store, &mut records, &change),
            );
            assert_eq!(found, expected, "seed {seed}, step {step}, {change:?}");
            counts[decision_index(&found)] += 1;
            sent.push(change);
            if rng.below(20) == 0 {
                store = records.recover();
            }
            assert_agreement(&store, &model, seed, step);
        }
    }
    assert!(
        counts.iter().all(|&count| count > 1_000),
        "each decision occurs more than 1,000 times: {counts:?}"
    );
}

fn decision_index(outcome: &Decision) -> usize {
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
