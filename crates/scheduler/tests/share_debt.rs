//! Recent use orders work within a priority, where it is switched on.

mod support;

use rstest::rstest;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use streamusher_protocol::Millis;
use streamusher_scheduler::{Event, OperatorRequest, OperatorRequestKind, SchedulerSettings};
use support::{settings, TestAgent, World, JOB};

/// The status as operators read it.
fn status(world: &World) -> serde_json::Value {
    serde_json::to_value(world.scheduler.status(world.now)).expect("JSON")
}

/// A task that takes the whole worker.
const WHOLE: &str = r#"[{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":20000}]"#;
const SCANS: &str = "00000000000000a1";
const CHECK: &str = "00000000000000b1";

fn with_debts() -> SchedulerSettings {
    let debts = streamusher_fair_share::FairShareSettings {
        most_delay_ms: 60_000,
        half_delay_core_s: 10,
        ..streamusher_fair_share::FairShareSettings::with_half_life(60_000)
    };
    SchedulerSettings {
        fair_share: Some(debts),
        ..settings()
    }
}

/// A world with a worker and a second queue, `/p/`, of this priority.
fn given_two_queues(settings: SchedulerSettings, priority: u32) -> (World, TestAgent) {
    let mut world = World::with(settings);
    let body = format!(
        r#"{{"version":2,"upsert":{{"routes":[{{"name":"p","host":"h","path_prefix":"/p/","timeout_ms":3000,
            "target_latency_ms":800,"priority":{priority},"service":"s","max_attempts":2,"stretch":1.5}}]}}}}"#
    );
    let order = OperatorRequest {
        kind: OperatorRequestKind::Update,
        base: Some(1),
        body: body.into(),
    };
    world.handle(Event::OperatorRequest {
        id: 1_000_000,
        request: order,
    });
    let mut agent = TestAgent::new("side-1", "i-1");
    world.settle(&mut agent);
    (world, agent)
}

fn submit(world: &mut World, path: &str) {
    let body = format!(r#"{{"spec":"text","steps":{WHOLE}}}"#);
    assert_eq!(world.call(ClientMethod::Post, path, &body).status, 200);
}

/// Lets time pass while the agent calls and its worker's progress rises.
fn work(world: &mut World, agent: &mut TestAgent, span: Millis) {
    let until = world.now + span;
    while world.now < until {
        world.wait(250);
        agent.report.sequence += 1;
        agent
            .report
            .running
            .iter_mut()
            .for_each(|run| run.percent += 1.0);
        world.settle(agent);
    }
}

/// A job of queue `/q/` runs; after it one of `/q/` waits, and one of `/p/` that came later.
fn given_heavy_use_and_two_that_wait(settings: SchedulerSettings) -> (World, TestAgent) {
    let (mut world, mut agent) = given_two_queues(settings, 0);
    submit(&mut world, &format!("/q/{JOB}"));
    world.settle(&mut agent);
    agent.begin_all();
    work(&mut world, &mut agent, 1_000);
    submit(&mut world, &format!("/q/{SCANS}"));
    work(&mut world, &mut agent, 8_000);
    submit(&mut world, &format!("/p/{CHECK}"));
    work(&mut world, &mut agent, 1_000);
    (world, agent)
}

fn next_start(world: &mut World, agent: &mut TestAgent) -> String {
    agent.end_all(RunEnd::Done);
    world.settle(agent);
    assert_eq!(agent.start.len(), 1);
    agent.start[0].task.job.to_string()
}

#[rstest]
#[case::on(Some(()), CHECK)]
#[case::off(None, SCANS)]
fn given_a_user_with_recent_use_when_room_comes_free_then_the_other_goes_first_only_with_debts(
    #[case] on: Option<()>,
    #[case] first: &str,
) {
    let settings = if on.is_some() {
        with_debts()
    } else {
        settings()
    };
    let (mut world, mut agent) = given_heavy_use_and_two_that_wait(settings);
    assert_eq!(next_start(&mut world, &mut agent), first);
}

#[test]
fn given_debts_when_another_machine_takes_over_then_they_are_known_there() {
    let (mut world, mut agent) = given_heavy_use_and_two_that_wait(with_debts());
    let before = status(&world)["share_debt"].clone();
    world.fail_over();
    let after = status(&world)["share_debt"].clone();
    assert_eq!(after["version"], before["version"]);
    assert_eq!(
        after["users"][0]["debt_core_ms"],
        before["users"][0]["debt_core_ms"]
    );
    assert_eq!(
        after["users"][0]["rate_millicores"],
        1_000 + 1,
        "what runs accrues on: a core, and 10 MB"
    );
    world.settle(&mut agent);
    work(&mut world, &mut agent, 2_000);
    assert_eq!(status(&world)["share_debt"]["version"]["epoch"], 2);
    assert_eq!(next_start(&mut world, &mut agent), CHECK);
}

#[test]
fn given_a_more_urgent_queue_when_its_user_owes_most_then_it_still_goes_first() {
    let (mut world, mut agent) = given_two_queues(with_debts(), 1);
    submit(&mut world, &format!("/q/{JOB}"));
    world.settle(&mut agent);
    agent.begin_all();
    submit(&mut world, &format!("/p/{CHECK}"));
    work(&mut world, &mut agent, 9_000);
    submit(&mut world, &format!("/q/{SCANS}"));
    work(&mut world, &mut agent, 1_000);
    assert_eq!(next_start(&mut world, &mut agent), SCANS);
}

#[test]
fn given_a_worker_that_dies_when_its_run_is_lost_then_its_user_does_not_pay() {
    let (mut world, mut agent) = given_two_queues(with_debts(), 0);
    submit(&mut world, &format!("/q/{JOB}"));
    world.settle(&mut agent);
    agent.begin_all();
    work(&mut world, &mut agent, 9_000);
    let users = status(&world)["share_debt"]["users"].clone();
    assert!(users[0]["debt_core_ms"].as_u64() > Some(7_000), "{users}");
    agent.replace_worker("i-2");
    world.settle(&mut agent);
    let users = status(&world)["share_debt"]["users"].clone();
    assert_eq!(users[0]["present_core_ms"], 0, "{users}");
}

#[test]
fn given_debts_switched_off_when_work_runs_then_nothing_of_them_is_written_or_shown() {
    let (world, _) = given_heavy_use_and_two_that_wait(settings());
    assert!(status(&world)["share_debt"].is_null());
    assert!(!world.state.keys().any(|key| key.starts_with("debt")));
}

#[test]
fn given_debts_when_work_runs_then_at_most_one_version_a_second_is_written() {
    let (world, _) = given_heavy_use_and_two_that_wait(with_debts());
    let number = status(&world)["share_debt"]["version"]["number"]
        .as_u64()
        .expect("a number");
    assert!(
        (8..=10).contains(&number),
        "{number} versions in {} ms",
        world.now
    );
    assert!(world.state.contains_key("debt/r") && world.state.contains_key("debt-version"));
}
