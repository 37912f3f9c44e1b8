//! Where stories begin.

use super::{TestAgent, World};

pub const ONE_TASK: &str = r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500}]"#;

/// A job of one task, ordered at the only worker.
pub fn given_an_ordered_task() -> (World, TestAgent) {
    let mut world = World::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    world.settle(&mut agent);
    assert_eq!(world.submit(ONE_TASK).status, 200);
    world.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
    (world, agent)
}

/// The same, and the task runs.
pub fn given_a_running_task() -> (World, TestAgent) {
    let (mut world, mut agent) = given_an_ordered_task();
    agent.begin_all();
    world.settle(&mut agent);
    (world, agent)
}
