//! Step outcomes and the worker list for an observer, and observations of other dispatchers for the balancer.

use super::{Core, Input, PoolMember, StepOutcome};
use crate::interface::{EndpointState, WorkerId};
use std::rc::Rc;

/// Observes how route steps end and which workers are ready. No method may block or call the core.
pub trait StepObserver {
    /// A route step at `worker` has ended.
    fn step_ended(&self, worker: &PoolMember, outcome: &StepOutcome);
    /// The ready workers, after each change of the list.
    fn workers_changed(&self, workers: &mut dyn Iterator<Item = &PoolMember>);
}

impl Core {
    /// Reports step outcomes and the ready workers to this observer from now on.
    pub fn attach_observer(&mut self, observer: Rc<dyn StepObserver>) {
        self.observer = Some(observer);
        self.notify_observer();
    }

    /// Reports the ready workers to the observer.
    pub(super) fn notify_observer(&self) {
        let ready = |m: &&PoolMember| m.state == EndpointState::Ready;
        self.observer.iter().for_each(|observer| {
            observer.workers_changed(&mut self.workers.iter().map(|w| &w.member).filter(ready))
        });
    }

    /// Replaces the peers' combined observations of workers, given by name and weight; a worker that is not
    /// named gets weight 0.
    pub fn peer_observations(&mut self, observations: &[(&str, u32)]) {
        for (id, worker) in self.workers.iter().enumerate() {
            let weight = observations
                .iter()
                .find(|observation| observation.0 == worker.member.name)
                .map_or(0, |observation| observation.1);
            self.inputs
                .push(Input::PeerObservation(WorkerId(id as u32), weight));
        }
    }
}
