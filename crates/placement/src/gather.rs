//! Where all members of a unit fit: now, by what ends soon, or by stopping what is less urgent.

use crate::amounts::{amounts, Amounts};
use crate::headroom::Patience;
use crate::key::{Key, Slot};
use crate::placement::Placement;
use crate::queue::Waiting;
use crate::room::{Insistence, Reservation, Worker};
use crate::run::Run;
use crate::service::Service;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::Millis;

/// How far a plan may reach for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reach {
    /// Free room only.
    Now,
    /// Also what is expected to end within this time, in milliseconds.
    Within(f64),
    /// Also what is less urgent, by stopping it.
    Stopping {
        /// What ends within this time by itself is not stopped.
        within_ms: f64,
        /// Members of gangs may be stopped.
        gangs: bool,
    },
}

/// Members at one worker.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub slot: Slot,
    pub members: u32,
    /// Runs to be stopped for them.
    pub victims: Vec<TaskId>,
}

/// Where all members go.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub sites: Vec<Site>,
    /// What the stops lose, in units of a small job's worth.
    pub price: f64,
    /// Sum of the ranks of the workers.
    pub rank: f64,
}

/// Room that is kept free of work that can wait.
#[derive(Clone, Debug)]
struct Under {
    /// The last class that it is kept for.
    up_to: Patience,
    /// What their runs may take at most.
    most: Amounts,
    /// What they take.
    used: Amounts,
}

/// Room left at a worker, also under what is kept free for work that can wait less.
#[derive(Clone, Debug)]
struct Left {
    total: Amounts,
    under: Vec<Under>,
}

impl Left {
    fn free(&mut self, run: &Run) {
        let freed = amounts(&run.held.resources);
        add(&mut self.total, &freed, 1.0);
        let counted = |under: &&mut Under| run.patience > under.up_to;
        self.under
            .iter_mut()
            .filter(counted)
            .for_each(|under| add(&mut under.used, &freed, -1.0));
    }

    fn holds(&self, asked: &Amounts, members: u32) -> bool {
        let wanted = |kind: usize| asked[kind] * f64::from(members);
        (0..3).all(|kind| wanted(kind) <= self.total[kind])
            && self.under.iter().all(|under| {
                let alone = members == 1 && under.used.iter().all(|used| *used <= 0.0);
                alone || (0..3).all(|kind| under.used[kind] + wanted(kind) <= under.most[kind])
            })
    }
}

fn add(sum: &mut Amounts, part: &Amounts, sign: f64) {
    sum.iter_mut()
        .zip(part)
        .for_each(|(sum, part)| *sum += sign * part);
}

/// A worker that may take members.
struct Host<'a> {
    slot: Slot,
    rank: f64,
    left: Left,
    most_members: u32,
    /// Runs that may be stopped, cheapest first.
    victims: Vec<(f64, &'a TaskId, &'a Run)>,
    members: u32,
    stopped: usize,
    /// Price and stops of one more member.
    next: Option<(f64, usize)>,
}

impl Host<'_> {
    /// Works out what one more member would cost.
    fn look(&mut self, asked: &Amounts) {
        self.next = None;
        if self.members >= self.most_members {
            return;
        }
        let mut left = self.left.clone();
        let mut price = 0.0;
        let mut stopped = self.stopped;
        while !left.holds(asked, self.members + 1) {
            let Some((cost, _, run)) = self.victims.get(stopped) else {
                return;
            };
            left.free(run);
            price += cost;
            stopped += 1;
        }
        self.next = Some((price, stopped));
    }

    fn take(&mut self, asked: &Amounts) -> f64 {
        let Some((price, stopped)) = self.next else {
            return 0.0;
        };
        self.victims[self.stopped..stopped]
            .iter()
            .for_each(|(_, _, run)| self.left.free(run));
        self.stopped = stopped;
        self.members += 1;
        self.look(asked);
        price
    }

    /// The stops that are needed, without those that dearer ones made needless, and what they cost.
    fn site(&self, asked: &Amounts) -> (Site, f64) {
        let mut needed: Vec<usize> = (0..self.stopped).collect();
        for dropped in (0..self.stopped).rev() {
            let mut left = self.left.clone();
            let without = |index: &&usize| **index != dropped;
            // `left` has all of them free: take back what is not stopped.
            let kept: Vec<usize> = needed.iter().filter(without).copied().collect();
            let running = (0..self.stopped).filter(|index| !kept.contains(index));
            running.for_each(|index| left.take_back(self.victims[index].2));
            if left.holds(asked, self.members) {
                needed = kept;
            }
        }
        let price = needed.iter().map(|index| self.victims[*index].0).sum();
        let victims = needed
            .iter()
            .map(|index| self.victims[*index].1.clone())
            .collect();
        (
            Site {
                slot: self.slot,
                members: self.members,
                victims,
            },
            price,
        )
    }
}

impl Left {
    fn take_back(&mut self, run: &Run) {
        let taken = amounts(&run.held.resources);
        add(&mut self.total, &taken, -1.0);
        let counted = |under: &&mut Under| run.patience > under.up_to;
        self.under
            .iter_mut()
            .filter(counted)
            .for_each(|under| add(&mut under.used, &taken, 1.0));
    }
}

impl Placement {
    /// Where all members of a unit fit, at the least price.
    pub(crate) fn plan(
        &self,
        now: Millis,
        key: Key,
        waiting: &Waiting,
        workers: &[(f64, Slot)],
        reach: Reach,
    ) -> Option<Plan> {
        let service = self.services.get(&waiting.unit.service)?;
        let asked = amounts(&waiting.unit.resources);
        let host =
            |(rank, slot): &(f64, Slot)| self.host(now, key, waiting, service, *slot, *rank, reach);
        let mut hosts: Vec<Host> = workers.iter().filter_map(host).collect();
        hosts.iter_mut().for_each(|host| host.look(&asked));
        for _ in 0..waiting.unit.tasks.len() {
            let open = hosts.iter_mut().filter(|host| host.next.is_some());
            let cost = |host: &Host| (host.next.map_or(f64::INFINITY, |next| next.0), host.rank);
            let cheaper = |a: &&mut Host, b: &&mut Host| {
                let ((price_a, rank_a), (price_b, rank_b)) = (cost(a), cost(b));
                price_a
                    .total_cmp(&price_b)
                    .then(rank_a.total_cmp(&rank_b))
                    .then(a.slot.cmp(&b.slot))
            };
            open.min_by(cheaper)?.take(&asked);
        }
        let chosen: Vec<&Host> = hosts.iter().filter(|host| host.members > 0).collect();
        let rank = chosen.iter().map(|host| host.rank).sum();
        let (sites, prices): (Vec<Site>, Vec<f64>) =
            chosen.iter().map(|host| host.site(&asked)).unzip();
        Some(Plan {
            sites,
            price: prices.iter().sum(),
            rank,
        })
    }

    #[allow(clippy::too_many_arguments)]
    fn host<'a>(
        &'a self,
        now: Millis,
        key: Key,
        waiting: &Waiting,
        service: &Service,
        slot: Slot,
        rank: f64,
        reach: Reach,
    ) -> Option<Host<'a>> {
        let worker = self.workers.get(slot)?;
        let insistence = self.insistence(now, waiting, service, worker);
        if !worker.info.schedulable
            || insistence == Insistence::Usual
                && self.most_runs(now, worker, service) <= worker.runs.len()
        {
            return None;
        }
        let unit = &waiting.unit;
        let by_step = match unit.anti_affinity {
            0 => u32::MAX,
            most => most.saturating_sub(worker.count_of(&unit.id.step)),
        };
        let mut host = Host {
            slot,
            rank,
            left: self.left_at(now, key, worker, service, insistence, waiting),
            most_members: by_step,
            victims: Vec::new(),
            members: 0,
            stopped: 0,
            next: None,
        };
        self.free_by_reach(now, worker, service, unit.priority, reach, &mut host);
        Some(host)
    }

    /// Counts as free what the reach allows, and lists what may be stopped.
    fn free_by_reach<'a>(
        &'a self,
        now: Millis,
        worker: &'a Worker,
        service: &Service,
        priority: u32,
        reach: Reach,
        host: &mut Host<'a>,
    ) {
        let (within_ms, stops, gangs) = match reach {
            Reach::Now => return,
            Reach::Within(within_ms) => (within_ms, false, false),
            Reach::Stopping { within_ms, gangs } => (within_ms, true, gangs),
        };
        for (task, run) in &worker.runs {
            let rest_ms = run.rest_ms(now, service.usual_ms(), &self.settings);
            // Room of more urgent work is soon taken by its like.
            if rest_ms <= within_ms && run.held.priority >= priority {
                host.left.free(run);
            } else if stops
                && !run.stopping
                && run.held.priority > priority
                && (gangs || !run.held.gang_member)
            {
                host.victims
                    .push((run.price_of_stop(now, &self.settings), task, run));
            }
        }
        host.victims
            .sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    }

    /// Room left now, with what is kept for earlier units and for work that can wait less taken off.
    fn left_at(
        &self,
        now: Millis,
        key: Key,
        worker: &Worker,
        service: &Service,
        insistence: Insistence,
        waiting: &Waiting,
    ) -> Left {
        let capacity = amounts(&worker.info.capacity);
        let mut total = capacity;
        add(&mut total, &amounts(&worker.used), -1.0);
        let holds = |kept: &&Reservation| kept.holds_against(now, key, insistence);
        let kept = worker.reservations.iter().filter(holds);
        kept.for_each(|kept| add(&mut total, &amounts(&kept.resources), -1.0));
        if insistence > Insistence::Usual {
            return Left {
                total,
                under: Vec::new(),
            };
        }
        let under = self.kept_against(now, waiting, service).map(|kept| Under {
            up_to: kept.up_to,
            most: [0, 1, 2].map(|kind| capacity[kind] * (1.0 - kept.shares[kind])),
            used: amounts(&worker.used_behind(kept.up_to)),
        });
        Left {
            total,
            under: under.collect(),
        }
    }
}
