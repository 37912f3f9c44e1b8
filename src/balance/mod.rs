//! Every decision of a dispatcher. Settings, events, actions: `src/interface.rs`; records: `src/state.rs`.
//!
//! The (n, 1) fork-early-cancel system of "Queues with Redundancy" for one dispatcher of many: rank a few
//! workers by own jobs there, fork a repeatable job to the n lowest, cancel the rest at the first start.
//! Every extension is an addition to the count and zero while nothing is wrong; see `docs/design.md`.

mod admission;
mod fanout;
mod learning;
pub mod ramp;
mod ranking;

use crate::interface::*;
use crate::state::{Job, Kind, Mean, Pools, Rates, Worker};
use ramp::Ramp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Workers remembered as best; small beside any fleet, so that dispatchers remember different ones.
const MEMORY: usize = 4;
/// Charge, in jobs, for an outcome that speaks against the worker: more than usual counts differ.
const CHARGE: f64 = 4.0;
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
            open: set
                .classes
                .iter()
                .enumerate()
                .map(|(i, c)| usize::from(c.is_bound()) * (i + 1))
                .collect(),
            fails: vec![Mean::default(); set.classes.len()],
            jobs: BTreeMap::new(),
            just_started: Vec::new(),
            run: set
                .classes
                .iter()
                .map(|c| (Mean::guess(c.latency_target_us), Mean::default()))
                .collect(),
            kinds: BTreeMap::new(),
            work: Mean::guess(set.shortest_aim()),
            prompt_us: 10.0 * set.batch_interval_us as f64,
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
            self.run
                .push((Mean::guess(c.latency_target_us), Mean::default()));
        }
        self.workers
            .iter_mut()
            .for_each(|w| w.charges.resize(self.best.len() + 1, None));
        self.set = set;
        self.pools.fill(&self.workers, &self.open, |open, e| {
            open_to(&self.set, open, e)
        });
    }

    /// Takes one event and adds what is to be done about it to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate {
                complete,
                endpoints: entries,
            } => self.list(now, complete, entries, out),
            Event::DiscoveryFailed if self.set.discovery_must_be_polled => self.ask_within(4, out),
            Event::Arrived(request) => self.arrived(now, request, out),
            Event::Started { job, attempt } => self.started(now, job, attempt),
            // A worker that tells progress is not silent.
            Event::Progress { job, attempt, .. } => {
                let job = self.jobs.get(&job);
                let at =
                    job.and_then(|j| Some((j.attempts.get(attempt as usize)?.worker, j.class)));
                at.into_iter()
                    .for_each(|(w, class)| self.clear(now, w, class));
            }
            Event::StreamBegan { job, attempt } => {
                self.jobs.get_mut(&job).into_iter().for_each(|job| {
                    job.streaming = true;
                    cancel(&self.set, job, |i| i != attempt as usize, out);
                })
            }
            Event::AttemptEnded(outcome) => self.outcome(now, outcome, out),
            Event::ClientGone { job } => self.ended(job, out),
            Event::Timer { token: LIST } => out.push(Action::Subscribe),
            Event::Timer { token } if token % 2 == 1 => self.stalled(now, JobId(token / 2), out),
            Event::Timer { token } => self.answer(JobId(token / 2), out),
            Event::ProbeEnded { worker, report, .. } => self.note_report(now, worker.0, report),
            Event::PeerMessage | Event::DiscoveryFailed | Event::PeerObservation { .. } => {}
            Event::BatchEnd => self.settled(now, out),
        }
    }

    pub(super) fn list(
        &mut self,
        now: Micros,
        complete: bool,
        entries: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        if self.workers.is_empty() && self.set.discovery_must_be_polled {
            self.ask_within(8, out); // a whole tier may have started just now
        }
        if complete {
            self.workers
                .iter_mut()
                .for_each(|w| w.entry.state = EndpointState::Gone);
        }
        for e in entries {
            let id = e.worker.0 as usize;
            if id > self.workers.len() {
                continue; // not numbered in order: the embedder's mistake, nothing can be said of it
            }
            if id == self.workers.len() || self.workers[id].entry.started_at_us != e.started_at_us {
                // A new process: what an old one held or did wrong is void.
                let (life, slow) = self
                    .workers
                    .get(id)
                    .map(|w| (w.life + 1, w.slow))
                    .unwrap_or_default();
                let ramp = Ramp::begin(
                    now,
                    self.present_share(now, &e),
                    self.rng.random(),
                    self.work.mean,
                );
                let charges = vec![None; self.best.len() + 1];
                let new = Worker {
                    life,
                    slow,
                    ramp,
                    charges,
                    ..Worker::default()
                };
                self.workers
                    .splice(id..self.workers.len().min(id + 1), [new]);
            }
            self.workers[id].entry = e;
        }
        self.pools.fill(&self.workers, &self.open, |open, e| {
            open_to(&self.set, open, e)
        });
    }

    /// Asks for the list within this part of the time allowed, at random: hundreds may want it at once.
    pub(super) fn ask_within(&mut self, part: Micros, out: &mut Vec<Action>) {
        let within = self.set.max_discovery_interval_us / part;
        let wait_us = self.rng.random_range(within / 8..=within);
        out.push(Action::Schedule {
            delay_us: wait_us,
            token: LIST,
        });
    }
}

/// Placement: whether the worker is among the permitted destinations, whatever state they are in.
fn open_to(set: &Settings, opening: usize, e: &Endpoint) -> bool {
    let Some(class) = opening.checked_sub(1).map(|c| &set.classes[c]) else {
        return true;
    };
    class.required_kind.is_none_or(|k| k == e.kind)
        && class
            .permitted_kinds
            .as_ref()
            .is_none_or(|kinds| kinds.contains(&e.kind))
        && class
            .permitted_zones
            .as_ref()
            .is_none_or(|zones| zones.contains(&e.zone))
}

/// Early cancel of the attempts named that are still out.
fn cancel(set: &Settings, job: &mut Job, which: impl Fn(usize) -> bool, out: &mut Vec<Action>) {
    for (i, a) in job.attempts.iter_mut().enumerate() {
        if set.may_cancel && a.end.is_none() && !a.cancelled && which(i) {
            a.cancelled = true;
            out.push(Action::Cancel {
                job: job.request.job,
                attempt: i as u32,
            });
        }
    }
}
