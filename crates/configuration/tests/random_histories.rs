//! Random histories of orders with repeats, races, invalid ones and failovers, against a model that keeps everything.

mod support;

use serde_json::{json, Map, Value};
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{route, sample, service, Numbers, Records};

const HISTORIES: u64 = 150;
const ORDERS: usize = 120;

#[derive(Clone, Debug, PartialEq)]
struct Order {
    whole: bool,
    base: u64,
    body: String,
    /// What it asks for, where it is well-formed; the model never parses the body.
    meaning: Option<Value>,
}

#[derive(Debug, PartialEq)]
enum Expected {
    Taken(u64),
    Again(u64),
    Stale(u64),
    Invalid,
}

/// All that was ever taken, and the newest configuration as a value.
#[derive(Default)]
struct Model {
    current: Option<Value>,
    taken: Vec<(Order, u64)>,
    refused: Vec<Order>,
}

impl Model {
    fn version(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current["version"].as_u64().expect("a number"))
    }

    fn expect(&mut self, order: &Order) -> Expected {
        if let Some((_, version)) = self.taken.iter().find(|(taken, _)| taken == order) {
            return Expected::Again(*version);
        }
        if order.base != self.version() || self.refused.contains(order) {
            self.refused.push(order.clone());
            return Expected::Stale(self.version());
        }
        let Some(next) = self.result_of(order).filter(|next| self.is_valid(next)) else {
            return Expected::Invalid;
        };
        let version = next["version"].as_u64().expect("a number");
        self.current = Some(next);
        self.taken.push((order.clone(), version));
        Expected::Taken(version)
    }

    fn result_of(&self, order: &Order) -> Option<Value> {
        let meaning = order.meaning.clone()?;
        if order.whole {
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
        let known = routes
            .iter()
            .all(|route| services.contains(&route["service"]));
        let timed = routes.iter().all(|route| route["timeout_ms"] != json!(0));
        let keys: Vec<_> = routes
            .iter()
            .map(|route| (&route["host"], &route["path_prefix"]))
            .collect();
        let names: Vec<_> = routes.iter().map(|route| &route["name"]).collect();
        let newer = next["version"]
            .as_u64()
            .is_some_and(|version| version > self.version());
        newer
            && known
            && timed
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

/// A random order: mostly well-formed, on the current base or near it, at times a repeat.
fn draw(numbers: &mut Numbers, version: u64, sent: &[Order]) -> Order {
    if !sent.is_empty() && numbers.below(4) == 0 {
        return numbers.one_of(sent).clone();
    }
    let base = if numbers.below(5) == 0 {
        numbers.below(version + 3)
    } else {
        version
    };
    let next = if numbers.below(6) == 0 {
        numbers.below(version + 1)
    } else {
        version + 1 + numbers.below(3)
    };
    let whole = numbers.below(3) == 0;
    let meaning = if whole {
        draw_whole(numbers, next)
    } else {
        draw_update(numbers, next)
    };
    let mut body = meaning.to_string();
    if numbers.below(12) == 0 {
        body.truncate(numbers.below(body.len() as u64) as usize);
        return Order {
            whole,
            base,
            body,
            meaning: None,
        };
    }
    Order {
        whole,
        base,
        body,
        meaning: Some(meaning),
    }
}

fn draw_whole(numbers: &mut Numbers, version: u64) -> Value {
    let mut whole = sample(version);
    whole["services"] = draw_services(numbers, 3);
    whole["routes"] = draw_routes(numbers, 3);
    whole["note"] = json!(numbers.below(100));
    whole
}

fn draw_update(numbers: &mut Numbers, version: u64) -> Value {
    let mut update = json!({"version": version});
    let (mut upsert, mut remove) = (Map::new(), Map::new());
    if numbers.below(2) == 0 {
        upsert.insert("routes".into(), distinct_names(draw_routes(numbers, 3)));
    }
    if numbers.below(2) == 0 {
        upsert.insert("services".into(), distinct_names(draw_services(numbers, 3)));
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

fn draw_services(numbers: &mut Numbers, most: u64) -> Value {
    (0..1 + numbers.below(most))
        .map(|_| service(&format!("services-{}", numbers.below(5))))
        .collect()
}

fn draw_routes(numbers: &mut Numbers, most: u64) -> Value {
    let routes = (0..numbers.below(most)).map(|_| {
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

fn distinct_names(items: Value) -> Value {
    let mut kept: Vec<Value> = Vec::new();
    for item in items.as_array().expect("a list") {
        if kept.iter().all(|other| other["name"] != item["name"]) {
            kept.push(item.clone());
        }
    }
    Value::Array(kept)
}

fn give(store: &mut ConfigurationStore, records: &mut Records, order: &Order) -> Expected {
    let outcome = if order.whole {
        store.replace(order.base, &order.body)
    } else {
        store.update(order.base, &order.body)
    };
    match outcome {
        ChangeOutcome::Applied { version, writes } => {
            records.commit(writes);
            Expected::Taken(version)
        }
        ChangeOutcome::AlreadyApplied { version } => Expected::Again(version),
        ChangeOutcome::VersionConflict {
            current_version,
            writes,
        } => {
            records.commit(writes);
            Expected::Stale(current_version)
        }
        ChangeOutcome::Undecided { current_version } => panic!("undecided on {current_version}"),
        ChangeOutcome::Invalid(_) => Expected::Invalid,
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
        let mut sent: Vec<Order> = Vec::new();
        for step in 0..ORDERS {
            let order = draw(&mut numbers, model.version(), &sent);
            let (expected, found) = (model.expect(&order), give(&mut store, &mut records, &order));
            assert_eq!(found, expected, "seed {seed}, step {step}, {order:?}");
            counts[kind(&found)] += 1;
            sent.push(order);
            if numbers.below(20) == 0 {
                store = records.recover();
            }
            agree(&store, &model, seed, step);
        }
    }
    assert!(
        counts.iter().all(|&count| count > 1_000),
        "every outcome is met often: {counts:?}"
    );
}

fn kind(outcome: &Expected) -> usize {
    match outcome {
        Expected::Taken(_) => 0,
        Expected::Again(_) => 1,
        Expected::Stale(_) => 2,
        Expected::Invalid => 3,
    }
}

fn agree(store: &ConfigurationStore, model: &Model, seed: u64, step: usize) {
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
