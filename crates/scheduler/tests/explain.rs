//! Tests of the explanations for operators.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_placement::WaitReason;
use streamusher_protocol::internal::ClientMethod;
use support::scenarios::{with_running_task, ONE_TASK};
use support::JOB;

#[test]
fn job_is_explained_by_its_runs_and_pending_units() {
    let (mut cluster, mut agent) = with_running_task();
    let second = "0000000000000001";
    let body = format!(r#"{{"spec":"text","steps":{ONE_TASK}}}"#);
    cluster.request(ClientMethod::Post, &format!("/q/{second}"), &body);
    cluster.settle(&mut agent);

    let running = cluster
        .scheduler
        .explain_job(cluster.now, &JOB.parse().unwrap())
        .unwrap();
    let pending = cluster
        .scheduler
        .explain_job(cluster.now, &second.parse().unwrap())
        .unwrap();

    assert_eq!((running.runs.len(), running.pending.len()), (1, 0));
    assert!(running.runs[0].running && &*running.runs[0].worker == "i-1");
    assert_eq!((pending.runs.len(), pending.pending.len()), (0, 1));
    assert_eq!(
        pending.pending[0].waiting.reason,
        WaitReason::NoFreeCapacity
    );
    assert_eq!(
        cluster
            .scheduler
            .explain_job(cluster.now, &"0000000000000009".parse().unwrap()),
        None
    );
}
