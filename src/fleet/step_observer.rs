//! What this dispatcher has seen of its workers, for the others: three ends in a row that speak against a worker make an
//! observation, and a result takes it back.

use super::usage_recorder::{Books, Note};
use super::Common;
use crate::core::{PoolMember, StepObserver, StepOutcome};
use crate::interface::Micros;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use streamusher_fleet::outlier::{WorkerFault, WorkerIncarnation, ZonedWorker};

/// Ends in a row that make an observation: one may be chance.
const ROW: u32 = 3;
/// How sure each further one makes, of 100.
const SURE: u32 = 20;
/// How long an observation holds: about as long as the decisions keep what they see themselves.
pub(super) const HOLDS: Micros = 10_000_000;
/// A worker that goes on serving is told of as good no more often than this many results.
const AGAIN: u32 = 50;

/// What was last seen of one worker's life.
#[derive(Default)]
struct Seen {
    since: Micros,
    fault: Option<WorkerFault>,
    row: u32,
    served: u32,
}

/// Hears how route steps end.
pub(super) struct Eyes {
    books: Rc<Books>,
    common: Arc<Common>,
    seen: RefCell<HashMap<String, Seen>>,
}

impl Eyes {
    pub(super) fn new(books: Rc<Books>, common: Arc<Common>) -> Eyes {
        Eyes {
            books,
            common,
            seen: RefCell::default(),
        }
    }
}

fn worker(m: &PoolMember) -> WorkerIncarnation {
    WorkerIncarnation {
        name: Arc::from(m.name.as_str()),
        started_ms: m.started_at_us / 1_000,
    }
}

/// What an end says against a worker; none where it says nothing.
fn against(ending: &StepOutcome) -> Option<WorkerFault> {
    match ending {
        StepOutcome::WorkerFailed
        | StepOutcome::Lost
        | StepOutcome::ConnectRefused
        | StepOutcome::ConnectTimedOut => Some(WorkerFault::Failing),
        StepOutcome::Rejected => Some(WorkerFault::Full),
        StepOutcome::TimedOut => Some(WorkerFault::Slow),
        StepOutcome::Served(_)
        | StepOutcome::ConnectionLostBeforeSend
        | StepOutcome::ConnectionLostAfterSend
        | StepOutcome::Cancelled
        | StepOutcome::NotSent => None,
    }
}

impl StepObserver for Eyes {
    fn step_ended(&self, m: &PoolMember, ending: &StepOutcome) {
        let mut all = self.seen.borrow_mut();
        if !all.contains_key(&m.name) {
            all.insert(m.name.clone(), Seen::default());
        }
        let seen = all.get_mut(&m.name).expect("just there");
        if seen.since != m.started_at_us {
            *seen = Seen {
                since: m.started_at_us,
                ..Seen::default()
            }; // another life: nothing was seen of it
        }
        match (against(ending), ending) {
            (Some(fault), _) => {
                seen.row = if seen.fault == Some(fault) {
                    seen.row + 1
                } else {
                    1
                };
                (seen.fault, seen.served) = (Some(fault), 0);
                if seen.row >= ROW {
                    let weight = (SURE * seen.row).min(100) as u8;
                    self.books.saw(Note::Saw {
                        worker: worker(m),
                        fault: Some(fault),
                        weight,
                    });
                }
            }
            (None, StepOutcome::Served(_)) => {
                if seen.row >= ROW || seen.served.is_multiple_of(AGAIN) {
                    self.books.saw(Note::Saw {
                        worker: worker(m),
                        fault: None,
                        weight: 1,
                    });
                }
                (seen.fault, seen.row, seen.served) = (None, 0, seen.served.wrapping_add(1));
            }
            (None, _) => {}
        }
    }

    fn workers_changed(&self, workers: &mut dyn Iterator<Item = &PoolMember>) {
        let roster = workers
            .map(|m| ZonedWorker {
                worker: worker(m),
                zone: Arc::from(m.zone.as_str()),
            })
            .collect();
        self.common.roster.store(Arc::new(roster));
    }
}
