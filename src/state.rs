//! What a dispatcher keeps of workers and jobs: plain records. Nothing here decides; that is `src/balance/`.

use crate::balance::ramp::Ramp;
use crate::interface::*;
use std::collections::BTreeMap;

/// Weight of a newest value in a running mean: about the last twenty count.
pub const BLEND: f64 = 0.05;
/// Measurements of a worker or kind that count as much as what was supposed before.
const PRIOR: f64 = 20.0;

#[derive(Default)]
pub struct Worker {
    pub entry: Endpoint,
    /// Counts restarts: attempts sent to an earlier life count for nothing.
    pub life: u32,
    pub out: u32,
    pub started: u32,
    /// Connections of ours there, as far as known, and when one was last used.
    pub open: (Micros, u32),
    /// What speaks against it, in jobs, by class, and when that was; none while nothing was seen.
    pub charges: Vec<Option<(Micros, f64)>>,
    /// Load by others, in jobs, and when that was seen.
    pub seen: Option<(Micros, f64)>,
    /// What may still be sent while it is cold.
    pub ramp: Ramp,
    pub slow: Mean,
}

impl Worker {
    /// Attempts that our connections there carry; those not used for long are closed but for what is out.
    pub fn carries(&self, now: Micros, set: &Settings) -> u32 {
        let closed = now.saturating_sub(self.open.0) >= set.connection_idle_timeout_us;
        if closed {
            self.out
        } else {
            self.open.1.saturating_mul(set.streams_per_connection)
        }
    }

    /// Counts an attempt that goes out, and the connection that it may need.
    pub fn sent(&mut self, now: Micros, set: &Settings) {
        let carried = self.carries(now, set).max(self.out + 1);
        self.out += 1;
        self.open = (now, carried.div_ceil(set.streams_per_connection.max(1)));
    }

    /// Counts the end of an attempt. What was not connected is not open; what was is used until now.
    pub fn ended(&mut self, now: Micros, ran: bool, connected: bool) {
        self.out = self.out.saturating_sub(1);
        self.started = self.started.saturating_sub(ran as u32);
        self.open = if connected {
            (now, self.open.1)
        } else {
            (self.open.0, self.open.1.saturating_sub(1))
        };
    }
}

/// What was seen, and when, fades to what is usual by a factor e in this time.
pub fn fading(seen: Option<(Micros, f64)>, usual: f64, now: Micros, time_us: f64) -> f64 {
    seen.map_or(usual, |(at, value)| {
        usual + (value - usual) * (-(now.saturating_sub(at) as f64) / time_us).exp()
    })
}

/// What is learnt of a machine kind: slowness, usual load, and a lower bound of its slots.
#[derive(Clone, Copy, Default)]
pub struct Kind {
    pub slow: Mean,
    pub load: Mean,
    /// The most that one worker showed at once: free slots and jobs at work.
    shown: f64,
    /// The most jobs told by a worker with no slot free; some of them may wait.
    held: f64,
}

impl Kind {
    /// Learns from a report of free slots and, where it tells them, of jobs held and of those that wait. Where it
    /// does not say what waits, nothing does while two slots are free: all held are at work, in a slot each or more.
    pub fn note_slots(&mut self, free: f64, held: Option<f64>, waiting: Option<f64>) {
        let held = held.unwrap_or(0.0).max(0.0);
        let at_work = waiting.map_or(if free >= 1.5 { held } else { 0.0 }, |w| {
            (held - w).max(0.0)
        });
        self.shown = self.shown.max((free + at_work).round());
        if free < 0.5 {
            self.held = self.held.max(held.round());
        }
    }

    /// Slots of one worker. Until some were shown all jobs of a full one are taken to be at work: a newcomer to
    /// a busy fleet knows no better, and must not take each worker for one slot.
    pub fn slots(&self) -> f64 {
        if self.shown >= 1.0 {
            self.shown
        } else {
            self.held.max(1.0)
        }
    }
}

#[derive(Default)]
pub struct Attempt {
    pub worker: u32,
    pub life: u32,
    pub sent: Micros,
    pub started: Option<Micros>,
    /// Its running time can be told: by a start notice, or as nothing was known to wait there.
    pub clear: bool,
    pub cancelled: bool,
    pub end: Option<AttemptOutcome>,
}

impl Attempt {
    pub fn waits(&self) -> bool {
        self.started.is_none() && self.end.is_none()
    }
}

#[derive(Default)]
pub struct Job {
    pub request: Request,
    pub class: usize,
    /// Which workers it may go to, see [`Pool`].
    pub open: usize,
    pub arrived: Micros,
    /// The workers that jobs for the same subject go to by preference; none if it has no subject.
    pub homes: Vec<u32>,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    pub over_share: bool,
    /// How often it was found still waiting, and when to look again.
    pub stalls: u32,
    pub stall_at: Micros,
}

impl Job {
    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.end.is_none())
    }

    /// A final answer is owed by the dispatcher: none was given, and no stream runs.
    pub fn owed(&self) -> bool {
        !(self.answered || self.streaming && self.is_out())
    }

    pub fn time_is_up(&self, now: Micros) -> bool {
        now >= self.arrived.saturating_add(self.request.expires_in_us)
    }

    pub fn timer(&self, wait_us: Micros, stall: u64) -> Action {
        Action::Schedule {
            delay_us: wait_us,
            token: self.request.job.0.wrapping_mul(2).wrapping_add(stall),
        }
    }
}

/// A running mean that weighs its first values evenly.
#[derive(Clone, Copy, Default)]
pub struct Mean {
    pub n: f64,
    pub mean: f64,
}

impl Mean {
    /// Stands until the first value.
    pub fn guess(value: u64) -> Mean {
        Mean {
            n: 0.0,
            mean: value as f64,
        }
    }

    pub fn add(&mut self, value: f64) {
        self.n += 1.0;
        self.mean += (value - self.mean) * BLEND.max(1.0 / self.n);
    }

    /// The mean where there are values, drawn to what was supposed while they are few.
    pub fn or(&self, supposed: f64) -> f64 {
        let n = self.n.min(2.0 * PRIOR);
        (self.mean * n + supposed * PRIOR) / (n + PRIOR)
    }
}

/// Ready workers that can stand for each other in a search: those open to the same classes (the first number),
/// of any place, one zone or one cell.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pool {
    All(usize),
    Zone(usize, ZoneId),
    Cell(usize, u32),
}

/// The ready workers by pool, and their mean weight.
#[derive(Default)]
pub struct Pools {
    pools: BTreeMap<Pool, Vec<u32>>,
    mean_weight: f64,
    /// Points on a circle by worker, the same at every dispatcher; made when first asked for.
    circle: BTreeMap<usize, Vec<(u64, u32)>>,
}

impl Pools {
    pub fn fill(
        &mut self,
        workers: &[Worker],
        bound: &[usize],
        open_to: impl Fn(usize, &Endpoint) -> bool,
    ) {
        self.pools.clear();
        self.circle.clear();
        let mut sum = 0.0;
        for (i, Worker { entry: e, .. }) in workers.iter().enumerate() {
            if e.state == EndpointState::Ready {
                let open = bound.iter().copied().filter(|&o| o > 0 && open_to(o, e));
                for open in open.chain([0]) {
                    for pool in [
                        Pool::All(open),
                        Pool::Zone(open, e.zone),
                        Pool::Cell(open, e.cell),
                    ] {
                        self.pools.entry(pool).or_default().push(i as u32);
                    }
                }
                sum += e.weight;
            }
        }
        self.mean_weight = if sum > 0.0 {
            sum / self.of(Pool::All(0)).len() as f64
        } else {
            1.0
        };
    }

    /// Listed weight over the usual.
    pub fn size(&self, w: &Worker) -> f64 {
        w.entry.weight / self.mean_weight
    }

    pub fn of(&self, pool: Pool) -> &[u32] {
        self.pools.get(&pool).map_or(&[], |p| p)
    }

    /// The first ready workers after a key on the circle.
    pub fn homes(&mut self, workers: &[Worker], open: usize, key: u64, count: usize) -> Vec<u32> {
        let ready = self.pools.get(&Pool::All(open)).map_or(&[][..], |p| p);
        let points =
            |&w: &u32| (0..POINTS).map(move |i| (mix(workers[w as usize].entry.hash, i), w));
        let circle = self.circle.entry(open).or_insert_with(|| {
            let mut circle: Vec<_> = ready.iter().flat_map(points).collect();
            circle.sort_unstable();
            circle
        });
        let start = circle.partition_point(|p| p.0 < mix(key, 0));
        let mut homes = Vec::with_capacity(count);
        for &(_, w) in circle[start..]
            .iter()
            .chain(&circle[..start])
            .take(POINTS as usize * count)
        {
            if homes.len() < count && !homes.contains(&w) {
                homes.push(w);
            }
        }
        homes
    }
}

/// Points of a worker on the circle: enough that keys spread about evenly.
const POINTS: u64 = 8;

/// Scrambles two numbers into one (the finalizer of splitmix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_add(b.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Own rates (arrivals by tenant, work sent) are kept over about this long: many jobs even at one a second.
pub const RATE_US: f64 = 10e6;

/// What this dispatcher has lately seen of each tenant, in requests, and given out, in work.
pub struct Rates {
    pub tenants: Vec<f64>,
    pub work: f64,
    at: Micros,
}

impl Rates {
    pub fn new(tenants: usize, at: Micros) -> Rates {
        Rates {
            tenants: vec![0.0; tenants],
            work: 0.0,
            at,
        }
    }

    pub fn age(&mut self, now: Micros) {
        let keep = (-(now.saturating_sub(self.at) as f64) / RATE_US).exp();
        self.tenants.iter_mut().for_each(|n| *n *= keep);
        (self.work, self.at) = (self.work * keep, now);
    }
}
