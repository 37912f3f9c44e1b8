//! A log of the tasks that the simulated workers run, to check that no task runs twice at once.

use anyhow::{bail, Result};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::Millis;

/// The log, shared by all workers.
pub(crate) type SharedExecutionLog = Rc<RefCell<ExecutionLog>>;

/// The workers that run each task, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog {
    running: BTreeMap<TaskId, BTreeSet<String>>,
    /// The time of the steady clock until which each worker may run the tasks it has started.
    leases: BTreeMap<String, Millis>,
    started: u64,
    violations: Vec<String>,
}

impl ExecutionLog {
    /// Records that a worker's lease is valid until a time.
    pub(crate) fn on_lease(&mut self, worker: &str, until: Millis) {
        self.leases.insert(worker.to_owned(), until);
    }

    /// Records that a worker starts a task.
    pub(crate) fn on_start(&mut self, now: Millis, task: &TaskId, worker: &str) {
        self.started += 1;
        let others = self.running.entry(task.clone()).or_default();
        for other in others.iter() {
            // A run that outlasts its worker's lease does not count: the worker stops it at its next step.
            if self.leases.get(other).is_some_and(|until| *until > now) {
                let violation = format!("task {task} started at {worker} while it ran at {other}");
                self.violations.push(violation);
            }
        }
        others.insert(worker.to_owned());
    }

    /// Records the end of a task's run on a worker.
    pub(crate) fn on_end(&mut self, task: &TaskId, worker: &str) {
        if let Some(workers) = self.running.get_mut(task) {
            workers.remove(worker);
        }
    }

    /// Fails if a task ran twice at once. Returns the number of starts.
    pub(crate) fn check(&self) -> Result<u64> {
        match self.violations.first() {
            Some(first) => bail!("{} violations, the first: {first}", self.violations.len()),
            None => Ok(self.started),
        }
    }
}
