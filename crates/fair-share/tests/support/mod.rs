//! Helpers for runs, resources and replicated state.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::RunId;

pub(crate) mod oracle;
pub(crate) mod simulation;

pub(crate) type State = BTreeMap<Arc<str>, Arc<str>>;

pub(crate) fn run(number: u64) -> RunId {
    let task = format!("{number:016x}.0.0.0")
        .parse()
        .expect("a task's name");
    RunId { task, run: 1 }
}

pub(crate) fn cores(count: u64) -> Resources {
    Resources {
        cpu: count * 1_000,
        mem_mb: 0,
        gpu: 0,
    }
}

pub(crate) fn user(name: &str) -> Arc<str> {
    name.into()
}

pub(crate) fn apply(state: &mut State, writes: Vec<Write>) {
    for write in writes {
        match write.value {
            Some(value) => state.insert(write.key, value),
            None => state.remove(&write.key),
        };
    }
}

pub(crate) fn records(state: &State) -> Vec<(Arc<str>, Arc<str>)> {
    state
        .iter()
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}
