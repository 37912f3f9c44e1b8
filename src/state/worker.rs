//! Workers, as seen by one dispatcher.

use super::{EndedAttempt, MovingAverage, Observation};
use crate::interface::{AttemptOutcome, Endpoint, Micros, Settings};

/// A worker and this dispatcher's knowledge of it.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) endpoint: Endpoint,
    /// Counts restarts: attempts sent to an earlier incarnation are ignored.
    pub(crate) incarnation: u32,
    /// Attempts of this dispatcher in flight at the worker.
    pub(crate) in_flight: u32,
    /// Attempts of this dispatcher that are known to run.
    pub(crate) running: u32,
    /// Estimated number of this dispatcher's connections to the worker.
    connections: u32,
    connection_used_at: Micros,
    /// Penalties in jobs: one for each class and, last, one for all classes; `None` if nothing was observed.
    pub(crate) penalties: Vec<Option<Observation>>,
    /// Load that this dispatcher did not send, in jobs.
    pub(crate) observed_load: Option<Observation>,
    /// Logarithm of the running time at the worker relative to the usual running time.
    pub(crate) log_slowness: MovingAverage,
}

impl Worker {
    /// Creates a new incarnation of a worker, with the slowness measured for earlier ones.
    pub(crate) fn new(incarnation: u32, log_slowness: MovingAverage, classes: usize) -> Worker {
        Worker {
            incarnation,
            log_slowness,
            penalties: vec![None; classes + 1],
            ..Worker::default()
        }
    }

    /// Attempts that the open connections can carry. Connections that were idle for too long are closed,
    /// except those that carry an attempt.
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

    /// Counts the end of an attempt, if it was sent to this incarnation. If the connection attempt failed,
    /// the connection counted for it is removed.
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
