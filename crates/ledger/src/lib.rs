#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! A ledger of use: one entry for each final answer, booked durably by tenant and period, corrected in the open,
//! exported exactly once and reconciled among instances.
//!
//! What it settles performs no I/O and is told the time: [`period`] (which one a moment falls into), [`gate`] (when an
//! answer may go out), [`marks`] (which answers reached their clients), [`sums`], [`correction`], [`seal`] and
//! [`reconcile::Merged`]. [`store`] keeps it in SQLite, [`writer`] runs that on a thread of its own, [`export`] and
//! [`reconcile`] move closed periods about. `docs/design/ledger.md` tells why, `docs/ledger.md` how it is run.

pub mod correction;
pub mod entry;
pub mod export;
pub mod gate;
pub mod key;
pub mod marks;
pub mod period;
pub mod receipts;
pub mod reconcile;
pub mod scan;
pub mod seal;
pub mod store;
pub mod sums;
pub mod writer;
