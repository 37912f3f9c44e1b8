//! Holds answers until their entries are durable, and decides what happens when the disk does not keep up.
//!
//! A state machine without I/O; callers pass the time. Invariants: sequence numbers are assigned in ascending
//! order without gaps; an answer is released once, either with a durable entry or as unbooked; new work is
//! refused only while the ledger is not trusted; with [`OnFailure::Refuse`] no result is released whose entry
//! is not durable.

use crate::entry::Micros;

/// Policy for new work and pending results while entries cannot be booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OnFailure {
    /// New work gets a busy reply, and a result that cannot be booked in time is withheld.
    Refuse,
    /// New work is served, and results are released without waiting. Entries lost in a crash are not billed.
    ServeUnbilled,
}

/// Assigns sequence numbers to answers and decides how long each is held. See the module documentation.
#[derive(Debug)]
pub struct Gate {
    on_failure: OnFailure,
    hold_us: Micros,
    max_waiting: usize,
    last_seq: u64,
    durable: u64,
    waiting: usize,
    trusted: bool,
    /// Number of answers whose deadline passed before their entries were confirmed durable.
    pub late: u64,
    /// Number of answers that were not booked.
    pub unbooked: u64,
}

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingDecision {
    /// Book the answer under `seq` and hold it at most until `until`.
    Hold {
        /// Sequence number assigned to the entry.
        seq: u64,
        /// Deadline at which the answer is due, whether or not the entry is durable.
        until: Micros,
    },
    /// The answer cannot be booked because too many entries are waiting already.
    Unbooked,
}

impl Gate {
    /// `hold_us` is how long an answer may wait for the disk, `max_waiting` how many entries may wait at
    /// once.
    pub fn new(on_failure: OnFailure, hold_us: Micros, max_waiting: usize) -> Gate {
        Gate {
            on_failure,
            hold_us,
            max_waiting,
            last_seq: 0,
            durable: 0,
            waiting: 0,
            trusted: true,
            late: 0,
            unbooked: 0,
        }
    }

    /// Whether new work is accepted.
    pub fn accepts_work(&self) -> bool {
        self.trusted || self.on_failure == OnFailure::ServeUnbilled
    }

    /// Whether a result may be released before its entry is confirmed durable.
    pub fn releases_unbooked(&self) -> bool {
        self.on_failure == OnFailure::ServeUnbilled || cfg!(feature = "mutant-release-unbooked")
    }

    /// Whether the ledger is trusted: false after a failure or an overdue entry, until the store is opened
    /// again or a further entry is reported durable. True at the start.
    pub fn is_trusted(&self) -> bool {
        self.trusted
    }

    /// Books an answer that must be sent by `deadline`. While the disk fails, entries still go to the
    /// writer, which books them when it can. If the policy allows unbooked results to be released, answers do
    /// not wait during that time. Otherwise they do, because a durable entry is the only way to release them.
    pub fn book(&mut self, now: Micros, deadline: Micros) -> BookingDecision {
        // Incremented first, so that an answer that is not booked leaves a gap in the numbers, which
        // reconciliation reports.
        self.last_seq += 1;
        if self.waiting >= self.max_waiting {
            self.unbooked += 1;
            return BookingDecision::Unbooked;
        }
        self.waiting += 1;
        let waits = self.trusted || !self.releases_unbooked();
        let until = if waits {
            now.saturating_add(self.hold_us).min(deadline.max(now))
        } else {
            now
        };
        BookingDecision::Hold {
            seq: self.last_seq,
            until,
        }
    }

    /// Records that `entries` more entries are durable, all up to the number `up_to`.
    pub fn on_durable(&mut self, up_to: u64, entries: usize) {
        assert!(
            up_to <= self.last_seq,
            "an entry that was never booked was reported durable"
        );
        assert!(
            up_to >= self.durable,
            "the last durable number went backwards"
        );
        assert!(
            entries <= self.waiting,
            "more entries were reported durable than are waiting"
        );
        self.waiting -= entries;
        self.durable = up_to;
        self.trusted = true;
    }

    /// Handles the deadline of an answer. Returns true if its entry is not confirmed durable.
    pub fn on_overdue(&mut self, seq: u64) -> bool {
        let late = seq > self.durable;
        if late {
            self.late += 1;
            self.trusted = false;
        }
        late
    }

    /// Marks the ledger as trusted: the store was opened.
    pub fn on_opened(&mut self) {
        self.trusted = true;
    }

    /// Marks the ledger as not trusted: the store could not be opened or written.
    pub fn on_failed(&mut self) {
        self.trusted = false;
    }
}
