//! Timers of the decision module, encoded as the tokens by which the caller reports their expiry.

use crate::interface::{Action, JobId, Micros};

/// Token of the discovery timer. The tokens of a job's timers are twice the job's number, plus one for a
/// recheck.
const DISCOVERY_TOKEN: u64 = u64::MAX;

/// The purpose of a timer.
#[derive(Clone, Copy)]
pub(crate) enum Timer {
    /// Poll the endpoint list.
    Discovery,
    /// The client's deadline for the job has passed.
    Deadline(JobId),
    /// Check whether a job that is held, or has not started to run, needs another attempt.
    Recheck(JobId),
}

impl Timer {
    /// The action that starts this timer.
    pub(crate) fn after(self, delay_us: Micros) -> Action {
        Action::Schedule {
            delay_us,
            token: self.token(),
        }
    }

    pub(crate) fn from_token(token: u64) -> Timer {
        let job = JobId(token / 2);
        if token == DISCOVERY_TOKEN {
            Timer::Discovery
        } else if token % 2 == 1 {
            Timer::Recheck(job)
        } else {
            Timer::Deadline(job)
        }
    }

    fn token(self) -> u64 {
        match self {
            Timer::Discovery => DISCOVERY_TOKEN,
            Timer::Deadline(job) => job.0.wrapping_mul(2),
            Timer::Recheck(job) => job.0.wrapping_mul(2).wrapping_add(1),
        }
    }
}
