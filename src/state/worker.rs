//! Workers, as one dispatcher sees them.

use super::{EndedAttempt, MovingAverage, Observation};
use crate::interface::{AttemptOutcome, Endpoint, Micros, Settings};

/// A worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) endpoint: Endpoint,
    /// Counts restarts: attempts sent to an earlier incarnation count for nothing.
    pub(crate) incarnation: u32,
    /// This dispatcher's attempts there.
    pub(crate) in_flight: u32,
    /// Those of them that are known to run.
    pub(crate) running: u32,
    /// Connections of this dispatcher there, as far as known.
    connections: u32,
    connection_used_at: Micros,
    /// Penalties in jobs: one for each class and, last, one for all classes; none while nothing was observed.
    pub(crate) penalties: Vec<Option<Observation>>,
    /// Load by others, in jobs.
    pub(crate) observed_load: Option<Observation>,
    /// Logarithm of the running time there over the usual running time.
    pub(crate) log_slowness: MovingAverage,
}

impl Worker {
    /// A new process at a worker whose speed is known from former ones.
    pub(crate) fn new(incarnation: u32, log_slowness: MovingAverage, classes: usize) -> Worker {
        Worker {
            incarnation,
            log_slowness,
            penalties: vec![None; classes + 1],
            ..Worker::default()
        }
    }

    /// Attempts that the open connections can carry. Connections that were idle for long are closed, but for those that
    /// carry an attempt.
    pub(crate) fn connection_capacity(&self, now: Micros, settings: &Settings) -> u32 {
        let idle_us = now.saturating_sub(self.connection_used_at);
        if idle_us >= settings.connection_idle_timeout_us {
            self.in_flight
        } else {
            self.connections
                .saturating_mul(settings.streams_per_connection)
        }
    }

    /// Counts an attempt that is sent, and the connection that it may need.
    pub(crate) fn on_attempt_sent(&mut self, now: Micros, settings: &Settings) {
        let carried = self
            .connection_capacity(now, settings)
            .max(self.in_flight + 1);
        self.in_flight += 1;
        self.connections = carried.div_ceil(settings.streams_per_connection.max(1));
        self.connection_used_at = now;
    }

    /// Counts the end of an attempt, if it was sent to this incarnation. One that found no connection had counted one
    /// that does not exist.
    pub(crate) fn on_attempt_ended(&mut self, now: Micros, ended: &EndedAttempt) {
        if self.incarnation != ended.incarnation {
            return;
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.running = self.running.saturating_sub(u32::from(ended.was_running));
        if ended.outcome == AttemptOutcome::ConnectFailed {
            self.connections = self.connections.saturating_sub(1);
        } else {
            self.connection_used_at = now;
        }
    }
}
