//! Gangs: all members are started in one decision, on one rack where that is faster.

use crate::copies::ANYWHERE_MS;
use crate::gather::{Plan, Reach};
use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::policy::Mechanism;
use crate::preempt::Group;
use crate::queue::Waiting;
use crate::service::{Pool, Service};
use crate::types::Decision;
use rand::seq::IndexedRandom;
use streamusher_protocol::Millis;

/// Gangs of a service that room is gathered for at once, in order.
const GATHERING: usize = 4;
/// Workers of a pool that one look at a gang takes in; more are drawn at random.
const MOST_WORKERS: usize = 256;
/// Racks that one look takes in.
const MOST_RACKS: usize = 64;

impl Placement {
    /// Starts a gang whole if all members fit, else gathers room for it.
    pub(crate) fn try_gang(&mut self, now: Millis, key: Key, out: &mut Vec<Decision>) {
        let racks = self.racks_for(now, key);
        let all = self.whole_pool_for(now, key);
        let groups: Vec<Group> = racks.into_iter().chain(all).collect();
        let Some(waiting) = self.queue.get(key) else {
            return;
        };
        let plan = self.cheapest(now, key, waiting, &groups, Reach::Now);
        if let Some(plan) = plan.filter(|plan| self.may_take(now, waiting, plan)) {
            self.start_gang(now, key, plan, out);
        }
        if self.queue.get(key).is_none() {
            return;
        }
        if !self.is_kept(now, key) && self.plans_left > 0 && self.is_among_first(key) {
            self.make_room(now, key, &groups, out);
        }
        self.look_again(now, key);
    }

    /// Avoided workers are taken after a while only: others may get room first.
    fn may_take(&self, now: Millis, waiting: &Waiting, plan: &Plan) -> bool {
        let avoided = |slot: Slot| {
            let worker = self.workers.get(slot);
            worker.is_some_and(|worker| waiting.unit.avoid.contains(&worker.info.id))
        };
        waiting.waited(now) >= ANYWHERE_MS || !plan.sites.iter().any(|site| avoided(site.slot))
    }

    fn is_among_first(&self, key: Key) -> bool {
        let service = self
            .queue
            .get(key)
            .and_then(|waiting| self.services.get(&waiting.unit.service));
        service.is_some_and(|service| {
            service
                .gangs
                .iter()
                .take(GATHERING)
                .any(|gang| *gang == key)
        })
    }

    fn start_gang(&mut self, now: Millis, key: Key, plan: Plan, out: &mut Vec<Decision>) {
        let Some(waiting) = self.queue.get(key) else {
            return;
        };
        let spots = plan
            .sites
            .iter()
            .flat_map(|site| (0..site.members).map(|_| site.slot));
        let on = waiting.unit.tasks.iter().cloned().zip(spots).collect();
        self.start(now, key, on, out);
    }

    /// The groups of workers on one rack each, for a gang that wants one.
    fn racks_for(&mut self, now: Millis, key: Key) -> Vec<Group> {
        let wants_rack =
            |waiting: &&Waiting| waiting.unit.same_rack && self.uses(Mechanism::RackLocality);
        let Some(waiting) = self.queue.get(key).filter(wants_rack) else {
            return Vec::new();
        };
        let Some(service) = self.services.get(&waiting.unit.service) else {
            return Vec::new();
        };
        let mut racks: Vec<&Pool> = service.racks().collect();
        if racks.len() > MOST_RACKS {
            racks = racks
                .choose_multiple(&mut self.rng, MOST_RACKS)
                .copied()
                .collect();
        }
        let groups = racks
            .into_iter()
            .map(|rack| self.group(now, key, waiting, service, &rack.members));
        groups.filter(|group| !group.is_empty()).collect()
    }

    /// All workers as one group, where more than one rack is no loss or the lesser one.
    fn whole_pool_for(&mut self, now: Millis, key: Key) -> Option<Group> {
        let waiting = self.queue.get(key)?;
        let service = self.services.get(&waiting.unit.service)?;
        if !self.may_cross_racks(now, waiting, service) {
            return None;
        }
        let pool = service.pool(waiting.unit.node_selector.as_deref())?;
        let drawn: Vec<Slot> = if pool.members.len() > MOST_WORKERS {
            pool.members
                .choose_multiple(&mut self.rng, MOST_WORKERS)
                .copied()
                .collect()
        } else {
            pool.members.clone()
        };
        Some(self.group(now, key, waiting, service, &drawn))
    }

    /// Waiting for one rack is worth what the slower run on several would cost.
    fn may_cross_racks(&self, now: Millis, waiting: &Waiting, service: &Service) -> bool {
        let patience =
            (self.settings.remote_slowdown - 1.0).max(0.0) * self.run_ms(&waiting.unit, service);
        !waiting.unit.same_rack
            || !self.uses(Mechanism::RackLocality)
            || waiting.waited(now) as f64 >= patience.min(ANYWHERE_MS as f64)
            || !service.racks().any(|rack| self.could_hold(waiting, rack))
    }

    /// Whether a rack holds all members when it is empty.
    fn could_hold(&self, waiting: &Waiting, rack: &Pool) -> bool {
        let eligible = rack
            .members
            .iter()
            .filter(|slot| self.is_eligible(&waiting.unit, **slot));
        let members = eligible.filter_map(|slot| {
            let share = waiting.share_of(self.workers.get(*slot)?);
            let by_room = if share > 0.0 {
                (1.0 / share + 1e-9).floor()
            } else {
                f64::INFINITY
            };
            let by_step = match waiting.unit.anti_affinity {
                0 => f64::INFINITY,
                most => f64::from(most),
            };
            Some(by_room.min(by_step))
        });
        members.sum::<f64>() >= waiting.unit.tasks.len() as f64
    }

    fn group(
        &self,
        now: Millis,
        key: Key,
        waiting: &Waiting,
        service: &Service,
        slots: &[Slot],
    ) -> Group {
        let eligible = slots
            .iter()
            .filter(|slot| self.is_eligible(&waiting.unit, **slot));
        let ranked = eligible.filter_map(|slot| self.rank(now, key, waiting, service, *slot));
        ranked.map(|worker| (worker.rank, worker.slot)).collect()
    }
}
