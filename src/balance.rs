//! Every decision of a dispatcher. Settings, events, actions: `src/interface.rs`; records: `src/state.rs`.
//!
//! The (n, 1) fork-early-cancel system of "Queues with Redundancy" for one dispatcher of many: rank a few
//! workers by own jobs there, fork a repeatable job to the n lowest, cancel the rest at the first start.
//! Every extension is an addition to the count and zero while nothing is wrong; see `docs/design.md`.

use crate::interface::*;
use crate::state::{fading, Attempt, Job, Kind, Mean, Pool, Pools, Rates, Worker, BLEND, RATE_US};
use rand::{seq::*, Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{collections::BTreeMap, f64::consts::LN_2, mem::take};

/// Workers sampled for a ranking, from the own zone and from all alike: few, so cost follows the sample.
const SAMPLE: usize = 6;
/// Workers remembered as best; small beside any fleet, so that dispatchers remember different ones.
const MEMORY: usize = 4;
/// Most copies of a job at once: past three or four queues the shortest gains little more.
const CEILING: usize = 4;
/// Part of the shortest aim that a job waits for the answers to probes.
const ASK_PART: Micros = 32;
/// Homes of a subject, the same at every dispatcher: a few, as workers keep few data sets and homes fill up.
const HOMES: usize = 3;
/// Charge, in jobs, for an outcome that speaks against the worker: more than usual counts differ.
const CHARGE: f64 = 4.0;
/// Charge, in jobs, each time a job is found still unanswered where no start is told: no worse than a wait.
const SILENCE: f64 = 1.0;
/// Charges and loads end here, in jobs: what was bad for long is tried again a few half-lives later.
const CHARGE_MOST: f64 = 16.0;
/// Jobs that a worker of another zone must be ahead by: a crossing costs little beside a wait.
const CROSSING: f64 = 0.25;
/// Jobs ahead that cost about the whole worth of a request: they weigh what a new connection costs.
const WORTH: f64 = 5.0;
/// A tenant this far above the typical one, each by its quota, is beyond its share: room for chance.
const OVER_SHARE: f64 = 1.3;
/// A job may cost this many times what its class costs on average; a cold worker must bear that.
const HEAVY: f64 = 3.0;
/// Part of its present capacity that a cold worker is credited in all, from all dispatchers: room for chance.
const TAKE_UP: f64 = 0.8;
/// Room over a worker's usual load that a cold one is credited, for the load that warm ones turn away.
const ROOM: f64 = 1.25;
/// Traffic beyond its share is served while this part of the slots is free: room for one slow-down of all.
const SPARE: f64 = 0.35;
/// A job is given up early when it is expected to take this many times its aim: estimates are rough.
const HOPELESS: f64 = 1.5;
/// Timer token of the list; those of jobs are twice their number, and one more while held or not begun.
const LIST: u64 = u64::MAX;

/// The decisions of one dispatcher.
pub struct Balancer {
    set: Settings,
    rng: Pcg64Mcg,
    workers: Vec<Worker>,
    pools: Pools,
    /// Workers remembered as best, by class.
    best: Vec<Vec<u32>>,
    /// Classes open to the same workers, by class: 0 for those that may go to any, else the class + 1.
    open: Vec<usize>,
    /// Part of the attempts that fail or are turned away though there is room, by class.
    fails: Vec<Mean>,
    jobs: BTreeMap<JobId, Job>,
    just_started: Vec<JobId>,
    /// Running time by class: mean, and mean of its logarithm, which heavy tails do not sway.
    run: Vec<(Mean, Mean)>,
    kinds: BTreeMap<KindId, Kind>,
    work: Mean,
    /// Shortest usual delay from send to start notice.
    prompt_us: f64,
    /// Copies that ran for nothing, for each job (Claim 1: they shrink capacity).
    burned: Mean,
    rates: Rates,
}

impl Balancer {
    /// A dispatcher that knows nothing yet.
    pub fn new(set: Settings, seed: u64, now: Micros) -> Self {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: Vec::new(),
            pools: Pools::default(),
            best: vec![Vec::new(); set.classes.len()],
            open: set.classes.iter().enumerate().map(|(i, c)| usize::from(c.is_bound()) * (i + 1)).collect(),
            fails: vec![Mean::default(); set.classes.len()],
            jobs: BTreeMap::new(),
            just_started: Vec::new(),
            run: set.classes.iter().map(|c| (Mean::guess(c.aim_us), Mean::default())).collect(),
            kinds: BTreeMap::new(),
            work: Mean::guess(set.shortest_aim()),
            prompt_us: 10.0 * set.tick_us as f64,
            burned: Mean::default(),
            rates: Rates::new(set.tenants.len(), now),
            set,
        }
    }

    /// New settings; classes past the known ones are new, and those known keep their rules.
    pub fn retune(&mut self, set: Settings) {
        for (i, c) in set.classes.iter().enumerate().skip(self.best.len()) {
            self.best.push(Vec::new());
            self.open.push(usize::from(c.is_bound()) * (i + 1));
            self.fails.push(Mean::default());
            self.run.push((Mean::guess(c.aim_us), Mean::default()));
        }
        self.workers.iter_mut().for_each(|w| w.charges.resize(self.best.len() + 1, None));
        self.set = set;
        self.pools.fill(&self.workers, &self.open, |open, e| open_to(&self.set, open, e));
    }

    /// Takes one event and adds what is to be done about it to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::List { complete, entries } => self.list(now, complete, entries, out),
            Event::ListFailed if self.set.list_must_be_asked => self.ask_within(4, out),
            Event::Arrived(request) => self.arrived(now, request, out),
            Event::Started { job, attempt } => self.started(now, job, attempt),
            // A worker that tells progress is not silent.
            Event::Progress { job, attempt, .. } => {
                let Some(job) = self.jobs.get(&job) else { return };
                let (class, at) = (job.class, job.attempts.get(attempt as usize).map(|a| a.worker));
                at.into_iter().for_each(|w| self.clear(now, w, class));
            }
            Event::StreamBegan { job, attempt } => self.jobs.get_mut(&job).into_iter().for_each(|job| {
                job.streaming = true;
                cancel(&self.set, job, |i| i != attempt as usize, out);
            }),
            Event::Outcome(outcome) => self.outcome(now, outcome, out),
            Event::ClientGone { job } => self.ended(job, out),
            Event::Timer { token: LIST } => out.push(Action::Subscribe),
            Event::Timer { token } if token % 2 == 1 => self.stalled(now, JobId(token / 2), out),
            Event::Timer { token } => self.answer(JobId(token / 2), out),
            Event::Probed { worker, report, .. } => self.note_report(now, worker.0, report),
            Event::Mail | Event::ListFailed | Event::Judged { .. } => {}
            Event::Settled => self.settled(now, out),
        }
    }

    // ---- discovery ----

    fn list(&mut self, now: Micros, complete: bool, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if self.workers.is_empty() && self.set.list_must_be_asked {
            self.ask_within(8, out); // a whole tier may have started just now
        }
        if complete {
            self.workers.iter_mut().for_each(|w| w.entry.stage = Stage::Gone);
        }
        for e in entries {
            let id = e.worker.0 as usize;
            if id > self.workers.len() {
                continue; // not numbered in order: the embedder's mistake, nothing can be said of it
            }
            if id == self.workers.len() || self.workers[id].entry.since != e.since {
                // A new process: what an old one held or did wrong is void. Cold credit begins with a debt of
                // up to a job, so that many dispatchers with little traffic do not all send their first one.
                let (life, slow) = self.workers.get(id).map(|w| (w.life + 1, w.slow)).unwrap_or_default();
                let credit = (now, -self.rng.random::<f64>() * self.work.mean);
                let charges = vec![None; self.best.len() + 1];
                let new = Worker { life, slow, credit, charges, ..Worker::default() };
                self.workers.splice(id..self.workers.len().min(id + 1), [new]);
            }
            self.workers[id].entry = e;
        }
        self.pools.fill(&self.workers, &self.open, |open, e| open_to(&self.set, open, e));
    }

    /// Asks for the list within this part of the time allowed, at random: hundreds may want it at once.
    fn ask_within(&mut self, part: Micros, out: &mut Vec<Action>) {
        let within = self.set.ask_within_us / part;
        let wait_us = self.rng.random_range(within / 8..=within);
        out.push(Action::Schedule { wait_us, token: LIST });
    }

    // ---- admission ----

    fn arrived(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let (id, class) = (request.job, request.class.0 as usize);
        if class >= self.set.classes.len() || self.jobs.contains_key(&id) {
            return;
        }
        let over_share = self.beyond_share(now, request.tenant);
        let open = self.open[class];
        let homes = request.key.map_or_else(Vec::new, |k| self.pools.homes(&self.workers, open, k, HOMES));
        let job = Job { request, class, homes, open, arrived: now, over_share, ..Job::default() };
        // The timer comes up to a tick late; the slack must bear that.
        let early = (2 * self.set.tick_us).saturating_sub(self.set.answer_slack_us);
        out.push(job.timer(job.request.expires_in_us.saturating_sub(early), 0));
        if self.set.reports_on_probe {
            // Nothing is told unasked: a few are asked first, and the lowest ranked of them remembered.
            let asked = self.pools.of(Pool::All(open)).choose_multiple(&mut self.rng, MEMORY);
            out.extend(asked.map(|&w| Action::Probe { worker: WorkerId(w) }));
            out.push(job.timer(self.set.shortest_aim() / ASK_PART, 1));
        }
        let beyond_quota = job.request.quota_free.is_some_and(|free| free <= 0.0);
        self.jobs.insert(id, job);
        if beyond_quota {
            self.answer(id, out);
        } else if !self.set.reports_on_probe {
            self.place(now, id, out);
        }
    }

    /// Whether this arrival counts as beyond its tenant's share. Quotas span all dispatchers and this one has
    /// a part of unknown size, so tenants are held against the typical one here, each by its quota.
    fn beyond_share(&mut self, now: Micros, tenant: Option<TenantId>) -> bool {
        self.rates.age(now);
        let seen = tenant.and_then(|t| self.rates.tenants.get_mut(t.0 as usize));
        let Some((own, TenantId(t))) = seen.zip(tenant) else { return false };
        *own += 1.0;
        let quota = |t: usize| self.set.tenants[t].quota_rps.max(1e-9);
        let mut used: Vec<f64> = self.rates.tenants.iter().enumerate().map(|(t, n)| n / quota(t)).collect();
        let (own, chance) = (used[t as usize], 2.0 * (used[t as usize] / quota(t as usize)).sqrt());
        used.sort_by(f64::total_cmp);
        let most = used[(used.len() - 1) / 2] * OVER_SHARE;
        own - chance > most && self.rng.random::<f64>() * own > most
    }

    /// Whether a job is expected far past its aim if sent there now, after the jobs ahead; or nowhere yet.
    fn hopeless(&self, now: Micros, job: &Job, at: Option<u32>) -> bool {
        let (work, class) = (self.work_of(job), &self.set.classes[job.class]);
        let (wait, slow) = at.map_or((0.0, 1.0), |id| {
            let w = &self.workers[id as usize];
            let ahead = (self.waiting(id) as f64 + self.load_of(now, w) - 1.0).max(0.0);
            (ahead * self.work.mean / self.slots(w), self.slowness(w))
        });
        let finish = (wait + work) * slow + now.saturating_sub(job.arrived) as f64;
        finish > HOPELESS * (class.aim_us as f64 + class.stretch * work)
    }

    // ---- ranking ----

    /// Own jobs at the worker; in jobs too, its charges and, to break ties, others' load, slowness, distance.
    fn rank(&self, now: Micros, id: u32, class: usize) -> f64 {
        let w = &self.workers[id as usize];
        let crossing = if w.entry.zone == self.set.my_zone { 0.0 } else { CROSSING };
        let connecting = f64::from(w.out >= w.carries(now, &self.set)) * WORTH * self.set.connection_cost;
        let others = (self.load_of(now, w) + 0.5) * self.slowness(w);
        w.out as f64
            + self.charge_of(now, w, class)
            + self.charge_of(now, w, self.best.len())
            + others
            + crossing
            + connecting
    }

    /// What speaks against a worker for a class: what was seen fades to what is usual for the class.
    fn charge_of(&self, now: Micros, w: &Worker, class: usize) -> f64 {
        let usual = self.fails.get(class).map_or(0.0, |f| f.mean * CHARGE);
        fading(w.charges[class], usual, now, self.set.warm_after_us.max(1_000_000) as f64 / LN_2)
    }

    /// Load by others: what was seen fades to the usual of its kind; one for all would jam fast ones unseen.
    fn load_of(&self, now: Micros, w: &Worker) -> f64 {
        let usual = self.kinds.get(&w.entry.kind).map_or(0.0, |k| k.load.mean);
        fading(w.seen, (1.0 + usual) * self.held(w) - 1.0, now, 2.0 * self.work.mean)
    }

    /// Where only those asked tell their load, a live weight tells it of all: size over one and jobs held.
    fn held(&self, w: &Worker) -> f64 {
        let live = self.set.weights == Weights::Live && self.set.reports_on_probe;
        self.pools.size(w).max(0.1).powi(-i32::from(live))
    }

    fn slots(&self, w: &Worker) -> f64 {
        self.kinds.get(&w.entry.kind).map_or(1.0, Kind::slots)
    }

    /// Running time here over the usual: of the worker, while little is known of its kind, then as listed.
    fn slowness(&self, w: &Worker) -> f64 {
        let listed = -(self.pools.size(w) * self.held(w)).max(1e-9).ln().clamp(-1.0, 1.0);
        let kind = self.kinds.get(&w.entry.kind).map_or(listed, |k| k.slow.or(listed));
        w.slow.or(kind).exp()
    }

    fn sort(&self, now: Micros, class: usize, workers: &mut [u32]) {
        workers.sort_by_cached_key(|&w| (self.rank(now, w, class) * 1e6) as i64);
    }

    /// Eligible workers for the next attempt of a job, lowest rank first: a sample and the best remembered.
    fn ranked(&mut self, now: Micros, id: JobId) -> Vec<u32> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let first = self.bound(job).map(|a| &self.workers[a.worker as usize].entry);
        let pool = match (self.set.classes[job.class].repeat, first) {
            (Repeat::Keyed { scope: Scope::Cell, .. }, Some(e)) => Pool::Cell(job.open, e.cell),
            (Repeat::Keyed { scope: Scope::Zone, .. }, Some(e)) => Pool::Zone(job.open, e.zone),
            _ => Pool::All(job.open),
        };
        let (all, best) = (self.pools.of(pool), &self.best[job.class]);
        let own_zone = Pool::Zone(job.open, self.set.my_zone);
        let near = self.pools.of(if matches!(pool, Pool::All(_)) { own_zone } else { pool });
        // Away from its homes a subject's data must be fetched; of workers not asked no load is known.
        let known = if job.homes.is_empty() && self.set.reports_on_probe { best } else { &job.homes };
        let mut picks: Vec<u32> = known.iter().copied().filter(|&w| self.eligible(now, job, w)).collect();
        if picks.is_empty() {
            picks.extend(all.choose_multiple(&mut self.rng, SAMPLE));
            picks.extend(near.choose_multiple(&mut self.rng, SAMPLE));
            picks.extend(best);
            picks.retain(|&w| self.eligible(now, job, w));
            picks.sort_unstable();
            picks.dedup();
        }
        if picks.is_empty() {
            picks = all.iter().copied().filter(|&w| self.eligible(now, job, w)).take(SAMPLE).collect();
        }
        picks.shuffle(&mut self.rng); // ties go at random
        self.sort(now, job.class, &mut picks);
        picks
    }

    /// All that may forbid an attempt at this worker; the one sending place asks again.
    fn eligible(&self, now: Micros, job: &Job, id: u32) -> bool {
        let w = &self.workers[id as usize];
        w.entry.stage == Stage::Ready
            && open_to(&self.set, job.open, &w.entry)
            && !job.attempts.iter().any(|a| a.worker == id && a.life == w.life)
            && (self.set.may_duplicate || !job.is_out())
            && self.repeat_allowed(now, job, &w.entry)
            && self.cold_room(now, job, w)
    }

    /// The first attempt that may have run, copies still out included: it fixes a keyed job's group, window,
    /// and an unsafe job's only try. Where workers shed what they had begun, 'full' proves nothing.
    fn bound<'a>(&self, job: &'a Job) -> Option<&'a Attempt> {
        let never_ran = |code| match code {
            Code::DialFailed | Code::Unused => true,
            Code::Shed => !self.set.full_may_have_run,
            _ => false,
        };
        job.attempts.iter().find(|a| !a.end.is_some_and(never_ran))
    }

    fn repeat_allowed(&self, now: Micros, job: &Job, e: &Entry) -> bool {
        match (self.set.classes[job.class].repeat, self.bound(job)) {
            (Repeat::Free, _) | (_, None) => true,
            (Repeat::Once, Some(_)) => false,
            (Repeat::Keyed { scope, window_us }, Some(a)) => {
                let first = &self.workers[a.worker as usize].entry;
                (scope != Scope::Zone || first.zone == e.zone)
                    && (scope != Scope::Cell || first.cell == e.cell)
                    && now < a.sent.saturating_add(window_us)
            }
        }
    }

    /// Guards a cold worker: nothing that could be too heavy for it alone, and no more than its present share
    /// of what a warm one gets from here. If all keep to that it gets a warm one's load for its capacity.
    fn cold_room(&self, now: Micros, job: &Job, w: &Worker) -> bool {
        let share = self.present_share(now, w);
        let bearable = share * self.set.tip_multiple * self.set.fall_us as f64;
        share >= 1.0 || (self.work_of(job) * HEAVY <= bearable && self.credit_of(now, w) >= 0.0)
    }

    fn present_share(&self, now: Micros, w: &Worker) -> f64 {
        let warm = now.saturating_sub(w.entry.since) as f64 / self.set.warm_after_us.max(1) as f64;
        let warm = if w.entry.since == 0 { 1.0 } else { warm.min(1.0) };
        self.set.start_capacity + (1.0 - self.set.start_capacity) * warm
    }

    fn credit_of(&self, now: Micros, w: &Worker) -> f64 {
        let ready = self.pools.of(Pool::All(0)).len() as f64;
        let size = if self.set.weights == Weights::Size { self.pools.size(w) } else { 1.0 };
        // What is served from here is this one's part of a worker's usual load: over the fleet it adds up to
        // no more than all can do, and with room for more it may grow while warm ones are full. Traffic is
        // uneven: one with little may still take its even part of what the slots can do. Both together stay
        // far enough below what tips the worker.
        let even = self.slots(w) / f64::from(self.set.dispatchers.max(1)) * TAKE_UP;
        let usual = self.rates.work / RATE_US / ready * size * ROOM;
        let bears = (self.set.tip_multiple / (1.4 * (TAKE_UP + ROOM))).min(1.0);
        let rate = usual.max(even) * bears * self.present_share(now, w);
        (w.credit.1 + rate * now.saturating_sub(w.credit.0) as f64).min(self.work.mean)
    }

    /// Work expected of a job: its hint, or the usual of its class; at first the aim, which is of that order.
    fn work_of(&self, job: &Job) -> f64 {
        job.request.hint_us.map_or(self.run[job.class].0.mean, |h| h as f64).max(1.0)
    }

    // ---- fan-out ----

    /// Own jobs waiting at a worker. Without start notices the first of them is taken to run.
    fn waiting(&self, id: u32) -> usize {
        let w = &self.workers[id as usize];
        w.out.saturating_sub(if self.set.tells_start { w.started } else { 1 }) as usize
    }

    /// The most copies that the rules and the permissions bear, lowered as copies burn work (Claim 1).
    fn ceiling(&self, job: &Job) -> usize {
        let forks = self.set.cancel && self.set.classes[job.class].repeat != Repeat::Once;
        let most = CEILING.min(self.set.max_attempts.saturating_sub(1) as usize) as f64 * f64::from(forks);
        (most * (1.0 - 2.0 * self.burned.mean)).round().max(1.0) as usize
    }

    /// Sends a job that has nothing out: n copies, n being 1 while none of ours waits at the lowest ranked.
    fn place(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let ranked = self.ranked(now, id);
        let Some(job) = self.jobs.get(&id).filter(|j| !j.answered) else { return };
        let mut spent = job.attempts.len() >= self.set.max_attempts as usize;
        spent |= self.waste_at(job).is_some_and(|late| now >= late);
        let Some(&first) = ranked.first().filter(|_| !spent) else {
            // With none to send to it is held only while it can be in time, and never once it may have run.
            if spent || self.bound(job).is_some() || job.over_share || self.hopeless(now, job, None) {
                return self.answer(id, out);
            }
            return out.push(job.timer(self.set.shortest_aim() / 8, 1));
        };
        // Worth little while room is short, or nothing by the time it is done.
        let spare = |w: &Worker| self.load_of(now, w) - 1.0 / (1.0 + SPARE * self.slots(w));
        let short = ranked.iter().map(|&w| spare(&self.workers[w as usize])).sum::<f64>() > 0.0;
        let unwanted = job.over_share && short || ranked.iter().all(|&w| self.hopeless(now, job, Some(w)));
        if unwanted && self.bound(job).is_none() {
            return self.answer(id, out);
        }
        let n = self.ceiling(job).min(1 + self.waiting(first));
        self.send(now, id, first, out);
        for _ in 1..n {
            self.copy(now, id, true, out);
        }
        self.await_start(now, id, out);
    }

    /// A further copy: to idle room where no start would cancel the others; to a subject's homes only.
    fn copy(&mut self, now: Micros, id: JobId, tells: bool, out: &mut Vec<Action>) {
        let Some((&w, job)) = self.ranked(now, id).first().zip(self.jobs.get(&id)) else { return };
        let room = tells || self.rank(now, w, job.class) < 1.0;
        if room && (job.homes.is_empty() || job.homes.contains(&w)) {
            self.send(now, id, w, out);
        }
    }

    /// How long a job may be out before it counts as waiting: longer each time.
    fn await_start(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let prompt = self.prompt_us + self.set.tick_us as f64;
        let usual = if self.set.tells_start { prompt } else { self.work_of(job) };
        let wait_us = (usual * f64::from(2u32 << job.stalls.min(8))) as Micros;
        let wait_us = self.waste_at(job).map_or(wait_us, |late| wait_us.min(late.saturating_sub(now)));
        out.push(job.timer(wait_us, 1));
        self.jobs.entry(id).and_modify(|j| j.stall_at = now.saturating_add(wait_us));
    }

    /// When a job not begun can only be run in vain, making those behind it late: late is worth nothing,
    /// cancel frees its place, and the client does not ask again for what failed.
    fn waste_at(&self, job: &Job) -> Option<Micros> {
        let (class, work) = (&self.set.classes[job.class], self.work_of(job));
        let frees = self.set.cancel && self.set.tells_start && class.late_share == 0.0 && !self.harmless(job);
        let last = class.aim_us as f64 + (class.stretch - 1.0).max(0.0) * work;
        frees.then(|| job.arrived.saturating_add(last as Micros))
    }

    /// A job is still not known to run: it is one of ours waiting, and so n grows by one for it.
    fn stalled(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let tells = self.set.tells_start;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.is_out() {
            return self.place(now, id, out);
        }
        let begun = tells && job.attempts.iter().any(|a| a.started.is_some() && a.end.is_none());
        if job.answered || job.streaming || begun || now < job.stall_at {
            return;
        }
        job.stalls += 1;
        let job = &self.jobs[&id];
        if self.waste_at(job).is_some_and(|late| now >= late) {
            return self.answer(id, out);
        }
        let waits: Vec<u32> = job.attempts.iter().filter(|a| a.end.is_none()).map(|a| a.worker).collect();
        // One attempt is left over for a retry.
        let more = job.attempts.len() + 1 < self.set.max_attempts as usize && waits.len() < self.ceiling(job);
        waits.iter().filter(|_| !tells).for_each(|&w| self.charge(now, w, self.best.len(), 1.0, SILENCE));
        if more {
            self.copy(now, id, tells, out);
        }
        self.await_start(now, id, out);
    }

    /// The one place that sends. Every rule on attempts is checked here.
    fn send(&mut self, now: Micros, id: JobId, worker: u32, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.answered && !j.streaming) else { return };
        let spent = job.attempts.len() >= self.set.max_attempts as usize || job.time_is_up(now);
        if spent || !self.eligible(now, job, worker) {
            return;
        }
        let work = self.work_of(job);
        self.work.add(work);
        let w = &self.workers[worker as usize];
        let credit = self.credit_of(now, w) - work;
        let clear = self.set.tells_start || w.out == 0 && self.load_of(now, w) < 1.0;
        let w = &mut self.workers[worker as usize];
        w.sent(now, credit, &self.set);
        let attempt = Attempt { worker, life: w.life, sent: now, clear, ..Attempt::default() };
        self.jobs.entry(id).and_modify(|j| j.attempts.push(attempt));
        out.push(Action::Send { job: id, worker: WorkerId(worker) });
    }

    // ---- attempts and outcomes ----

    fn started(&mut self, now: Micros, id: JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.waits()) else { return };
        a.started = Some(now);
        let (worker, wait_us) = (a.worker, now.saturating_sub(a.sent) as f64);
        // The shortest usual delay: falls at once, rises slowly.
        self.prompt_us = (self.prompt_us * (1.0 + BLEND)).min(wait_us).max(1.0);
        let w = &mut self.workers[worker as usize];
        w.started += (w.life == a.life) as u32;
        self.just_started.push(id);
        // Where reports tell no queue, or only those asked tell it, the wait tells how many were ahead.
        let told = self.set.reports_count_jobs && !self.set.reports_on_probe;
        if !told && wait_us > 2.0 * (self.prompt_us + self.set.tick_us as f64) {
            let jobs = wait_us * self.slots(&self.workers[worker as usize]) / self.work.mean;
            self.note_load(now, worker, 1.0 + jobs);
        }
    }

    /// The moment is over: of the attempts that began in it one is kept, at random (Definition 2). Where the
    /// workers have room to spare those that run may go on, and the first finish wins (Theorem 1).
    fn settled(&mut self, now: Micros, out: &mut Vec<Action>) {
        for id in take(&mut self.just_started) {
            let Some(job) = self.jobs.get(&id).filter(|j| !j.answered && !j.streaming) else { continue };
            let runs = |a: &Attempt| a.started.is_some() && a.end.is_none() && !a.cancelled;
            let roomy = |a: &Attempt| runs(a) && self.load_of(now, &self.workers[a.worker as usize]) < 0.5;
            let roomy: Vec<bool> = job.attempts.iter().map(roomy).collect();
            let begun = (0..roomy.len()).filter(|&i| runs(&job.attempts[i]));
            let Some(keep) = begun.choose(&mut self.rng) else { continue };
            self.jobs.entry(id).and_modify(|j| cancel(&self.set, j, |i| i != keep && !roomy[i], out));
        }
    }

    fn outcome(&mut self, now: Micros, o: Outcome, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&o.job) else { return };
        let Some(a) = job.attempts.get_mut(o.attempt as usize).filter(|a| a.end.is_none()) else { return };
        a.end = Some(o.code);
        let (worker, clear, ran) = (a.worker, a.clear, a.started.is_some());
        let (began, class, hint) = (a.started.unwrap_or(a.sent), job.class, job.request.hint_us);
        let w = &mut self.workers[worker as usize];
        if w.life == a.life {
            w.ended(now, ran, o.code != Code::DialFailed);
        }
        self.note_report(now, worker, o.report);
        let load = self.load_of(now, &self.workers[worker as usize]);
        match o.code {
            Code::Delivered => {
                self.fails[class].add(0.0);
                self.clear(now, worker, class);
                self.burned.add(0.0);
                self.rates.age(now);
                self.rates.work += hint.map_or(self.run[class].0.mean, |h| h as f64);
                if clear {
                    self.note_run(worker, class, hint, now.saturating_sub(began).max(1) as f64);
                }
                self.remember(now, worker);
            }
            // A queue is full: as a report would say, and soon out of date.
            Code::Shed if load >= 1.0 => self.note_load(now, worker, load + CHARGE),
            // An empty count would draw the next job, and the next; so would 'full' in spite of room.
            Code::AppError | Code::DialFailed | Code::Dropped | Code::Shed => {
                self.fails[class].add(1.0);
                self.charge(now, worker, class, 1.0, CHARGE);
                let all = f64::from(o.code != Code::Shed) * CHARGE;
                self.charge(now, worker, self.best.len(), 1.0, all);
            }
            Code::Revoked if ran || !self.set.tells_start => self.burned.add(1.0),
            _ => {}
        }
        let Some(job) = self.jobs.get(&o.job) else { return };
        if o.complete || job.answered {
            self.ended(o.job, out);
        } else if !job.is_out() {
            // A time-out means the client's time; a broken stream cannot be begun again.
            match job.time_is_up(now) || o.code == Code::Expired || job.streaming {
                true => self.answer(o.job, out),
                false => self.place(now, o.job, out),
            }
        }
    }

    fn note_run(&mut self, worker: u32, class: usize, hint: Option<Micros>, run: f64) {
        let (mean, log) = &mut self.run[class];
        let usual = hint.map_or(if log.n > 0.0 { log.mean } else { run.ln() }, |h| (h.max(1) as f64).ln());
        mean.add(run);
        log.add(run.ln());
        let w = &mut self.workers[worker as usize];
        let kind = self.kinds.entry(w.entry.kind).or_default();
        [&mut w.slow, &mut kind.slow].into_iter().for_each(|slow| slow.add(run.ln() - usual));
    }

    fn note_report(&mut self, now: Micros, worker: u32, report: Option<Report>) {
        let Some((r, w)) = report.zip(self.workers.get(worker as usize)) else { return };
        let kind = self.kinds.entry(w.entry.kind).or_default();
        r.free_slots.into_iter().for_each(|free| kind.note_slots(free, r.active, r.waiting));
        let load = match (r.free_slots, r.waiting, r.active, r.busy) {
            (Some(free), _, _, _) if free >= 0.5 => 1.0 / (1.0 + free),
            (_, Some(waiting), _, _) => 1.0 + waiting,
            (Some(_), None, active, _) => 1.0 + (active.unwrap_or(0.0) - kind.slots()).max(0.0),
            (None, None, Some(active), _) => active,
            (_, None, None, Some(busy)) => busy,
            _ => return,
        };
        self.note_load(now, worker, load);
        if self.set.reports_on_probe {
            self.remember(now, worker);
        }
    }

    fn note_load(&mut self, now: Micros, worker: u32, load: f64) {
        let w = &mut self.workers[worker as usize];
        let load = if load > 0.0 { load.min(CHARGE_MOST) } else { 0.0 }; // a NaN counts as none
        w.seen = Some((now, load));
        self.kinds.entry(w.entry.kind).or_default().load.add(load);
    }

    /// Keeps a part of the charge for a class, or for all (the number of classes), and adds some jobs to it.
    fn charge(&mut self, now: Micros, worker: u32, class: usize, keep: f64, jobs: f64) {
        let charge = self.charge_of(now, &self.workers[worker as usize], class) * keep + jobs;
        self.workers[worker as usize].charges[class] = Some((now, charge.min(CHARGE_MOST)));
        let (all, best) = (class == self.best.len(), self.best.iter_mut().enumerate());
        best.for_each(|(c, best)| best.retain(|&b| b != worker || jobs == 0.0 || !(all || c == class)));
    }

    /// A worker that serves a class, or is at work on it: less speaks against it, for that class and for all.
    fn clear(&mut self, now: Micros, worker: u32, class: usize) {
        [class, self.best.len()].into_iter().for_each(|c| self.charge(now, worker, c, 0.5, 0.0));
    }

    /// Remembers a worker that has served or answered; of more than fit, the highest ranked is forgotten.
    fn remember(&mut self, now: Micros, worker: u32) {
        for class in 0..self.best.len() {
            let mut best = take(&mut self.best[class]);
            let open = open_to(&self.set, class + 1, &self.workers[worker as usize].entry);
            if open && !best.contains(&worker) {
                best.push(worker);
            }
            if best.len() > MEMORY {
                self.sort(now, class, &mut best);
                best.truncate(MEMORY);
            }
            self.best[class] = best;
        }
    }

    // ---- final answers ----

    /// The one place that answers: refused where that is harmless by the rules, else failed.
    fn answer(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.owed()) else { return };
        let hold_off_us = self.set.shortest_aim().min(self.set.max_retry_after_us);
        out.push(if self.harmless(job) {
            Action::Refuse { job: id, hold_off_us }
        } else {
            Action::Fail { job: id }
        });
        self.ended(id, out);
    }

    /// Whether the rules bear a refusal, after which the client may ask again.
    fn harmless(&self, job: &Job) -> bool {
        match (self.set.classes[job.class].repeat, self.bound(job)) {
            (Repeat::Free, _) | (_, None) | (Repeat::Keyed { scope: Scope::All, .. }, _) => true,
            (Repeat::Keyed { .. } | Repeat::Once, Some(_)) => false,
        }
    }

    /// The request is over: nothing more is sent for it, and what is out is called back. It stays known until
    /// each of its attempts has ended, for the counts.
    fn ended(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answered = true;
        cancel(&self.set, job, |_| true, out);
        if !job.is_out() {
            self.jobs.remove(&id);
        }
    }
}

/// Placement: whether the worker is among the permitted destinations, whatever state they are in.
fn open_to(set: &Settings, opening: usize, e: &Entry) -> bool {
    let Some(class) = opening.checked_sub(1).map(|c| &set.classes[c]) else { return true };
    class.kind.is_none_or(|k| k == e.kind)
        && class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&e.kind))
        && class.zones.as_ref().is_none_or(|zones| zones.contains(&e.zone))
}

/// Early cancel of the attempts named that are still out.
fn cancel(set: &Settings, job: &mut Job, which: impl Fn(usize) -> bool, out: &mut Vec<Action>) {
    for (i, a) in job.attempts.iter_mut().enumerate() {
        if set.cancel && a.end.is_none() && !a.cancelled && which(i) {
            a.cancelled = true;
            out.push(Action::Cancel { job: job.request.job, attempt: i as u32 });
        }
    }
}
