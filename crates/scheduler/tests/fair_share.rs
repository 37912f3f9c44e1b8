//! Tests of fair share: decayed usage orders work within a priority if fair share is enabled.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::Millis;
use streamusher_scheduler::{Event, OperatorRequest, OperatorRequestKind, SchedulerSettings};
use support::{settings, TestAgent, TestCluster, JOB};

/// The scheduler's status as operators read it.
fn status(cluster: &TestCluster) -> serde_json::Value {
    serde_json::to_value(cluster.scheduler.status(cluster.now)).expect("JSON")
}

/// Steps of a job with one task that takes the whole worker.
const WHOLE_WORKER_TASK: &str = r#"[{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":20000}]"#;

/// A job of the user with large usage.
const JOB_OF_HEAVY_USER: &str = "00000000000000a1";

/// A job of the user without usage.
const JOB_OF_IDLE_USER: &str = "00000000000000b1";

fn with_fair_share() -> SchedulerSettings {
    let fair_share = streamusher_fair_share::FairShareSettings {
        max_delay_ms: 60_000,
        half_delay_core_s: 10,
        ..streamusher_fair_share::FairShareSettings::with_half_life(60_000)
    };
    SchedulerSettings {
        fair_share: Some(fair_share),
        ..settings()
    }
}

/// Creates a cluster with one worker and a second queue, `/p/`, of the given priority.
fn with_two_queues(settings: SchedulerSettings, priority: u32) -> (TestCluster, TestAgent) {
    let mut cluster = TestCluster::with_settings(settings);
    let body = format!(
        r#"{{"version":2,"upsert":{{"routes":[{{"name":"p","host":"h","path_prefix":"/p/","timeout_ms":3000,
            "target_latency_ms":800,"priority":{priority},"service":"s","max_attempts":2,"stretch":1.5}}]}}}}"#
    );
    let request = OperatorRequest {
        kind: OperatorRequestKind::Update,
        base: Some(1),
        body: body.into(),
    };
    cluster.handle(Event::OperatorRequest {
        id: 1_000_000,
        request,
    });
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    (cluster, agent)
}

fn submit(cluster: &mut TestCluster, path: &str) {
    let body = format!(r#"{{"spec":"text","steps":{WHOLE_WORKER_TASK}}}"#);
    assert_eq!(cluster.request(ClientMethod::Post, path, &body).status, 200);
}

/// Advances the time while the agent calls and the progress of its worker's runs increases.
fn run_for(cluster: &mut TestCluster, agent: &mut TestAgent, span: Millis) {
    let until = cluster.now + span;
    while cluster.now < until {
        cluster.wait(250);
        agent.report.sequence += 1;
        agent
            .report
            .running
            .iter_mut()
            .for_each(|run| run.percent += 1.0);
        cluster.settle(agent);
    }
}

/// Creates a cluster in which a job of queue `/q/` is running. Behind it a job of `/q/` is pending, and a job
/// of `/p/` that was submitted later.
fn with_heavy_usage_and_two_pending_jobs(settings: SchedulerSettings) -> (TestCluster, TestAgent) {
    let (mut cluster, mut agent) = with_two_queues(settings, 0);
    submit(&mut cluster, &format!("/q/{JOB}"));
    cluster.settle(&mut agent);
    agent.start_all();
    run_for(&mut cluster, &mut agent, 1_000);
    submit(&mut cluster, &format!("/q/{JOB_OF_HEAVY_USER}"));
    run_for(&mut cluster, &mut agent, 8_000);
    submit(&mut cluster, &format!("/p/{JOB_OF_IDLE_USER}"));
    run_for(&mut cluster, &mut agent, 1_000);
    (cluster, agent)
}

fn next_start(cluster: &mut TestCluster, agent: &mut TestAgent) -> String {
    agent.finish_all(RunEnd::Done);
    cluster.settle(agent);
    assert_eq!(agent.start.len(), 1);
    agent.start[0].task.job.to_string()
}

#[rstest]
#[case::enabled(Some(()), JOB_OF_IDLE_USER)]
#[case::disabled(None, JOB_OF_HEAVY_USER)]
fn user_with_less_usage_is_ordered_first_if_fair_share_is_enabled(
    #[case] enabled: Option<()>,
    #[case] expected_first: &str,
) {
    let settings = if enabled.is_some() {
        with_fair_share()
    } else {
        settings()
    };
    let (mut cluster, mut agent) = with_heavy_usage_and_two_pending_jobs(settings);
    assert_eq!(next_start(&mut cluster, &mut agent), expected_first);
}

#[test]
fn new_primary_inherits_usage() {
    let (mut cluster, mut agent) = with_heavy_usage_and_two_pending_jobs(with_fair_share());
    let before = status(&cluster)["share_debt"].clone();
    cluster.take_over();
    let after = status(&cluster)["share_debt"].clone();
    assert_eq!(after["version"], before["version"]);
    assert_eq!(
        after["users"][0]["debt_core_ms"],
        before["users"][0]["debt_core_ms"]
    );
    assert_eq!(
        after["users"][0]["rate_millicores"],
        1_000 + 1,
        "the run continues to be charged for a core and 10 MB"
    );
    cluster.settle(&mut agent);
    run_for(&mut cluster, &mut agent, 2_000);
    assert_eq!(status(&cluster)["share_debt"]["version"]["epoch"], 2);
    assert_eq!(next_start(&mut cluster, &mut agent), JOB_OF_IDLE_USER);
}

#[test]
fn priority_takes_precedence_over_usage() {
    let (mut cluster, mut agent) = with_two_queues(with_fair_share(), 1);
    submit(&mut cluster, &format!("/q/{JOB}"));
    cluster.settle(&mut agent);
    agent.start_all();
    submit(&mut cluster, &format!("/p/{JOB_OF_IDLE_USER}"));
    run_for(&mut cluster, &mut agent, 9_000);
    submit(&mut cluster, &format!("/q/{JOB_OF_HEAVY_USER}"));
    run_for(&mut cluster, &mut agent, 1_000);
    assert_eq!(next_start(&mut cluster, &mut agent), JOB_OF_HEAVY_USER);
}

#[test]
fn lost_run_is_not_charged() {
    let (mut cluster, mut agent) = with_two_queues(with_fair_share(), 0);
    submit(&mut cluster, &format!("/q/{JOB}"));
    cluster.settle(&mut agent);
    agent.start_all();
    run_for(&mut cluster, &mut agent, 9_000);
    let users = status(&cluster)["share_debt"]["users"].clone();
    assert!(users[0]["debt_core_ms"].as_u64() > Some(7_000), "{users}");
    agent.replace_worker("i-2");
    cluster.settle(&mut agent);
    let users = status(&cluster)["share_debt"]["users"].clone();
    assert_eq!(users[0]["present_core_ms"], 0, "{users}");
}

#[test]
fn nothing_is_written_or_shown_if_fair_share_is_disabled() {
    let (cluster, _) = with_heavy_usage_and_two_pending_jobs(settings());
    assert!(status(&cluster)["share_debt"].is_null());
    assert!(!cluster.state.keys().any(|key| key.starts_with("debt")));
}

#[test]
fn at_most_one_ranking_version_per_second_is_written() {
    let (cluster, _) = with_heavy_usage_and_two_pending_jobs(with_fair_share());
    let number = status(&cluster)["share_debt"]["version"]["number"]
        .as_u64()
        .expect("a number");
    assert!(
        (8..=10).contains(&number),
        "{number} versions in {} ms",
        cluster.now
    );
    assert!(cluster.state.contains_key("debt/r") && cluster.state.contains_key("debt-version"));
}
