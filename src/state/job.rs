//! Jobs and their attempts.

use super::PlacementGroup;
use crate::interface::{Action, AttemptEnd, AttemptOutcome, Micros, Request, Settings, WorkerId};

/// An attempt of a job at one worker.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// The worker's incarnation that it was sent to.
    pub(crate) incarnation: u32,
    pub(crate) sent_at: Micros,
    /// When it began to run, where the worker notified that.
    pub(crate) started_at: Option<Micros>,
    /// Its running time can be measured: starts are notified, or nothing was known to wait at the worker.
    pub(crate) is_measurable: bool,
    pub(crate) cancelled: bool,
    /// How it ended; `None` while it is in flight.
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

    /// Cancelled before it was known to run, and ended so.
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
    /// The worker's incarnation that it was sent to.
    pub(crate) incarnation: u32,
    /// Index of the job's class.
    pub(crate) class: usize,
    pub(crate) outcome: AttemptOutcome,
    /// It was known to run.
    pub(crate) was_running: bool,
    /// Its running time, where that can be measured.
    pub(crate) running_time_us: Option<Micros>,
    /// The client's hint.
    pub(crate) expected_work_us: Option<Micros>,
}

/// A request that this dispatcher has to serve. It stays known until each of its attempts has ended, for the counts.
#[derive(Default)]
pub(crate) struct Job {
    pub(crate) request: Request,
    /// Index of its class.
    pub(crate) class: usize,
    /// The workers that placement permits.
    pub(crate) placement: PlacementGroup,
    pub(crate) arrived_at: Micros,
    /// The workers that jobs of the same subject prefer; none if it has no subject.
    pub(crate) affinity_workers: Vec<WorkerId>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// A streamed answer has begun.
    pub(crate) streaming: bool,
    /// Its tenant was beyond its share when it arrived.
    pub(crate) over_share: bool,
    /// How often it was found still waiting.
    pub(crate) missed_starts: u32,
    /// Before this time a recheck finds nothing new.
    pub(crate) recheck_at: Micros,
}

impl Job {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The dispatcher owes a final answer: none was given, and no stream runs.
    pub(crate) fn owes_answer(&self) -> bool {
        !(self.answered || self.streaming && self.is_in_flight())
    }

    pub(crate) fn is_expired(&self, now: Micros) -> bool {
        now >= self.arrived_at.saturating_add(self.request.expires_in_us)
    }

    /// Whether it had an attempt at this incarnation of a worker that is more than a copy which was withdrawn unstarted: that
    /// one tells nothing against the worker, which may be the only one left for a retry.
    pub(crate) fn has_tried(&self, worker: WorkerId, incarnation: u32) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.worker == worker
                && attempt.incarnation == incarnation
                && !attempt.was_withdrawn_unstarted()
        })
    }

    /// The workers of its attempts in flight, in the order of the attempts.
    pub(crate) fn workers_in_flight(&self) -> Vec<WorkerId> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .map(|attempt| attempt.worker)
            .collect()
    }

    /// Records the end of an attempt; `None` if there is no such attempt in flight.
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

    /// Cancels the attempts in flight that are selected by their numbers, where attempts may be cancelled.
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
