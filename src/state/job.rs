//! Jobs and their attempts.

use super::PlacementGroup;
use crate::interface::{Action, AttemptEnd, AttemptOutcome, Micros, Request, Settings, WorkerId};

/// An attempt of a job at one worker.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// The worker's incarnation to which the attempt was sent.
    pub(crate) incarnation: u32,
    pub(crate) sent_at: Micros,
    /// When the attempt started to run, if the worker sent a start notification.
    pub(crate) started_at: Option<Micros>,
    /// Whether the running time can be measured: the worker notifies starts, or no job was known to wait at
    /// the worker.
    pub(crate) is_measurable: bool,
    pub(crate) cancelled: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub(crate) outcome: Option<AttemptOutcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// In flight, and not known to run.
    pub(crate) fn is_waiting(&self) -> bool {
        self.started_at.is_none() && self.is_in_flight()
    }

    /// Cancelled before it was known to run, and ended as cancelled or not sent.
    fn was_withdrawn_unstarted(&self) -> bool {
        let ended_cancelled = matches!(
            self.outcome,
            Some(AttemptOutcome::Cancelled | AttemptOutcome::NotSent)
        );
        self.cancelled && self.started_at.is_none() && ended_cancelled
    }

    /// In flight, and known to run.
    pub(crate) fn is_running(&self) -> bool {
        self.started_at.is_some() && self.is_in_flight()
    }
}

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    pub(crate) worker: WorkerId,
    /// The worker's incarnation to which the attempt was sent.
    pub(crate) incarnation: u32,
    /// Index of the job's class.
    pub(crate) class: usize,
    pub(crate) outcome: AttemptOutcome,
    /// Whether the attempt was known to run.
    pub(crate) was_running: bool,
    /// The running time, if it can be measured.
    pub(crate) running_time_us: Option<Micros>,
    /// The expected work from the client's hint.
    pub(crate) expected_work_us: Option<Micros>,
}

/// A request that this dispatcher serves. It is kept until each of its attempts has ended, so that the
/// attempts are counted correctly.
#[derive(Default)]
pub(crate) struct Job {
    pub(crate) request: Request,
    /// Index of the job's class.
    pub(crate) class: usize,
    /// Placement group, which determines the workers that the job may be sent to.
    pub(crate) placement: PlacementGroup,
    pub(crate) arrived_at: Micros,
    /// The workers that jobs of the same subject prefer; empty if the job has no subject.
    pub(crate) affinity_workers: Vec<WorkerId>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// Whether a streamed answer has begun.
    pub(crate) streaming: bool,
    /// Whether the tenant exceeded its share when the job arrived.
    pub(crate) over_share: bool,
    /// Number of rechecks that found the job still waiting.
    pub(crate) missed_starts: u32,
    /// A recheck before this time finds nothing new.
    pub(crate) recheck_at: Micros,
}

impl Job {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether a final answer is still due: none was given, and no streamed answer is in progress.
    pub(crate) fn owes_answer(&self) -> bool {
        !(self.answered || self.streaming && self.is_in_flight())
    }

    pub(crate) fn is_expired(&self, now: Micros) -> bool {
        now >= self.arrived_at.saturating_add(self.request.expires_in_us)
    }

    /// Whether the job had an attempt at this incarnation of a worker, other than a copy that was withdrawn
    /// before it started: such a copy is no evidence against the worker, which may be the only one left for a
    /// retry.
    pub(crate) fn has_tried(&self, worker: WorkerId, incarnation: u32) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.worker == worker
                && attempt.incarnation == incarnation
                && !attempt.was_withdrawn_unstarted()
        })
    }

    /// The workers of the attempts in flight, in the order of the attempts.
    pub(crate) fn workers_in_flight(&self) -> Vec<WorkerId> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .map(|attempt| attempt.worker)
            .collect()
    }

    /// Records the end of an attempt; returns `None` if no such attempt is in flight.
    pub(crate) fn end_attempt(&mut self, now: Micros, end: &AttemptEnd) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(end.attempt as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.outcome = Some(end.outcome);
        let began_at = attempt.started_at.unwrap_or(attempt.sent_at);
        let running_time_us = now.saturating_sub(began_at).max(1);
        Some(EndedAttempt {
            worker: attempt.worker,
            incarnation: attempt.incarnation,
            class: self.class,
            outcome: end.outcome,
            was_running: attempt.started_at.is_some(),
            running_time_us: attempt.is_measurable.then_some(running_time_us),
            expected_work_us: self.request.expected_work_us,
        })
    }

    /// Cancels the attempts in flight whose numbers are selected, unless cancellation is disabled.
    pub(crate) fn cancel_attempts(
        &mut self,
        settings: &Settings,
        is_selected: impl Fn(u32) -> bool,
        actions: &mut Vec<Action>,
    ) {
        if !settings.may_cancel {
            return;
        }
        for (number, attempt) in (0..).zip(&mut self.attempts) {
            if attempt.is_in_flight() && !attempt.cancelled && is_selected(number) {
                attempt.cancelled = true;
                actions.push(Action::Cancel {
                    job: self.request.job,
                    attempt: number,
                });
            }
        }
    }
}
