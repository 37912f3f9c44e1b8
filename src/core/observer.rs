//! What this dispatcher sees of its workers, for others; and what others say of them, for the decisions.

use super::{Core, Input, PoolMember, StepOutcome};
use crate::interface::{EndpointState, WorkerId};
use std::rc::Rc;

/// Hears how route steps end, and which workers there are. None of its calls may block or call the core.
pub trait StepObserver {
    /// A route step has ended at this worker.
    fn step_ended(&self, worker: &PoolMember, ending: &StepOutcome);
    /// The workers that take work, after each change.
    fn workers_changed(&self, workers: &mut dyn Iterator<Item = &PoolMember>);
}

impl Core {
    /// Has the ends of route steps told from now on.
    pub fn attach_observer(&mut self, witness: Rc<dyn StepObserver>) {
        self.witness = Some(witness);
        self.tell_list();
    }

    /// The workers that take work are told.
    pub(super) fn tell_list(&self) {
        let ready = |m: &&PoolMember| m.state == EndpointState::Ready;
        self.witness.iter().for_each(|w| {
            w.workers_changed(&mut self.workers.iter().map(|w| &w.member).filter(ready))
        });
    }

    /// What others together say of workers, by name and weight; of all that are not named nothing is said any more.
    pub fn peer_observations(&mut self, verdicts: &[(&str, u32)]) {
        for (id, worker) in self.workers.iter().enumerate() {
            let weight = verdicts
                .iter()
                .find(|v| v.0 == worker.member.name)
                .map_or(0, |v| v.1);
            self.inputs.push(Input::Judged(WorkerId(id as u32), weight));
        }
    }
}
