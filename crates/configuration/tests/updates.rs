//! Results of updates: changed items, and fields and numbers that this release does not support, which must
//! be preserved as they were sent.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use serde_json::{json, Value};
use streamusher_configuration::apply_update;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{commit_applied, current_configuration, route, sample, service, store_with, Records};

fn updated(update: &Value) -> Value {
    let (mut store, mut records) = store_with(5);
    commit_applied(store.update(5, &update.to_string()), &mut records);
    assert_eq!(
        current_configuration(&records.recover()),
        current_configuration(&store),
        "the recovered store holds the same configuration"
    );
    current_configuration(&store)
}

fn names(list: &Value) -> Vec<&str> {
    list.as_array()
        .expect("a list")
        .iter()
        .map(|item| item["name"].as_str().expect("a name"))
        .collect()
}

#[test]
fn upserted_item_of_known_name_is_replaced_in_place() {
    let mut replacement = route("r-one", "other.example", "/new/", "scans");
    replacement
        .as_object_mut()
        .expect("a route")
        .remove("stretch");
    let result = updated(&json!({"version": 7, "upsert": {"routes": [replacement]}}));
    let mut expected = sample(7);
    expected["routes"][0] = replacement;
    assert_eq!(result, expected);
}

#[test]
fn upserted_items_of_new_names_are_appended() {
    let added = json!([
        route("r-z", "h", "/z/", "new"),
        route("r-one", "h", "/o/", "cores"),
        route("r-a", "h", "/a/", "new")
    ]);
    let result =
        updated(&json!({"version": 7, "upsert": {"routes": added, "services": [service("new")]}}));
    assert_eq!(names(&result["routes"]), ["r-one", "r-two", "r-z", "r-a"]);
    assert_eq!(names(&result["services"]), ["cores", "scans", "new"]);
}

#[test]
fn removal_skips_names_that_do_not_exist() {
    let result = updated(
        &json!({"version": 7, "remove": {"routes": ["r-one", "none", "none"], "services": ["nor this"]}}),
    );
    assert_eq!(names(&result["routes"]), ["r-two"]);
    assert_eq!(names(&result["services"]), ["cores", "scans"]);
}

#[test]
fn service_may_be_removed_with_its_route() {
    let result =
        updated(&json!({"version": 7, "remove": {"routes": ["r-one"], "services": ["cores"]}}));
    assert_eq!(names(&result["services"]), ["scans"]);
}

#[test]
fn prefix_may_move_to_another_route() {
    let successor = route("r-successor", "host.example", "/one/", "scans");
    let result = updated(
        &json!({"version": 7, "upsert": {"routes": [successor]}, "remove": {"routes": ["r-one"]}}),
    );
    assert_eq!(names(&result["routes"]), ["r-two", "r-successor"]);
}

#[test]
fn upserted_limits_are_replaced_whole_and_null_changes_nothing() {
    let result = updated(&json!({"version": 7, "upsert": {"limits": {"max_body_bytes": 5}}}));
    assert_eq!(result["limits"], json!({"max_body_bytes": 5}));
    assert_eq!(
        updated(&json!({"version": 7, "upsert": {"limits": null}})),
        sample(7)
    );
}

#[test]
fn update_of_version_alone_changes_nothing_else() {
    assert_eq!(
        updated(&json!({"version": 9_007_199_254_740_991_u64})),
        sample(9_007_199_254_740_991)
    );
    assert_eq!(
        updated(&json!({"version": 7, "upsert": {}, "remove": {}, "comment": 1})),
        sample(7)
    );
    assert_eq!(
        updated(&json!({"version": 7, "upsert": {"version": 3}})),
        sample(7)
    );
}

#[test]
fn unknown_fields_and_lists_are_kept_and_updated_alike() {
    let mut records = Records::default();
    let mut store = ConfigurationStore::new();
    let mut whole = sample(1);
    whole["regions"] =
        json!([{"name": "a", "x": 1}, {"name": "b", "x": {"deep": [null, -1.5e-7]}}]);
    whole["note"] = json!("kept");
    whole["routes"][0]["colour"] = json!({"hue": 3});
    commit_applied(store.replace(0, &whole.to_string()), &mut records);
    assert_eq!(current_configuration(&store), whole);
    let update = json!({"version": 2, "upsert": {"regions": [{"name": "c"}, {"name": "a", "x": 2}]}, "remove": {"regions": ["b"]}});
    commit_applied(store.update(1, &update.to_string()), &mut records);
    whole["version"] = json!(2);
    whole["regions"] = json!([{"name": "a", "x": 2}, {"name": "c"}]);
    assert_eq!(current_configuration(&store), whole);
}

#[test]
fn numbers_beyond_any_type_are_kept_digit_by_digit() {
    let mut store = ConfigurationStore::new();
    let whole = r#"{"version":1,"exact":123456789012345678901234567890.10,"services":[{"name":"a","n":1.0e-400}]}"#;
    assert!(matches!(
        store.replace(0, whole),
        ChangeOutcome::Applied { .. }
    ));
    assert_eq!(store.text().as_deref(), Some(whole));
    assert!(matches!(
        store.update(1, r#"{"version":2,"upsert":{"services":[{"name":"b"}]}}"#),
        ChangeOutcome::Applied { .. }
    ));
    let text = store.text().expect("a configuration");
    assert!(
        text.contains("123456789012345678901234567890.10") && text.contains("1.0e-400"),
        "{text}"
    );
}

#[test]
fn escaped_names_are_compared_unescaped() {
    let mut store = ConfigurationStore::new();
    let whole = r#"{"version":1,"services":[{"name":"\u0061"},{"n\u0061me":"b"}]}"#;
    assert!(matches!(
        store.replace(0, whole),
        ChangeOutcome::Applied { .. }
    ));
    let update = r#"{"version":2,"upsert":{"servi\u0063es":[{"name":"a","x":1}]},"remove":{"services":["b"]}}"#;
    assert!(matches!(
        store.update(1, update),
        ChangeOutcome::Applied { .. }
    ));
    assert_eq!(
        current_configuration(&store),
        json!({"version": 2, "services": [{"name": "a", "x": 1}]})
    );
}

#[test]
fn update_is_deterministic() {
    let base = sample(5).to_string();
    let update =
        r#"{"version":7,"upsert":{"services":[{"name":"b"}]},"remove":{"routes":["r-one"]}}"#;
    assert_eq!(apply_update(&base, update), apply_update(&base, update));
    assert!(apply_update(&base, update).is_ok());
}

#[test]
fn update_of_one_of_5000_routes_keeps_the_others() {
    let mut whole = sample(1);
    let routes: Vec<Value> = (0..5000)
        .map(|index| route(&format!("r{index}"), "h", &format!("/p{index}/"), "cores"))
        .collect();
    whole["routes"] = json!(routes);
    let (mut store, mut records) = (ConfigurationStore::new(), Records::default());
    commit_applied(store.replace(0, &whole.to_string()), &mut records);
    let changed = route("r4321", "h", "/changed/", "scans");
    commit_applied(
        store.update(
            1,
            &json!({"version": 2, "upsert": {"routes": [changed]}}).to_string(),
        ),
        &mut records,
    );
    whole["version"] = json!(2);
    whole["routes"][4321] = changed;
    assert_eq!(current_configuration(&store), whole);
    assert_eq!(
        store
            .routes()
            .lookup("h", "/p4322/x")
            .map(|found| &*found.route.name),
        Some("r4322")
    );
    assert!(store.routes().lookup("h", "/p4321/x").is_none());
}
