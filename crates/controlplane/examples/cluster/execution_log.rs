//! What the simulated workers run, held against the rule that a task never runs twice at once.

use anyhow::{bail, Result};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::Millis;

/// The log that all workers share.
pub(crate) type SharedExecutionLog = Rc<RefCell<ExecutionLog>>;

/// Which task runs where, and what broke the rule.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog {
    running: BTreeMap<TaskId, BTreeSet<String>>,
    /// Until when each worker may run what it has started, by the steady clock.
    leases: BTreeMap<String, Millis>,
    started: u64,
    violations: Vec<String>,
}

impl ExecutionLog {
    /// A worker's lease holds until a time.
    pub(crate) fn on_lease(&mut self, worker: &str, until: Millis) {
        self.leases.insert(worker.to_owned(), until);
    }

    /// A worker starts a task.
    pub(crate) fn on_start(&mut self, now: Millis, task: &TaskId, worker: &str) {
        self.started += 1;
        let others = self.running.entry(task.clone()).or_default();
        for other in others.iter() {
            // What a worker runs beyond its lease does not count: it stops that at its next step.
            if self.leases.get(other).is_some_and(|until| *until > now) {
                let violation = format!("task {task} started at {worker} while it ran at {other}");
                self.violations.push(violation);
            }
        }
        others.insert(worker.to_owned());
    }

    /// A run of a task is over.
    pub(crate) fn on_end(&mut self, task: &TaskId, worker: &str) {
        if let Some(workers) = self.running.get_mut(task) {
            workers.remove(worker);
        }
    }

    /// Fails where a task ran twice at once. Returns the number of starts.
    pub(crate) fn check(&self) -> Result<u64> {
        match self.violations.first() {
            Some(first) => bail!("{} violations, the first: {first}", self.violations.len()),
            None => Ok(self.started),
        }
    }
}
