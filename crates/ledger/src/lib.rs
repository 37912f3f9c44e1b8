#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! Usage ledger. Each final answer is recorded durably as one entry by tenant and period. Corrections are
//! separate signed records, closed periods are exported exactly once, and the exports of several instances
//! are reconciled.
//!
//! These modules perform no I/O and take the time as an argument: [`period`] (the period that contains a
//! point in time), [`gate`] (when an answer may be released), [`marks`] (which answers reached their
//! clients), [`sums`], [`correction`], [`seal`] and [`reconcile::Merged`]. [`store`] keeps the entries in
//! SQLite, [`writer`] writes to the store on a thread of its own, [`export`] writes closed periods to files,
//! and [`scan`] reads them back for [`reconcile`]. `docs/design/ledger.md` gives the design reasons,
//! `docs/ledger.md` describes operation.

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
