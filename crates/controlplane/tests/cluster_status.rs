//! The command `status` over a cluster on loopback, and over answers that are not a status.

mod support;

use serde_json::{json, Value};
use std::net::SocketAddr;
use streamusher_controlplane::cluster_status::query::{query_all, StatusResponses};
use streamusher_controlplane::cluster_status::report::{is_acting, render};
use streamusher_controlplane::cluster_status::table::Table;
use streamusher_controlplane::cluster_status::{health, Health};
use support::cluster::{is_ok, story, Cluster};

const CONFIGURATION: &str = r#"{"version":4,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","timeout_ms":3000,"service":"s"}],"services":[{"name":"s"}]}"#;

fn roles(answers: &StatusResponses) -> Vec<String> {
    let role = |status: &Value| {
        status
            .pointer("/core/role")
            .unwrap()
            .as_str()
            .unwrap()
            .to_owned()
    };
    let mut roles: Vec<String> = answers.values().flatten().map(role).collect();
    roles.sort();
    roles
}

#[test]
fn given_one_address_when_asked_then_all_machines_are_found_and_the_tables_show_them() {
    story(async {
        let mut cluster = Cluster::start().await;
        let primary = cluster.primary().await;
        let taken = cluster
            .order(
                primary,
                "/streamusher/Config.Replace",
                Some("0"),
                CONFIGURATION,
            )
            .await;
        assert!(is_ok(&taken));

        let mut answers = query_all(vec![cluster.internal(0)]).await;
        while !answers.values().flatten().any(is_acting) {
            answers = query_all(vec![cluster.internal(0)]).await;
        }
        let text = render(&answers);

        assert_eq!(answers.len(), 3);
        assert_eq!(health(&answers), Health::Good);
        assert_eq!(
            roles(&answers)
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
fn given_a_stopped_machine_when_asked_then_it_is_shown_without_an_answer() {
    story(async {
        let mut cluster = Cluster::start().await;
        let primary = cluster.primary().await;
        let other = (primary + 1) % 3;
        cluster.stop_machine(other).await;

        let answers = query_all(vec![cluster.internal(primary)]).await;

        assert!(answers[&cluster.internal(other)].is_err());
        assert_eq!(health(&answers), Health::Impaired);
        assert!(render(&answers).contains("no response"));
        cluster.stop_all().await;
    });
}

#[test]
fn given_answers_of_any_shape_when_rendered_then_nothing_panics() {
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
        let answers = StatusResponses::from([(address(port), Ok(shape))]);

        assert!(render(&answers).contains("ADDRESS"));
    }
}

#[test]
fn given_cells_of_several_widths_then_columns_are_as_wide_as_their_widest_and_empty_ones_show_a_dash(
) {
    let mut table = Table::new(&["A", "LONGER"]);
    table.add_row(["value".to_owned(), String::new()]);

    assert_eq!(table.render(), "A      LONGER\nvalue  -\n");
    assert_eq!(Table::new(&["A", "B"]).render(), "A: none\n");
}
