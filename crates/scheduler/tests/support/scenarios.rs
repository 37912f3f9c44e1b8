//! Initial states that several tests share.

use super::{TestAgent, TestCluster};

/// Steps of a job with one task.
pub(crate) const ONE_TASK: &str = r#"[{"count":1,"cpu":600,"mem_mb":10,"estimated_ms":500}]"#;

/// Creates a cluster with a job of one task, whose start has been commanded at the only worker.
pub(crate) fn with_commanded_task() -> (TestCluster, TestAgent) {
    let mut cluster = TestCluster::new();
    let mut agent = TestAgent::new("side-1", "i-1");
    cluster.settle(&mut agent);
    assert_eq!(cluster.submit(ONE_TASK).status, 200);
    cluster.settle(&mut agent);
    assert_eq!(agent.start.len(), 1);
    (cluster, agent)
}

/// Creates a cluster with a job of one task, which is running on the only worker.
pub(crate) fn with_running_task() -> (TestCluster, TestAgent) {
    let (mut cluster, mut agent) = with_commanded_task();
    agent.start_all();
    cluster.settle(&mut agent);
    (cluster, agent)
}
