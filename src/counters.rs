//! Counters of accepted requests, of steps sent to workers and of answers.

use crate::core::{Answer, StepOutcome};
use crate::interface::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// All counters since the start of the process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Connections accepted at the front.
    pub front_sockets: u64,
    /// Connections rejected at the front because all sockets were busy.
    pub front_sockets_refused: u64,
    /// Operations accepted.
    pub operations: u64,
    /// Repeats of a keyed operation joined to the earlier one.
    pub repeats_joined: u64,
    /// Requests rejected as malformed, too large or misdirected.
    pub bad_requests: u64,
    /// Call-backs from workers.
    pub callbacks: u64,
    /// Call-backs that matched no route step in flight.
    pub callbacks_unmatched: u64,
    /// Call-backs forwarded to the other process that shares the address.
    pub callbacks_passed_on: u64,
    /// Route steps sent.
    pub steps: u64,
    /// Connections opened to workers.
    pub worker_connections: u64,
    /// Cancels sent.
    pub cancels: u64,
    /// Configurations applied at a reload.
    pub reloads: u64,
    /// Configurations rejected at a reload.
    pub reloads_refused: u64,
    /// Pool configuration lines read.
    pub pool_configs: u64,
    /// Watches that failed or were disconnected.
    pub watches_broken: u64,
    /// Operations answered with a result.
    pub served: u64,
    /// Operations answered with a busy reply.
    pub busy_replies: u64,
    /// Operations failed.
    pub failed: u64,
    /// Operations failed because their deadline passed.
    pub failed_late: u64,
    /// Operations rejected because their usage could not be recorded.
    pub refused_unbilled: u64,
    /// Answers sent before their usage was known to be recorded.
    pub answers_before_booked: u64,
    /// Results withheld because their usage could not be recorded in time.
    pub answers_withheld: u64,
    /// Answers whose usage was not recorded.
    pub answers_unbooked: u64,
    /// Operations whose clients disconnected.
    pub clients_gone: u64,
    /// Route steps by outcome.
    pub endings: StepOutcomeCounts,
    /// Answers and attempts by class.
    pub classes: BTreeMap<String, Responses>,
}

/// Responses to the operations of one class, and its attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Responses {
    /// Responses with status 200.
    pub ok: u64,
    /// Rejected: responses with status 429 or 503.
    pub shed: u64,
    /// Failed: responses with any other status.
    pub errors: u64,
    /// Attempts written completely to workers.
    pub tries: u64,
}

/// Number of route steps by outcome.
#[derive(Clone, Debug, Default, Serialize)]
#[allow(missing_docs)]
pub struct StepOutcomeCounts {
    pub served: u64,
    pub worker_failed: u64,
    pub turned_away: u64,
    pub not_connected: u64,
    pub broken: u64,
    pub timed_out: u64,
    pub given_up: u64,
    pub never_sent: u64,
}

impl Counters {
    pub(crate) fn record_answer(&mut self, answer: &Answer) {
        *match answer {
            Answer::Served(_) => &mut self.served,
            Answer::Busy { .. } => &mut self.busy_replies,
            Answer::Failed { late: false } => &mut self.failed,
            Answer::Failed { late: true } => &mut self.failed_late,
            Answer::Withheld => &mut self.answers_withheld,
        } += 1;
    }

    pub(crate) fn record_step_outcome(&mut self, outcome: &StepOutcome) {
        let endings = &mut self.endings;
        *match outcome.attempt_outcome() {
            AttemptOutcome::Succeeded => &mut endings.served,
            AttemptOutcome::WorkerError => &mut endings.worker_failed,
            AttemptOutcome::Shed => &mut endings.turned_away,
            AttemptOutcome::ConnectFailed => &mut endings.not_connected,
            AttemptOutcome::ConnectionLost => &mut endings.broken,
            AttemptOutcome::TimedOut => &mut endings.timed_out,
            AttemptOutcome::Cancelled => &mut endings.given_up,
            AttemptOutcome::NotSent => &mut endings.never_sent,
        } += 1;
    }

    /// Counts a response of this status to a client for this class.
    pub fn record_response(&mut self, class: &str, status: u16) {
        let counts = self.class_counts(class);
        *match status {
            200 => &mut counts.ok,
            429 | 503 => &mut counts.shed,
            _ => &mut counts.errors,
        } += 1;
    }

    /// Counts an attempt of this class that was written completely.
    pub fn record_attempt(&mut self, class: &str) {
        self.class_counts(class).tries += 1;
    }

    fn class_counts(&mut self, class: &str) -> &mut Responses {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.to_owned(), Responses::default());
        }
        self.classes.get_mut(class).expect("inserted")
    }

    /// The counters as one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
