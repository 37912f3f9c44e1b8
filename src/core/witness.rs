//! What this dispatcher sees of its workers, for others; and what others say of them, for the decisions.

use super::{Core, Ending, Input, Member};
use crate::interface::{EndpointState, WorkerId};
use std::rc::Rc;

/// Hears how route steps end, and which workers there are. None of its calls may block or call the core.
pub trait Witness {
    /// A route step has ended at this worker.
    fn ended(&self, worker: &Member, ending: &Ending);
    /// The workers that take work, after each change.
    fn listed(&self, workers: &mut dyn Iterator<Item = &Member>);
}

impl Core {
    /// Has the ends of route steps told from now on.
    pub fn attach_witness(&mut self, witness: Rc<dyn Witness>) {
        self.witness = Some(witness);
        self.tell_list();
    }

    /// The workers that take work are told.
    pub(super) fn tell_list(&self) {
        let ready = |m: &&Member| m.stage == EndpointState::Ready;
        self.witness
            .iter()
            .for_each(|w| w.listed(&mut self.workers.iter().map(|w| &w.member).filter(ready)));
    }

    /// What others together say of workers, by name and weight; of all that are not named nothing is said any more.
    pub fn judged(&mut self, verdicts: &[(&str, u32)]) {
        for (id, worker) in self.workers.iter().enumerate() {
            let weight = verdicts
                .iter()
                .find(|v| v.0 == worker.member.name)
                .map_or(0, |v| v.1);
            self.inputs.push(Input::Judged(WorkerId(id as u32), weight));
        }
    }
}
