//! States in which several tests begin.

use super::{TestAgent, TestCluster};

/// The steps of a job of one task.
pub(crate) const ONE_TASK: &str = r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500}]"#;

/// A job of one task, whose start is commanded at the only worker.
pub(crate) fn with_commanded_task() -> (TestCluster, TestAgent) {
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    assert_eq!(cluster.submit(ONE_TASK).status, 200);
    cluster.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
    (cluster, agent)
}

/// The same, and the task runs.
pub(crate) fn with_running_task() -> (TestCluster, TestAgent) {
    let (mut cluster, mut agent) = with_commanded_task();
    agent.start_all();
    cluster.settle(&mut agent);
    (cluster, agent)
}
