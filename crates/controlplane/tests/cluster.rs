//! Three control machines over loopback: elections, operators' requests, jobs, leadership transfer and
//! restart.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use http::header::LOCATION;
use http::StatusCode;
use serde_json::{json, Value};
use streamusher_protocol::config::{READ_PATH, REPLACE_PATH, UPDATE_PATH};
use streamusher_protocol::internal::{
    AgentCommands, ClusterWatch, ExplainRequest, NotPrimary, AGENT_SYNC_PATH, CLIENT_REQUEST_PATH,
    EXPLAIN_PATH,
};
use streamusher_runtime::http::Response;
use support::cluster::{body_text, is_ok, run_bounded, Cluster};

const JOB: &str = "/queue/5c0e7a21d94b36f8";

fn configuration(version: u64) -> String {
    json!({
        "version": version,
        "routes": [{"name": "r", "host": "h.example", "path_prefix": "/queue/", "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 800, "priority": 0, "service": "s", "max_attempts": 2,
            "stretch": 2.0}],
        "services": [{"name": "s", "health_path": "/health", "guards": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
    })
    .to_string()
}

fn client_request(method: &str, body: &str) -> Value {
    json!({"method": method, "host": "h.example", "path": JOB, "body": body})
}

fn submission() -> Value {
    client_request(
        "POST",
        &json!({"spec": "work", "steps": [{"count": 1, "cpu": 500, "mem_mb": 64}]}).to_string(),
    )
}

fn agent_sync(sequence: u64, running: &Value, finished: &Value) -> Value {
    json!({
        "agent": "side-1", "boot": 7, "sequence": sequence, "epoch": 0, "revision": 0, "wait_ms": 100,
        "worker": {
            "instance": "i-1", "sequence": sequence, "service": "s", "zone": "z",
            "capacity": {"cpu": 4000, "mem_mb": 4096, "gpu": 0}, "labels": ["a", "r1-1"], "state": "ready",
            "running": running, "finished": finished,
        },
    })
}

fn job_state(response: &Response) -> String {
    let forwarded: Value = serde_json::from_slice(response.body()).unwrap();
    let body = forwarded["body"].as_str().unwrap_or_default();
    let status: Value = serde_json::from_str(body).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// The status code for the client, as forwarded in the response to a gate.
fn client_status(response: &Response) -> u64 {
    let forwarded: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    forwarded["status"].as_u64().unwrap_or_default()
}

async fn configured_cluster() -> (Cluster, usize) {
    let mut cluster = Cluster::start().await;
    let primary = cluster.primary().await;
    let response = cluster
        .operator_request(primary, REPLACE_PATH, Some("0"), &configuration(5))
        .await;
    assert_eq!(
        response.status(),
        StatusCode::OK,
        "{}",
        body_text(&response)
    );
    (cluster, primary)
}

#[test]
fn one_of_three_empty_machines_becomes_primary_and_the_others_redirect_to_it() {
    run_bounded(async {
        let (mut cluster, primary) = configured_cluster().await;
        let control = cluster.control(primary);
        for machine in (0..3).filter(|machine| *machine != primary) {
            let response = cluster
                .operator_request(machine, REPLACE_PATH, Some("0"), &configuration(5))
                .await;

            assert_eq!(response.status(), StatusCode::TEMPORARY_REDIRECT);
            assert_eq!(
                response.headers()[LOCATION],
                format!("http://{control}{REPLACE_PATH}")
            );
            let view = cluster.view(machine).await;
            assert_eq!(view.members.len(), 3);
            assert_eq!(view.primary.unwrap().control.as_ref(), control.to_string());
        }
    });
}

#[test]
fn repeated_change_is_acknowledged_and_conflicting_one_is_rejected() {
    run_bounded(async {
        let (mut cluster, primary) = configured_cluster().await;

        let again = cluster
            .operator_request(primary, REPLACE_PATH, Some("0"), &configuration(5))
            .await;
        let other = cluster
            .operator_request(primary, REPLACE_PATH, Some("0"), &configuration(6))
            .await;
        let update = cluster
            .operator_request(primary, UPDATE_PATH, Some("5"), r#"{"version":8}"#)
            .await;
        let read = cluster.operator_request(primary, READ_PATH, None, "").await;

        assert_eq!(again.status(), StatusCode::OK);
        assert_eq!(other.status(), StatusCode::PRECONDITION_FAILED);
        assert_eq!(update.status(), StatusCode::OK);
        let read: Value = serde_json::from_slice(read.body()).unwrap();
        assert_eq!(read["version"], 8);
        assert_eq!(read["routes"][0]["kind"], "unsafe");
    });
}

#[test]
fn malformed_operator_requests_are_rejected_with_their_cause() {
    run_bounded(async {
        let (mut cluster, primary) = configured_cluster().await;

        let no_base = cluster
            .operator_request(primary, REPLACE_PATH, None, &configuration(9))
            .await;
        let wrong_base = cluster
            .operator_request(primary, REPLACE_PATH, Some("five"), &configuration(9))
            .await;
        let cut_short = cluster
            .operator_request(primary, REPLACE_PATH, Some("5"), "{\"version\":")
            .await;
        let wrong_method = cluster
            .operator_request(primary, REPLACE_PATH, None, "")
            .await;
        let unknown = cluster
            .operator_request(primary, "/streamusher/Config.Delete", None, "")
            .await;
        let heartbeat = cluster
            .operator_request(primary, "/streamusher/Instances.Heartbeat/i-1", None, "{}")
            .await;

        assert_eq!(no_base.status(), StatusCode::BAD_REQUEST);
        assert!(body_text(&no_base).contains("streamusher-base-version"));
        assert_eq!(wrong_base.status(), StatusCode::BAD_REQUEST);
        assert_eq!(cut_short.status(), StatusCode::BAD_REQUEST);
        assert_eq!(wrong_method.status(), StatusCode::METHOD_NOT_ALLOWED);
        assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
        assert_eq!(heartbeat.status(), StatusCode::SERVICE_UNAVAILABLE);
        let read = cluster.operator_request(primary, READ_PATH, None, "").await;
        assert_eq!(
            serde_json::from_slice::<Value>(read.body()).unwrap()["version"],
            5
        );
    });
}

#[test]
fn replica_names_the_primary_to_gates_and_agents() {
    run_bounded(async {
        let (mut cluster, primary) = configured_cluster().await;
        let other = (primary + 1) % 3;

        let client = cluster
            .post(other, CLIENT_REQUEST_PATH, &submission())
            .await;
        let agent = cluster
            .post(
                other,
                AGENT_SYNC_PATH,
                &agent_sync(1, &json!([]), &json!([])),
            )
            .await;
        let malformed = cluster
            .post(primary, AGENT_SYNC_PATH, &json!({"agent": 7}))
            .await;

        for response in [client, agent] {
            assert_eq!(response.status(), StatusCode::MISDIRECTED_REQUEST);
            let not_primary: NotPrimary = serde_json::from_slice(response.body()).unwrap();
            let named = not_primary.view.primary.unwrap().internal;
            assert_eq!(named.as_ref(), cluster.internal(primary).to_string());
        }
        assert_eq!(malformed.status(), StatusCode::BAD_REQUEST);
        assert!(
            body_text(&malformed).contains("agent"),
            "{}",
            body_text(&malformed)
        );
    });
}

#[test]
fn finished_job_survives_leadership_transfer_and_restart() {
    run_bounded(async {
        let (mut cluster, primary) = configured_cluster().await;
        let accepted = cluster
            .post(primary, CLIENT_REQUEST_PATH, &submission())
            .await;
        assert_eq!(client_status(&accepted), 200, "{}", body_text(&accepted));

        let synced = cluster
            .post_until(
                AGENT_SYNC_PATH,
                &agent_sync(1, &json!([]), &json!([])),
                |response| {
                    serde_json::from_slice::<AgentCommands>(response.body())
                        .is_ok_and(|commands| !commands.start.is_empty())
                },
            )
            .await;
        let commands: AgentCommands = serde_json::from_slice(synced.body()).unwrap();
        let start = &commands.start[0];
        let ended = json!([[1, start.task, start.run, "done", ""]]);
        cluster
            .post(primary, AGENT_SYNC_PATH, &agent_sync(2, &json!([]), &ended))
            .await;
        let get = client_request("GET", "");
        let succeeded = |response: &Response| is_ok(response) && job_state(response) == "succeeded";
        cluster
            .post_until(CLIENT_REQUEST_PATH, &get, succeeded)
            .await;

        cluster.stop_machine(primary).await;
        cluster
            .post_until(CLIENT_REQUEST_PATH, &get, succeeded)
            .await;
        assert_ne!(cluster.primary().await, primary);

        cluster.stop_all().await;
        for machine in 0..3 {
            cluster.start_machine(machine, false).await;
        }
        cluster
            .post_until(CLIENT_REQUEST_PATH, &get, succeeded)
            .await;
        let primary = cluster.primary().await;
        let read = cluster.operator_request(primary, READ_PATH, None, "").await;
        assert_eq!(
            serde_json::from_slice::<Value>(read.body()).unwrap()["version"],
            5
        );
    });
}

#[test]
fn watch_at_a_replica_returns_the_next_epoch_after_leadership_transfer() {
    run_bounded(async {
        let (mut cluster, primary) = configured_cluster().await;
        let other = (0..3).find(|machine| *machine != primary).unwrap();
        let known = cluster.view(other).await;
        let watch = ClusterWatch {
            epoch: known.epoch,
            wait_ms: 10_000,
        };
        let mut watching = cluster.watcher(other);
        let watched = tokio::task::spawn_local(async move { watching.watch(&watch).await });

        cluster.stop_machine(primary).await;

        let view = watched.await.unwrap();
        assert!(view.epoch > known.epoch, "{view:?}");
        assert_ne!(view.primary, known.primary);
    });
}

#[test]
fn primary_explains_why_a_job_waits() {
    run_bounded(async {
        let (mut cluster, _) = configured_cluster().await;
        cluster
            .post_until(CLIENT_REQUEST_PATH, &submission(), |response| {
                client_status(response) == 200
            })
            .await;
        let job = ExplainRequest::Job("5c0e7a21d94b36f8".parse().unwrap());

        let waits = cluster.post_until(EXPLAIN_PATH, &job, is_ok).await;
        let unknown = ExplainRequest::Job("0000000000000001".parse().unwrap());
        let unknown = cluster
            .post_until(EXPLAIN_PATH, &unknown, |a| !is_misdirected(a))
            .await;
        let user = cluster
            .post_until(EXPLAIN_PATH, &ExplainRequest::User("r".into()), |a| {
                !is_misdirected(a)
            })
            .await;

        let waits: Value = serde_json::from_slice(waits.body()).unwrap();
        assert_eq!(
            (&waits["state"], &waits["queue"]),
            (&json!("pending"), &json!("r"))
        );
        assert_eq!(waits["waiting"][0]["reason"], "no_worker_takes_work");
        assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
        assert!(
            body_text(&user).contains("--share-debt"),
            "{}",
            body_text(&user)
        );
    });
}

fn is_misdirected(response: &Response) -> bool {
    response.status() == StatusCode::MISDIRECTED_REQUEST
}
