//! Keeps answers back until their entries are durable, and says what to do when the disk does not keep up.
//!
//! A state machine without I/O, told the time. Invariants: numbers are given out upwards and without gaps; an entry
//! is let go once, as durable or as unbooked; new work is refused only while the ledger is not trusted; with
//! [`OnFailure::Refuse`] no result is released whose entry is not durable.

use crate::entry::Micros;

/// What becomes of work while nothing can be booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OnFailure {
    /// New work gets a busy reply, and a result that cannot be booked in time is withheld.
    Refuse,
    /// New work is served, and results are released without waiting; what a crash then loses is not billed.
    ServeUnbilled,
}

/// See the module's own page.
#[derive(Debug)]
pub struct Gate {
    on_failure: OnFailure,
    hold_us: Micros,
    most: usize,
    last: u64,
    durable: u64,
    waiting: usize,
    trusted: bool,
    /// Answers whose time was up before their entries were known to be durable.
    pub late: u64,
    /// Answers that were not booked at all.
    pub unbooked: u64,
}

/// What to do with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingDecision {
    /// Book it under this number and hold it until then at the latest.
    Hold {
        /// The entry's number.
        seq: u64,
        /// When the client is answered, whether the entry is durable or not.
        until: Micros,
    },
    /// It cannot be booked: too many entries wait already.
    Unbooked,
}

impl Gate {
    /// `hold_us`: how long an answer may wait for the disk; `most`: entries that may wait at once.
    pub fn new(on_failure: OnFailure, hold_us: Micros, most: usize) -> Gate {
        Gate {
            on_failure,
            hold_us,
            most,
            last: 0,
            durable: 0,
            waiting: 0,
            trusted: true,
            late: 0,
            unbooked: 0,
        }
    }

    /// Whether new work is taken.
    pub fn accepts_work(&self) -> bool {
        self.trusted || self.on_failure == OnFailure::ServeUnbilled
    }

    /// Whether a result may be released whose entry is not known to be durable.
    pub fn releases_unbooked(&self) -> bool {
        self.on_failure == OnFailure::ServeUnbilled || cfg!(feature = "mutant-release-unbooked")
    }

    /// Whether entries are written as they come.
    pub fn is_trusted(&self) -> bool {
        self.trusted
    }

    /// An answer that must be out `by` then. While the disk fails entries still go to the writer, which books them
    /// when it can. Answers no longer wait for it where they may be released all the same; where they may not, waiting
    /// is their only way to the client.
    pub fn book(&mut self, now: Micros, by: Micros) -> BookingDecision {
        // Counted first: what is not booked leaves a gap in the numbers, which a reconciliation shows.
        self.last += 1;
        if self.waiting >= self.most {
            self.unbooked += 1;
            return BookingDecision::Unbooked;
        }
        self.waiting += 1;
        let waits = self.trusted || !self.releases_unbooked();
        let until = if waits {
            now.saturating_add(self.hold_us).min(by.max(now))
        } else {
            now
        };
        BookingDecision::Hold {
            seq: self.last,
            until,
        }
    }

    /// So many more entries, up to this number, are durable.
    pub fn on_durable(&mut self, up_to: u64, entries: usize) {
        assert!(
            up_to <= self.last,
            "only what was booked can become durable"
        );
        assert!(up_to >= self.durable, "what is durable stays so");
        assert!(entries <= self.waiting, "an entry becomes durable once");
        self.waiting -= entries;
        self.durable = up_to;
        self.trusted = true;
    }

    /// The time of an answer is up. True if its entry is not known to be durable.
    pub fn on_overdue(&mut self, seq: u64) -> bool {
        let late = seq > self.durable;
        if late {
            self.late += 1;
            self.trusted = false;
        }
        late
    }

    /// The store is open.
    pub fn on_opened(&mut self) {
        self.trusted = true;
    }

    /// The writer could not write.
    pub fn on_failed(&mut self) {
        self.trusted = false;
    }
}
