//! The command `status` with a cluster on loopback, and with responses that are not a valid status.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use serde_json::{json, Value};
use std::net::SocketAddr;
use streamusher_controlplane::cluster_status::query::{query_all, StatusResponses};
use streamusher_controlplane::cluster_status::report::{is_acting, render};
use streamusher_controlplane::cluster_status::table::Table;
use streamusher_controlplane::cluster_status::{health, Health};
use support::cluster::{is_ok, run_bounded, Cluster};

const CONFIGURATION: &str = r#"{"version":4,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","timeout_ms":3000,"service":"s"}],"services":[{"name":"s"}]}"#;

fn roles(responses: &StatusResponses) -> Vec<String> {
    let role = |status: &Value| {
        status
            .pointer("/core/role")
            .unwrap()
            .as_str()
            .unwrap()
            .to_owned()
    };
    let mut roles: Vec<String> = responses.values().flatten().map(role).collect();
    roles.sort();
    roles
}

#[test]
fn one_address_suffices_to_find_all_machines() {
    run_bounded(async {
        let mut cluster = Cluster::start().await;
        let primary = cluster.primary().await;
        let change_response = cluster
            .operator_request(
                primary,
                "/streamusher/Config.Replace",
                Some("0"),
                CONFIGURATION,
            )
            .await;
        assert!(is_ok(&change_response));

        let mut responses = query_all(vec![cluster.internal(0)]).await;
        while !responses.values().flatten().any(is_acting) {
            responses = query_all(vec![cluster.internal(0)]).await;
        }
        let text = render(&responses);

        assert_eq!(responses.len(), 3);
        assert_eq!(health(&responses), Health::Healthy);
        assert_eq!(
            roles(&responses)
                .iter()
                .filter(|role| *role == "primary")
                .count(),
            1
        );
        for machine in 0..3 {
            assert!(
                text.contains(&cluster.internal(machine).to_string()),
                "{text}"
            );
        }
        for part in ["acting", "configuration 4", "MEMBER", "WORKER", "QUEUE"] {
            assert!(text.contains(part), "{part}: {text}");
        }
        cluster.stop_all().await;
    });
}

#[test]
fn stopped_machine_is_shown_without_response() {
    run_bounded(async {
        let mut cluster = Cluster::start().await;
        let primary = cluster.primary().await;
        let other = (primary + 1) % 3;
        cluster.stop_machine(other).await;

        let responses = query_all(vec![cluster.internal(primary)]).await;

        assert!(responses[&cluster.internal(other)].is_err());
        assert_eq!(health(&responses), Health::Degraded);
        assert!(render(&responses).contains("no response"));
        cluster.stop_all().await;
    });
}

#[test]
fn responses_of_any_shape_are_rendered() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let shapes = [
        json!(null),
        json!([1, 2]),
        json!({ "core": 3 }),
        json!({ "core": { "acting": true, "record": { "members": [null, { "id": [] }], "primary": 4 } } }),
        json!({ "role": "gate", "ready": "yes", "last_error": { "age_ms": -1 } }),
        json!({ "core": { "acting": true }, "scheduler": { "workers": { "a": 1 }, "queues": [2] } }),
    ];
    for (port, shape) in (1..).zip(shapes) {
        let responses = StatusResponses::from([(address(port), Ok(shape))]);

        assert!(render(&responses).contains("ADDRESS"));
    }
}

#[test]
fn columns_are_as_wide_as_their_widest_cell_and_empty_cells_show_a_dash() {
    let mut table = Table::new(&["A", "LONGER"]);
    table.add_row(["value".to_owned(), String::new()]);

    assert_eq!(table.render(), "A      LONGER\nvalue  -\n");
    assert_eq!(Table::new(&["A", "B"]).render(), "A: none\n");
}
