//! Choice of the checkpoint from which the next run of a task continues.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::{request, step, step_with_checkpoints, unit_id, Harness};
use streamusher_protocol::task::RunEnd;

#[test]
fn next_run_continues_from_the_newest_checkpoint() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step_with_checkpoints(2)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = harness.start(&id);
    harness.table.on_checkpoint(&first[0].run, "c1");
    harness.finish_with_checkpoint(&first[0].run, RunEnd::Stopped, "c2");
    let second = harness.start(&id);
    assert_eq!(&*second[0].checkpoint, "c2");
    harness.table.on_checkpoint(&second[0].run, "c3");
    harness.table.on_checkpoint(&second[0].run, "");
    harness.lose(&second[0].run);
    assert_eq!(&*harness.start(&id)[0].checkpoint, "c3");
    assert_eq!(
        &*harness.start(&unit_id(1, 0, 0, Some(1)))[0].checkpoint,
        "",
        "a checkpoint of another task is never used"
    );
}

#[test]
fn checkpoint_of_a_step_without_checkpoints_is_ignored() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = harness.start(&id);
    harness.table.on_checkpoint(&first[0].run, "c1");
    harness.finish_with_checkpoint(&first[0].run, RunEnd::Stopped, "c2");
    assert_eq!(&*harness.start(&id)[0].checkpoint, "");
}

#[test]
fn late_checkpoint_of_a_superseded_run_is_ignored() {
    let mut harness = Harness::new();
    harness.submit(1, request(vec![step_with_checkpoints(1)]));
    let id = unit_id(1, 0, 0, Some(0));
    let first = harness.start(&id);
    harness.finish_with_checkpoint(&first[0].run, RunEnd::Stopped, "c5");
    let second = harness.start(&id);
    harness.table.on_checkpoint(&first[0].run, "c1");
    harness.lose(&second[0].run);
    assert_eq!(&*harness.start(&id)[0].checkpoint, "c5");
}
