//! What an update makes of a configuration, and that what is not known here comes back as it was sent.

mod support;

use serde_json::{json, Value};
use streamusher_configuration::update::apply;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{read, route, sample, service, store_with, take, Records};

fn updated(update: Value) -> Value {
    let (mut store, mut records) = store_with(5);
    take(store.update(5, &update.to_string()), &mut records);
    assert_eq!(
        read(&records.recover()),
        read(&store),
        "what is stored is what is read"
    );
    read(&store)
}

fn names(list: &Value) -> Vec<&str> {
    list.as_array()
        .expect("a list")
        .iter()
        .map(|item| item["name"].as_str().expect("a name"))
        .collect()
}

#[test]
fn given_an_item_with_a_known_name_when_upserted_then_it_is_replaced_whole_in_its_place() {
    let mut replacement = route("r-one", "other.example", "/new/", "scans");
    replacement
        .as_object_mut()
        .expect("a route")
        .remove("stretch");
    let result = updated(json!({"version": 7, "upsert": {"routes": [replacement]}}));
    let mut expected = sample(7);
    expected["routes"][0] = replacement;
    assert_eq!(result, expected);
}

#[test]
fn given_items_with_new_names_when_upserted_then_they_go_to_the_end_in_their_order() {
    let added = json!([
        route("r-z", "h", "/z/", "new"),
        route("r-one", "h", "/o/", "cores"),
        route("r-a", "h", "/a/", "new")
    ]);
    let result =
        updated(json!({"version": 7, "upsert": {"routes": added, "services": [service("new")]}}));
    assert_eq!(names(&result["routes"]), ["r-one", "r-two", "r-z", "r-a"]);
    assert_eq!(names(&result["services"]), ["cores", "scans", "new"]);
}

#[test]
fn given_names_to_remove_when_some_are_not_there_then_the_others_go() {
    let result = updated(
        json!({"version": 7, "remove": {"routes": ["r-one", "none", "none"], "services": ["nor this"]}}),
    );
    assert_eq!(names(&result["routes"]), ["r-two"]);
    assert_eq!(names(&result["services"]), ["cores", "scans"]);
}

#[test]
fn given_a_service_in_use_when_it_goes_together_with_its_route_then_the_update_is_taken() {
    let result =
        updated(json!({"version": 7, "remove": {"routes": ["r-one"], "services": ["cores"]}}));
    assert_eq!(names(&result["services"]), ["scans"]);
}

#[test]
fn given_a_prefix_in_use_when_its_route_goes_as_another_comes_then_the_update_is_taken() {
    let heir = route("r-heir", "host.example", "/one/", "scans");
    let result = updated(
        json!({"version": 7, "upsert": {"routes": [heir]}, "remove": {"routes": ["r-one"]}}),
    );
    assert_eq!(names(&result["routes"]), ["r-two", "r-heir"]);
}

#[test]
fn given_limits_when_upserted_then_they_are_replaced_whole_and_null_changes_nothing() {
    let result = updated(json!({"version": 7, "upsert": {"limits": {"max_body_bytes": 5}}}));
    assert_eq!(result["limits"], json!({"max_body_bytes": 5}));
    assert_eq!(
        updated(json!({"version": 7, "upsert": {"limits": null}})),
        sample(7)
    );
}

#[test]
fn given_an_update_of_the_version_alone_when_taken_then_only_the_version_changes() {
    assert_eq!(
        updated(json!({"version": 9007199254740991u64})),
        sample(9007199254740991)
    );
    assert_eq!(
        updated(json!({"version": 7, "upsert": {}, "remove": {}, "comment": 1})),
        sample(7)
    );
    assert_eq!(
        updated(json!({"version": 7, "upsert": {"version": 3}})),
        sample(7)
    );
}

#[test]
fn given_fields_and_lists_not_known_here_when_updated_then_they_are_kept_and_changed_by_the_same_rules(
) {
    let mut records = Records::default();
    let mut store = ConfigurationStore::new();
    let mut whole = sample(1);
    whole["regions"] =
        json!([{"name": "a", "x": 1}, {"name": "b", "x": {"deep": [null, -1.5e-7]}}]);
    whole["note"] = json!("kept");
    whole["routes"][0]["colour"] = json!({"hue": 3});
    take(store.replace(0, &whole.to_string()), &mut records);
    assert_eq!(read(&store), whole);
    let update = json!({"version": 2, "upsert": {"regions": [{"name": "c"}, {"name": "a", "x": 2}]}, "remove": {"regions": ["b"]}});
    take(store.update(1, &update.to_string()), &mut records);
    whole["version"] = json!(2);
    whole["regions"] = json!([{"name": "a", "x": 2}, {"name": "c"}]);
    assert_eq!(read(&store), whole);
}

#[test]
fn given_numbers_beyond_any_type_when_updated_then_they_come_back_digit_by_digit() {
    let mut store = ConfigurationStore::new();
    let whole = r#"{"version":1,"exact":123456789012345678901234567890.10,"services":[{"name":"a","n":1.0e-400}]}"#;
    assert!(matches!(
        store.replace(0, whole),
        ChangeOutcome::Taken { .. }
    ));
    assert_eq!(store.read().as_deref(), Some(whole));
    assert!(matches!(
        store.update(1, r#"{"version":2,"upsert":{"services":[{"name":"b"}]}}"#),
        ChangeOutcome::Taken { .. }
    ));
    let text = store.read().expect("a configuration");
    assert!(
        text.contains("123456789012345678901234567890.10") && text.contains("1.0e-400"),
        "{text}"
    );
}

#[test]
fn given_escaped_names_when_updated_then_they_are_the_names_that_they_spell() {
    let mut store = ConfigurationStore::new();
    let whole = r#"{"version":1,"services":[{"name":"\u0061"},{"n\u0061me":"b"}]}"#;
    assert!(matches!(
        store.replace(0, whole),
        ChangeOutcome::Taken { .. }
    ));
    let update = r#"{"version":2,"upsert":{"servi\u0063es":[{"name":"a","x":1}]},"remove":{"services":["b"]}}"#;
    assert!(matches!(
        store.update(1, update),
        ChangeOutcome::Taken { .. }
    ));
    assert_eq!(
        read(&store),
        json!({"version": 2, "services": [{"name": "a", "x": 1}]})
    );
}

#[test]
fn given_the_same_texts_when_applied_twice_then_the_results_are_the_same_byte_by_byte() {
    let base = sample(5).to_string();
    let update =
        r#"{"version":7,"upsert":{"services":[{"name":"b"}]},"remove":{"routes":["r-one"]}}"#;
    assert_eq!(apply(&base, update), apply(&base, update));
    assert!(apply(&base, update).is_ok());
}

#[test]
fn given_5000_routes_when_one_is_replaced_then_all_others_stay() {
    let mut whole = sample(1);
    let routes: Vec<Value> = (0..5000)
        .map(|index| route(&format!("r{index}"), "h", &format!("/p{index}/"), "cores"))
        .collect();
    whole["routes"] = json!(routes);
    let (mut store, mut records) = (ConfigurationStore::new(), Records::default());
    take(store.replace(0, &whole.to_string()), &mut records);
    let changed = route("r4321", "h", "/changed/", "scans");
    take(
        store.update(
            1,
            &json!({"version": 2, "upsert": {"routes": [changed]}}).to_string(),
        ),
        &mut records,
    );
    whole["version"] = json!(2);
    whole["routes"][4321] = changed;
    assert_eq!(read(&store), whole);
    assert_eq!(
        store
            .routes()
            .lookup("h", "/p4322/x")
            .map(|(route, _)| &*route.name),
        Some("r4322")
    );
    assert!(store.routes().lookup("h", "/p4321/x").is_none());
}
