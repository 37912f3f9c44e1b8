//! Rejection of invalid configurations and updates: the error names field, value and remedy, and the stored
//! configuration does not change.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use support::{current_configuration, sample, store_with};

/// Sets the field of a configuration at a JSON pointer.
fn with_field(mut configuration: Value, pointer: &str, value: Value) -> Value {
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    match configuration
        .pointer_mut(parent)
        .expect("the parent is there")
    {
        Value::Object(fields) => drop(fields.insert(name.to_owned(), value)),
        Value::Array(items) => items[name.parse::<usize>().expect("an index")] = value,
        other => panic!("{other} has no fields"),
    }
    configuration
}

fn rejection(outcome: ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Invalid(error) => error.to_string(),
        other => panic!("not rejected as invalid: {other:?}"),
    }
}

#[rstest]
#[case("/version", json!(5), "version is 5: it must be above the current one, 5;")]
#[case("/version", json!(0), "version is 0: it must be above the current one, 5;")]
#[case("/version", json!(4), "version is 4: it must be above the current one, 5;")]
#[case("/version", json!(-7), "version is -7: ")]
#[case("/version", json!(7.5), "version is 7.5: ")]
#[case("/version", json!("7"), "version is \"7\": ")]
#[case("/version", json!(null), "version is null: ")]
#[case("/version", json!(u64::MAX), "version is 18446744073709551615: the greatest number allowed is 9007199254740991;")]
#[case("/routes", json!({}), "routes is {}: expected a list;")]
#[case("/routes", json!(null), "routes is null: expected a list;")]
#[case("/routes/1", json!("r"), "routes[1] is \"r\": ")]
#[case("/routes/1", json!(["r"]), "routes[1] is [\"r\"]: ")]
#[case("/routes/1/name", json!(""), "routes[1].name is \"\": it must not be empty;")]
#[case("/routes/1/name", json!(3), "routes[1].name is 3: ")]
#[case("/routes/1/name", json!("r-one"), "routes[1].name is \"r-one\", which routes[0] has as well;")]
#[case("/routes/1/host", json!(""), "routes[1].host is \"\": it must not be empty;")]
#[case("/routes/1/host", json!(":8080"), "routes[1].host is \"\": it must not be empty;")]
#[case("/routes/1/host", json!([]), "routes[1].host is []: ")]
#[case("/routes/1/path_prefix", json!(""), "routes[1].path_prefix is \"\": it must not be empty;")]
#[case("/routes/1/path_prefix", json!("two/"), "routes[1].path_prefix is \"two/\": it must begin with '/';")]
#[case("/routes/1/path_prefix", json!("/one/"), "routes[1] has host \"host.example\" and path_prefix \"/one/\", and so has routes[0];")]
#[case("/routes/1/timeout_ms", json!(0), "routes[1].timeout_ms is 0: it must be at least 1;")]
#[case("/routes/1/timeout_ms", json!(-1), "routes[1].timeout_ms is -1: ")]
#[case("/routes/1/timeout_ms", json!(1.0e30), "routes[1].timeout_ms is 1e+30: ")]
#[case("/routes/1/timeout_ms", json!(u64::MAX), "routes[1].timeout_ms is 18446744073709551615: the greatest number allowed")]
#[case("/routes/1/timeout_ms", json!(true), "routes[1].timeout_ms is true: ")]
#[case("/routes/1/target_latency_ms", json!(u64::MAX), "routes[1].target_latency_ms is 18446744073709551615: the greatest")]
#[case("/routes/1/target_latency_ms", json!(-1), "routes[1].target_latency_ms is -1: ")]
#[case("/routes/1/priority", json!(-1), "routes[1].priority is -1: ")]
#[case("/routes/1/priority", json!(1u64 << 32), "routes[1].priority is 4294967296: ")]
#[case("/routes/1/max_attempts", json!("2"), "routes[1].max_attempts is \"2\": ")]
#[case("/routes/1/stretch", json!(-0.5), "routes[1].stretch is -0.5: it must be a finite number from 0;")]
#[case("/routes/1/stretch", json!("x"), "routes[1].stretch is \"x\": ")]
#[case("/routes/1/service", json!("none"), "routes[1].service is \"none\": there is no such service;")]
#[case("/routes/1/service", json!(1), "routes[1].service is 1: ")]
#[case("/services", json!("cores"), "services is \"cores\": expected a list;")]
#[case("/services", json!([]), "routes[0].service is \"cores\": there is no such service;")]
#[case("/services/1", json!(null), "services[1] is null: ")]
#[case("/services/1/name", json!(""), "services[1].name is \"\": it must not be empty;")]
#[case("/services/1/name", json!("cores"), "services[1].name is \"cores\", which services[0] has as well;")]
#[case("/services/1/guards", json!("no"), "services[1].guards is \"no\": ")]
#[case("/limits", json!([]), "limits is []: ")]
#[case("/limits", json!(null), "limits is null: ")]
#[case("/limits/max_body_bytes", json!(-1), "limits.max_body_bytes is -1: ")]
#[case("/limits/idle_timeout_ms", json!(u64::MAX), "limits.idle_timeout_ms is 18446744073709551615: the greatest")]
fn invalid_field_is_named_and_nothing_changes(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] message: &str,
) {
    let (mut store, _) = store_with(5);
    let body = with_field(sample(9), pointer, value).to_string();
    let error = rejection(store.replace(5, &body));
    assert!(error.starts_with(message), "{error}");
    assert!(error.contains("; "), "the error states the remedy: {error}");
    assert_eq!(current_configuration(&store), sample(5));
    assert_eq!(
        rejection(store.replace(5, &body)),
        error,
        "a repetition is rejected as well"
    );
}

#[rstest]
#[case("name")]
#[case("host")]
#[case("path_prefix")]
#[case("timeout_ms")]
#[case("service")]
fn missing_field_of_route_is_named(#[case] field: &str) {
    let mut configuration = sample(9);
    configuration["routes"][1]
        .as_object_mut()
        .expect("a route")
        .remove(field);
    let error = rejection(ConfigurationStore::new().replace(0, &configuration.to_string()));
    assert!(error.starts_with("routes[1] is "), "{error}");
    assert!(
        error.contains(&format!("missing field `{field}`")),
        "{error}"
    );
}

#[test]
fn configuration_without_version_is_rejected() {
    let error = rejection(ConfigurationStore::new().replace(0, r#"{"routes":[]}"#));
    assert!(error.contains("missing field `version`"), "{error}");
}

#[test]
fn hosts_that_differ_in_case_or_port_are_the_same() {
    let clash = with_field(sample(9), "/routes/1/path_prefix", json!("/one/"));
    let clash = with_field(clash, "/routes/1/host", json!("HOST.example:8080"));
    let error = rejection(ConfigurationStore::new().replace(0, &clash.to_string()));
    assert!(
        error.starts_with("routes[1] has host \"host.example\""),
        "{error}"
    );
}

#[test]
fn truncated_configuration_is_rejected() {
    let body = sample(9).to_string();
    for end in 0..body.len() {
        let error = rejection(ConfigurationStore::new().replace(0, &body[..end]));
        assert!(
            error.starts_with("cannot be read: "),
            "cut at {end}: {error}"
        );
    }
}

#[test]
fn truncated_update_is_rejected() {
    let body =
        r#"{"version":9,"upsert":{"services":[{"name":"x"}]},"remove":{"routes":["r-one"]}}"#;
    for end in 0..body.len() {
        let (mut store, _) = store_with(5);
        let error = rejection(store.update(5, &body[..end]));
        assert!(
            error.starts_with("cannot be read: "),
            "cut at {end}: {error}"
        );
    }
}

#[rstest]
#[case("{\"version\":9} {}")]
#[case("{\"version\":9,}")]
#[case("{\"version\":09}")]
#[case("{\"version\":NaN}")]
#[case("{\"version\":9,\"version\":9}")]
#[case("{\"version\":9,\"upsert\":{},\"upsert\":{},\"routes\":[],\"routes\":[]}")]
#[case("{\"version\":1e999}")]
#[case("\u{a0}{\"version\":9}")]
#[case("version = 9")]
#[case("[9]")]
#[case("[9,{},{}]")]
#[case("9")]
#[case("null")]
#[case("\"version\"")]
fn body_that_is_not_an_object_is_rejected(#[case] body: &str) {
    let (mut store, _) = store_with(5);
    rejection(store.replace(5, body));
    rejection(store.update(5, body));
    assert_eq!(current_configuration(&store), sample(5));
}

#[test]
fn excessive_nesting_is_rejected() {
    for depth in [200, 100_000] {
        let (open, close) = ("[".repeat(depth), "]".repeat(depth));
        let (mut store, _) = store_with(5);
        rejection(store.replace(5, &format!(r#"{{"version":9,"x":{open}{close}}}"#)));
        rejection(store.replace(5, &open));
        rejection(store.update(
            5,
            &format!(r#"{{"version":9,"upsert":{{"x":{open}{close}}}}}"#),
        ));
        rejection(store.update(5, &format!(r#"{{"version":9,"upsert":{open}{close}}}"#)));
        assert_eq!(current_configuration(&store), sample(5));
    }
}

#[rstest]
#[case(json!({"version": 5}), "version is 5: it must be above")]
#[case(json!({"version": -1}), "version is -1: ")]
#[case(json!({"version": 9, "upsert": []}), "upsert is []: expected an object;")]
#[case(json!({"version": 9, "upsert": null}), "upsert is null: expected an object;")]
#[case(json!({"version": 9, "remove": "r-one"}), "remove is \"r-one\": expected an object;")]
#[case(json!({"version": 9, "remove": {"routes": "r-one"}}), "remove.routes is \"r-one\": ")]
#[case(json!({"version": 9, "remove": {"routes": [1]}}), "remove.routes is [1]: ")]
#[case(json!({"version": 9, "upsert": {"routes": {}}}), "upsert.routes is {}: expected a list;")]
#[case(json!({"version": 9, "upsert": {"routes": [{}]}}), "upsert.routes[0] is {}: missing field")]
#[case(json!({"version": 9, "upsert": {"services": [{"name": 3}]}}), "upsert.services[0].name is 3: ")]
#[case(json!({"version": 9, "upsert": {"limits": {"max_body_bytes": -1}}}), "upsert.limits.max_body_bytes is -1: ")]
#[case(json!({"version": 9, "upsert": {"zones": [["z"]]}}), "zones is [\"z\"]: expected an object;")]
#[case(json!({"version": 9, "upsert": {"services": [{"name": "x"}, {"name": "x"}]}}), "upsert.services is \"x\", which another item")]
#[case(json!({"version": 9, "upsert": {"services": [{"name": "x"}]}, "remove": {"services": ["x"]}}), "remove.services names \"x\", which upsert.services adds;")]
#[case(json!({"version": 9, "remove": {"services": ["cores"]}}), "routes[0].service is \"cores\": there is no such service;")]
#[case(json!({"version": 9, "remove": {"limits": ["x"]}}), "limits is {")]
#[case(json!({"version": 9, "remove": {"version": ["x"]}}), "version is 5: ")]
fn invalid_field_of_update_is_named_and_nothing_changes(
    #[case] update: Value,
    #[case] message: &str,
) {
    let (mut store, _) = store_with(5);
    let error = rejection(store.update(5, &update.to_string()));
    assert!(error.starts_with(message), "{error}");
    assert_eq!(current_configuration(&store), sample(5));
}

#[rstest]
#[case("/routes/1/timeout_ms")]
#[case("/routes/1/path_prefix")]
#[case("/routes/1/service")]
#[case("/routes/1")]
#[case("/routes")]
#[case("/version")]
fn error_of_huge_value_stays_short(#[case] pointer: &str) {
    let huge = with_field(sample(9), pointer, json!("é".repeat(100_000)));
    let (mut store, _) = store_with(5);
    let error = rejection(store.replace(5, &huge.to_string()));
    assert!(error.contains("éé"), "{}", error.len());
    assert!(error.len() < 1_000, "{} bytes", error.len());
}

#[test]
fn error_of_huge_names_in_update_stays_short() {
    let name = "n".repeat(100_000);
    let item = json!({"name": name});
    let updates = [
        json!({"version": 9, "upsert": {"services": [item, item]}}),
        json!({"version": 9, "upsert": {"services": [item]}, "remove": {"services": [name]}}),
        json!({"version": 9, "upsert": {&name: [3]}}),
        json!({"version": 9, "upsert": {&name: [item, item]}}),
        json!({"version": 9, "remove": {&name: [3]}}),
        json!({"version": 9, "remove": {&name: name}}),
    ];
    for update in updates {
        let (mut store, _) = store_with(5);
        let error = rejection(store.update(5, &update.to_string()));
        assert!(
            error.len() < 1_000,
            "{} bytes: {}",
            error.len(),
            &error[..100]
        );
    }
}
