//! What speaks against workers outlasts a change of primary, fades, and goes with the worker.

mod support;

use streamusher_protocol::internal::ClientMethod;
use streamusher_protocol::task::RunEnd;
use support::given::ONE_TASK;
use support::{TestAgent, World};

const KEY: &str = "judgement/i-1";

fn submit(world: &mut World, number: u64) {
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    assert_eq!(
        world
            .call(ClientMethod::Post, &format!("/q/{number:016x}"), &body)
            .status,
        200
    );
}

/// A worker at which four runs have failed; the others of its service do well.
fn given_a_worker_that_fails_what_it_runs() -> (World, TestAgent) {
    let mut world = World::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    world.settle(&mut agent);
    for number in 1..=2 {
        submit(&mut world, number);
        for _ in 0..2 {
            world.settle(&mut agent);
            agent.begin_all();
            world.settle(&mut agent);
            agent.end_all(RunEnd::Failed);
            world.settle(&mut agent);
        }
    }
    (world, agent)
}

#[test]
fn given_a_worker_that_fails_runs_when_another_machine_takes_over_then_work_goes_elsewhere() {
    let (mut world, mut first) = given_a_worker_that_fails_what_it_runs();
    world.wait(1_100);
    assert!(world.state.contains_key(KEY), "{:?}", world.state.keys());

    world.fail_over();
    let mut second = TestAgent::new("side-2", "i-2");
    world.settle(&mut first);
    world.settle(&mut second);
    submit(&mut world, 3);
    world.settle(&mut first);
    world.settle(&mut second);

    assert_eq!((first.start.len(), second.start.len()), (0, 1));
}

#[test]
fn given_a_judged_worker_when_nothing_more_fails_then_the_judgement_fades_from_the_state() {
    let (mut world, mut agent) = given_a_worker_that_fails_what_it_runs();
    for _ in 0..40 {
        world.wait(500);
        world.settle(&mut agent);
    }
    assert!(!world.state.contains_key(KEY));
}

#[test]
fn given_a_judged_worker_when_another_runs_on_its_machine_then_the_judgement_is_gone() {
    let (mut world, mut agent) = given_a_worker_that_fails_what_it_runs();
    world.wait(1_100);
    agent.replace_worker("i-9");
    world.settle(&mut agent);
    assert!(!world.state.contains_key(KEY));
}

#[test]
fn given_a_judged_worker_that_never_calls_a_new_primary_then_the_judgement_is_gone_in_time() {
    let (mut world, _) = given_a_worker_that_fails_what_it_runs();
    world.wait(1_100);
    world.fail_over();
    world.wait(15_000);
    assert!(!world.state.contains_key(KEY));
}
