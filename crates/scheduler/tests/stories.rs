//! When a run is ordered, when its room is free, and when its task may run anew.

mod support;

use streamusher_placement::WaitReason;
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use support::given::{given_a_running_task, given_an_ordered_task, ONE_TASK};
use support::{TestAgent, World, JOB, MAX_LEASE_MS};

#[test]
fn a_job_runs_and_is_shown_as_succeeded() {
    let (mut world, mut agent) = given_a_running_task();
    assert!(world.state_of_job().contains("running"));
    agent.end_all(RunEnd::Done);
    world.settle(&mut agent);
    assert!(world.state_of_job().contains("succeeded"));
    assert_eq!(agent.last_seen, 1, "the end is taken note of");
    assert!(agent.start.is_empty() && agent.stop.is_empty());
}

#[test]
fn a_job_handed_in_twice_stays_one() {
    let (mut world, mut agent) = given_a_running_task();
    assert_eq!(world.submit(ONE_TASK).status, 200);
    world.wait(500);
    world.settle(&mut agent);
    assert!(
        agent.start.is_empty(),
        "nothing is started for the second call"
    );
}

#[test]
fn a_failed_task_is_tried_as_often_as_its_queue_allows() {
    let (mut world, mut agent) = given_a_running_task();
    agent.end_all(RunEnd::Failed);
    world.settle(&mut agent);
    assert_eq!(agent.start.len(), 1, "a second attempt");
    agent.begin_all();
    world.settle(&mut agent);
    agent.end_all(RunEnd::Failed);
    world.settle(&mut agent);
    assert!(agent.start.is_empty());
    assert!(world.state_of_job().contains("failed"));
}

#[test]
fn a_run_that_may_have_begun_keeps_its_room_after_a_cancel() {
    let (mut world, mut agent) = given_an_ordered_task();
    agent.offer_all();
    world.settle(&mut agent);
    assert_eq!(
        world
            .call(ClientMethod::Delete, &format!("/q/{JOB}"), "")
            .status,
        200
    );
    let other = "0000000000000001";
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    world.call(ClientMethod::Post, &format!("/q/{other}"), &body);
    world.settle(&mut agent);
    assert!(
        agent.start.is_empty(),
        "600 of 1,000 may be taken: the other task does not fit"
    );
    agent.beat_without();
    world.settle(&mut agent);
    assert_eq!(
        agent.start.len(),
        1,
        "the cancelled run never began: its room is free"
    );
}

#[test]
fn a_silent_machine_keeps_its_task_until_its_lease_is_over() {
    let (mut world, mut first) = given_a_running_task();
    let mut second = TestAgent::new("side-2", "i-2");
    let until = world.now + MAX_LEASE_MS;
    while world.now < until {
        world.settle(&mut second);
        assert!(
            second.start.is_empty(),
            "at {} the task may still run at the silent machine",
            world.now
        );
        world.wait(100);
    }
    world.wait(300);
    world.settle(&mut second);
    assert_eq!(second.start.len(), 1);
    assert_eq!(second.start[0].run, 2, "a new run");
    first.end_all(RunEnd::Done);
    world.settle(&mut first);
    assert!(
        !world.state_of_job().contains("succeeded"),
        "an end from beyond the lease is not used"
    );
}

#[test]
fn a_new_primary_waits_for_leases_that_the_former_one_may_have_granted() {
    let (mut world, mut first) = given_a_running_task();
    world.wait(3_000);
    world.fail_over();
    let mut second = TestAgent::new("side-2", "i-2");
    let until = world.now + MAX_LEASE_MS;
    while world.now < until {
        world.settle(&mut second);
        assert!(
            second.start.is_empty(),
            "at {} the task may still run at the silent machine",
            world.now
        );
        world.wait(100);
    }
    world.wait(300);
    world.settle(&mut second);
    assert_eq!(second.start.len(), 1);
    assert_eq!(first.running().len(), 1);
    world.settle(&mut first);
    assert_eq!(
        first.stop.len(),
        1,
        "a run that is over for us is told to stop"
    );
}

#[test]
fn a_new_primary_takes_over_what_runs() {
    let (mut world, mut agent) = given_a_running_task();
    world.fail_over();
    world.settle(&mut agent);
    assert!(agent.start.is_empty() && agent.stop.is_empty());
    agent.end_all(RunEnd::Done);
    world.settle(&mut agent);
    assert!(world.state_of_job().contains("succeeded"));
}

#[test]
fn a_new_primary_orders_again_what_had_not_begun() {
    let (mut world, mut agent) = given_an_ordered_task();
    let first = agent.start.clone();
    world.fail_over();
    agent.beat_without();
    world.settle(&mut agent);
    assert_eq!(
        agent.start, first,
        "the same run, which was recorded before it was ordered"
    );
}

#[test]
fn another_worker_on_the_machine_proves_that_the_former_one_is_dead() {
    let (mut world, mut agent) = given_a_running_task();
    agent.replace_worker("i-9");
    world.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
    assert_eq!(agent.start[0].run, 2);
}

#[test]
fn another_worker_proves_the_former_one_dead_after_a_failover_too() {
    let (mut world, mut agent) = given_a_running_task();
    world.fail_over();
    agent.replace_worker("i-9");
    world.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
}

#[test]
fn a_worker_that_drains_is_given_nothing() {
    let mut world = World::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    agent.report.state = WorkerState::Draining;
    world.settle(&mut agent);
    world.submit(ONE_TASK);
    world.wait(500);
    world.settle(&mut agent);
    assert!(agent.start.is_empty());
}

#[test]
fn a_restarted_agent_goes_on_with_its_worker() {
    let (mut world, mut agent) = given_a_running_task();
    agent.boot = 2;
    agent.beat_without();
    world.settle(&mut agent);
    assert!(agent.start.is_empty() && agent.stop.is_empty());
    agent.end_all(RunEnd::Done);
    world.settle(&mut agent);
    assert!(world.state_of_job().contains("succeeded"));
}

#[test]
fn a_run_that_nobody_ordered_is_stopped() {
    let (mut world, mut agent) = given_a_running_task();
    let mut stray = agent.report.running[0].clone();
    stray.run = 7;
    agent.report.sequence += 1;
    agent.report.running.push(stray);
    world.settle(&mut agent);
    assert_eq!(agent.stop.len(), 1);
    assert_eq!(agent.stop[0].run, 7);
}

#[test]
fn a_task_that_stands_still_is_moved() {
    let (mut world, mut first) = given_a_running_task();
    let mut second = TestAgent::new("side-2", "i-2");
    for _ in 0..40 {
        world.settle(&mut first);
        world.settle(&mut second);
        world.wait(100);
    }
    world.settle(&mut first);
    assert_eq!(first.stop.len(), 1);
    assert!(second.start.is_empty(), "not before the stop is listed");
    first.end_all(RunEnd::Stopped);
    world.settle(&mut first);
    world.settle(&mut second);
    assert_eq!(second.start.len(), 1, "elsewhere");
}

#[test]
fn calls_that_make_no_sense_are_answered_with_the_fault() {
    let mut world = World::new();
    assert_eq!(world.call(ClientMethod::Get, "/nowhere/", "").status, 404);
    assert_eq!(
        world
            .call(ClientMethod::Get, &format!("/q/{JOB}"), "")
            .status,
        410
    );
    assert_eq!(world.call(ClientMethod::Post, "/q/xyz", "{}").status, 400);
    assert_eq!(
        world
            .call(ClientMethod::Post, &format!("/q/{JOB}"), "{\"steps\":")
            .status,
        400
    );
    assert_eq!(
        world.call(ClientMethod::Get, "/q/", "").body.as_ref(),
        r#"{"waiting":0}"#
    );
}

#[test]
fn what_has_not_begun_at_a_silent_worker_runs_elsewhere_once_its_agent_confirms() {
    let (mut world, mut first) = given_an_ordered_task();
    let mut second = TestAgent::new("side-2", "i-2");
    world.settle(&mut second);
    first.report.silent_ms = 1_400;
    world.settle(&mut first);
    world.wait(200);
    world.settle(&mut second);
    assert!(
        second.start.is_empty(),
        "the agent may still hand the order on"
    );
    world.settle(&mut first);
    world.settle(&mut second);
    assert_eq!(
        second.start.len(),
        1,
        "the agent holds orders without it and has not offered it"
    );
}

#[test]
fn what_may_have_begun_at_a_silent_worker_is_not_ordered_elsewhere() {
    let (mut world, mut first) = given_an_ordered_task();
    let mut second = TestAgent::new("side-2", "i-2");
    first.offer_all();
    first.report.silent_ms = 1_400;
    for _ in 0..10 {
        world.settle(&mut first);
        world.settle(&mut second);
        assert!(second.start.is_empty());
        world.wait(200);
    }
}

#[test]
fn a_new_primary_stops_nothing_before_it_has_heard_the_agents() {
    let (mut world, mut agent) = given_a_running_task();
    world.fail_over();
    world.wait(3_000);
    world.settle(&mut agent);
    assert!(agent.stop.is_empty(), "the run is at work");
    world.wait(300);
    world.settle(&mut agent);
    assert!(agent.stop.is_empty() && agent.start.is_empty());
}

#[test]
fn what_was_ordered_before_a_cut_goes_on_after_it() {
    let (mut world, mut agent) = given_an_ordered_task();
    world.wait(3_000);
    agent.begin_all();
    world.settle(&mut agent);
    assert!(
        agent.stop.is_empty(),
        "the worker was at work on it while its agent was cut off"
    );
}

#[test]
fn what_was_stopped_before_a_failover_and_never_began_gives_its_room_back() {
    let (mut world, mut agent) = given_an_ordered_task();
    world.call(ClientMethod::Delete, &format!("/q/{JOB}"), "");
    world.fail_over();
    world.settle(&mut agent);
    agent.beat_without();
    world.settle(&mut agent);
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    assert_eq!(
        world
            .call(ClientMethod::Post, "/q/0000000000000001", &body)
            .status,
        200
    );
    world.settle(&mut agent);
    assert_eq!(
        agent.start.len(),
        1,
        "the stopped run never began: its room is free"
    );
}

#[test]
fn a_new_primary_names_the_recorded_worker_to_an_agent_that_has_heard_none() {
    let (mut world, _) = given_a_running_task();
    world.fail_over();
    let mut restarted = TestAgent::new("side-1", "i-1");
    restarted.boot = 2;
    let orders = world
        .sync_without_worker(&mut restarted)
        .expect("the agent holds no orders yet");
    assert_eq!(orders.instance.as_deref(), Some("i-1"));
}

#[test]
fn a_job_is_explained_by_its_runs_and_by_what_waits() {
    let (mut world, mut agent) = given_a_running_task();
    let second = "0000000000000001";
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    world.call(ClientMethod::Post, &format!("/q/{second}"), &body);
    world.settle(&mut agent);

    let runs = world
        .scheduler
        .explain_job(world.now, &JOB.parse().unwrap())
        .unwrap();
    let waits = world
        .scheduler
        .explain_job(world.now, &second.parse().unwrap())
        .unwrap();

    assert_eq!((runs.runs.len(), runs.pending.len()), (1, 0));
    assert!(runs.runs[0].running && &*runs.runs[0].worker == "i-1");
    assert_eq!((waits.runs.len(), waits.pending.len()), (0, 1));
    assert_eq!(waits.pending[0].waiting.reason, WaitReason::NoFreeCapacity);
    assert_eq!(
        world
            .scheduler
            .explain_job(world.now, &"0000000000000009".parse().unwrap()),
        None
    );
}
