//! The receipt of a job's answer, shared by all replies that carry it. A job may be removed while such
//! replies are still to be written: a client that reads any of them has the result.

use crate::core::Receipt;
use std::cell::Cell;
use std::rc::Rc;

/// Receipt shared by a job and the replies that report its end. Reports the result as written as soon as one
/// of these replies is written, and as not written once the job and all of them are dropped.
#[derive(Clone, Default)]
pub(super) struct SharedReceipt(Rc<Cell<Receipt>>);

impl SharedReceipt {
    pub(super) fn new(receipt: Receipt) -> SharedReceipt {
        SharedReceipt(Rc::new(Cell::new(receipt)))
    }

    /// Records that a reply was written completely.
    pub(super) fn written(&self) {
        self.0.take().written();
    }
}
