//! The receipt of a job's answer. A job may be removed while replies with its result still wait to be written: whoever
//! reads one of them has the result.

use crate::core::Receipt;
use std::cell::Cell;
use std::rc::Rc;

/// Shared by a job and by the replies that say how it ended. It tells that the result was written as soon as one of these
/// is, and that it was not once the job and all of them are gone.
#[derive(Clone, Default)]
pub(super) struct SharedReceipt(Rc<Cell<Receipt>>);

impl SharedReceipt {
    pub(super) fn new(receipt: Receipt) -> SharedReceipt {
        SharedReceipt(Rc::new(Cell::new(receipt)))
    }

    /// A reply was written to the last byte.
    pub(super) fn written(&self) {
        self.0.take().written();
    }
}
