//! Workers that are lost, silent, hanging or slow: what runs there, and when another run may start.

mod support;

use rstest::rstest;
use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::task::RunEnd;
use support::given::given_a_running_task;
use support::{TestAgent, World};

/// The agent of a running task's worker starts anew, and the worker does not call it.
fn given_a_restarted_agent_that_hears_no_worker() -> (World, TestAgent) {
    let (mut world, mut agent) = given_a_running_task();
    agent.boot = 2;
    world.sync_without_worker(&mut agent);
    agent.report = WorkerReport {
        sequence: 0,
        running: Vec::new(),
        ..agent.report
    };
    world.settle(&mut agent);
    (world, agent)
}

#[test]
fn what_ran_at_a_worker_that_a_restarted_agent_calls_gone_runs_elsewhere() {
    let (mut world, mut agent) = given_a_restarted_agent_that_hears_no_worker();
    agent.report.gone = true;
    world.settle(&mut agent);

    let mut second = TestAgent::new("side-2", "i-2");
    world.settle(&mut second);
    world.wait(300);
    world.settle(&mut second);

    assert_eq!(second.start.len(), 1);
    assert_eq!(second.start[0].run, 2, "a new run");
}

#[test]
fn a_late_call_of_an_agents_earlier_start_is_not_taken_for_news() {
    let (mut world, mut agent) = given_a_restarted_agent_that_hears_no_worker();
    let mut earlier = TestAgent::new("side-1", "i-1");
    earlier.report = WorkerReport {
        gone: true,
        ..agent.report.clone()
    };

    world.sync(&mut earlier);

    let mut second = TestAgent::new("side-2", "i-2");
    world.settle(&mut second);
    world.wait(300);
    world.settle(&mut second);
    assert!(
        second.start.is_empty(),
        "the run may still be held at the first worker"
    );
    agent.report.gone = true;
    world.settle(&mut agent);
    world.wait(300);
    world.settle(&mut second);
    assert_eq!(
        second.start.len(),
        1,
        "the start that is at work is heard again"
    );
}

const ONE_HEDGED_TASK: &str =
    r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500,"hedged":true}]"#;

/// A hedged task runs at the first worker; a second one is idle.
fn given_a_hedged_run_and_an_idle_worker() -> (World, TestAgent, TestAgent) {
    let mut world = World::new();
    let (mut first, mut second) = (
        TestAgent::new("side-1", "i-1"),
        TestAgent::new("side-2", "i-2"),
    );
    world.settle(&mut first);
    assert_eq!(world.submit(ONE_HEDGED_TASK).status, 200);
    world.settle(&mut first);
    first.begin_all();
    world.settle(&mut first);
    world.settle(&mut second);
    (world, first, second)
}

#[test]
fn a_hedged_task_whose_machine_falls_silent_runs_elsewhere_within_its_lease() {
    let (mut world, mut first, mut second) = given_a_hedged_run_and_an_idle_worker();
    for _ in 0..6 {
        world.wait(250);
        world.settle(&mut second);
    }
    assert_eq!(
        second.start.len(),
        1,
        "a second copy while the lease of the first lasts"
    );

    first.end_all(RunEnd::Done);
    world.settle(&mut first);
    world.settle(&mut second);

    assert!(
        world.state_of_job().contains("succeeded"),
        "whichever is done first counts"
    );
    assert!(second.start.is_empty(), "the other copy is withdrawn");
}

#[test]
fn a_hedged_task_that_stands_still_gets_a_second_copy_at_another_worker_only() {
    let (mut world, mut first, mut second) = given_a_hedged_run_and_an_idle_worker();
    for _ in 0..5 {
        first.report.sequence += 1;
        world.settle(&mut first);
        world.settle(&mut second);
        world.wait(250);
    }
    world.settle(&mut first);
    world.settle(&mut second);
    assert!(first.start.is_empty());
    assert_eq!(second.start.len(), 1);
}

#[test]
fn a_hedged_task_that_moves_on_runs_once() {
    let (mut world, mut first, mut second) = given_a_hedged_run_and_an_idle_worker();
    for percent in 1..10 {
        first.report.sequence += 1;
        first.report.running[0].percent = f64::from(percent * 10);
        world.settle(&mut first);
        world.settle(&mut second);
        world.wait(250);
    }
    assert!(second.start.is_empty());
}

#[rstest]
#[case::in_its_start(30.0, true)]
#[case::at_work(99.0, false)]
fn a_task_that_lasts_is_moved_only_while_it_stands_still_in_its_start(
    #[case] percent: f64,
    #[case] is_moved: bool,
) {
    let mut world = World::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    world.settle(&mut agent);
    let lasting = r#"[{"count":1,"cpu":600,"mem_mb":10,"long_running":true}]"#;
    assert_eq!(world.submit(lasting).status, 200);
    world.settle(&mut agent);
    agent.begin_all();
    agent.report.running[0].percent = percent;
    for _ in 0..20 {
        agent.report.sequence += 1;
        world.settle(&mut agent);
        world.wait(200);
    }
    assert_eq!(!agent.stop.is_empty(), is_moved);
}

#[test]
fn what_runs_at_a_machine_that_is_not_heard_does_not_count_as_standing_still() {
    let (mut world, mut agent) = given_a_running_task();
    for _ in 0..10 {
        agent.report.silent_ms += 200;
        world.settle(&mut agent);
        world.wait(200);
    }
    assert!(agent.stop.is_empty(), "its worker is silent");
    agent.report.silent_ms = 0;
    world.settle(&mut agent);
    world.wait(1_700);
    world.settle(&mut agent);
    assert!(agent.stop.is_empty(), "its agent was silent");
}
