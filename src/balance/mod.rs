//! All decisions of a dispatcher. Settings, events, actions: `src/interface/mod.rs`; records: `src/state/`.
//!
//! The (n, 1) fork-early-cancel system of Joshi, Soljanin and Wornell, "Queues with Redundancy: Latency-Cost Analysis",
//! for one dispatcher of many: rank a few workers by the dispatcher's own jobs there, fork a repeatable job to the n
//! lowest, cancel the rest at the first start. Every extension adds to the count of jobs and is zero while nothing is
//! wrong; see `docs/design.md`.

mod admission;
mod fan_out;
mod learning;
mod ranking;
mod slow_start;

pub use slow_start::{SlowStart, SlowStartShare};

use crate::interface::{
    Action, Class, Endpoint, EndpointState, Event, JobId, KindId, Micros, Settings, WorkerId,
};
use crate::state::{
    Job, MachineKind, MovingAverage, PlacementGroup, RecentRates, Timer, Worker, WorkerPools,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Workers remembered as best; small beside any fleet, so that dispatchers remember different ones.
const MAX_REMEMBERED_WORKERS: usize = 4;
/// Penalty, in jobs, for an outcome that is held against the worker: more than usual counts differ.
const FAILURE_PENALTY: f64 = 4.0;

/// The first poll of the endpoint list comes within one over this of the longest interval: a whole tier of dispatchers
/// may have started just now.
const FIRST_POLL_DIVISOR: Micros = 8;
/// A poll that failed is repeated within one over this of the longest interval.
const REPEATED_POLL_DIVISOR: Micros = 4;

/// The decisions of one dispatcher. Each call takes the current time as an argument.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    workers: Vec<Worker>,
    /// By worker.
    slow_starts: Vec<SlowStart>,
    pools: WorkerPools,
    /// Workers remembered as best, by class.
    best_workers: Vec<Vec<WorkerId>>,
    /// By class.
    placements: Vec<PlacementGroup>,
    /// Part of the attempts that fail or are shed in spite of free capacity, by class.
    failure_rates: Vec<MovingAverage>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs of which an attempt started in this batch of events.
    just_started: Vec<JobId>,
    /// By class.
    running_times: Vec<MovingAverage>,
    /// By class, of the logarithm, which a heavy tail does not dominate.
    log_running_times: Vec<MovingAverage>,
    kinds: BTreeMap<KindId, MachineKind>,
    /// Expected work of the attempts sent.
    work: MovingAverage,
    /// Shortest usual delay from sending an attempt to its start notification.
    start_delay_us: f64,
    /// Copies that ran in vain, per job ("Queues with Redundancy", Claim 1: they reduce capacity).
    wasted_copies: MovingAverage,
    rates: RecentRates,
}

impl Balancer {
    /// A dispatcher that knows no worker yet. All its random choices follow from the seed.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut balancer = Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: Vec::new(),
            slow_starts: Vec::new(),
            pools: WorkerPools::default(),
            best_workers: Vec::new(),
            placements: Vec::new(),
            failure_rates: Vec::new(),
            jobs: BTreeMap::new(),
            just_started: Vec::new(),
            running_times: Vec::new(),
            log_running_times: Vec::new(),
            kinds: BTreeMap::new(),
            work: MovingAverage::with_initial(settings.shortest_latency_target_us()),
            start_delay_us: 10.0 * settings.batch_interval_us as f64,
            wasted_copies: MovingAverage::default(),
            rates: RecentRates::new(settings.tenants.len(), now),
            settings,
        };
        balancer.add_classes();
        balancer
    }

    /// Takes new settings; classes past the known ones are new, and those known keep their rules.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.add_classes();
        let classes = self.best_workers.len();
        for worker in &mut self.workers {
            // The last one is for all classes: it stays the last behind those of the new ones.
            let for_all_classes = worker.penalties.pop().flatten();
            worker.penalties.resize(classes, None);
            worker.penalties.push(for_all_classes);
        }
        self.rebuild_pools();
    }

    fn add_classes(&mut self) {
        let known = self.best_workers.len();
        for (index, class) in self.settings.classes.iter().enumerate().skip(known) {
            let placement = if class.is_constrained() {
                PlacementGroup::Class(index)
            } else {
                PlacementGroup::Unconstrained
            };
            let latency_target = MovingAverage::with_initial(class.latency_target_us);
            self.best_workers.push(Vec::new());
            self.placements.push(placement);
            self.failure_rates.push(MovingAverage::default());
            self.running_times.push(latency_target);
            self.log_running_times.push(MovingAverage::default());
        }
    }

    fn rebuild_pools(&mut self) {
        let permits =
            |placement, endpoint: &Endpoint| permits(&self.settings.classes, placement, endpoint);
        self.pools.rebuild(&self.workers, &self.placements, permits);
    }

    /// Takes one event and adds what is to be done about it to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate {
                complete,
                endpoints,
            } => {
                self.on_endpoint_update(now, complete, endpoints, actions);
            }
            Event::DiscoveryFailed => self.schedule_poll(REPEATED_POLL_DIVISOR, actions),
            Event::Arrived(request) => self.on_arrived(now, request, actions),
            Event::Started { job, attempt } => self.on_started(now, job, attempt),
            Event::Progress { job, attempt, .. } => self.on_progress(now, job, attempt),
            Event::StreamBegan { job, attempt } => self.on_stream_began(job, attempt, actions),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, &end, actions),
            Event::ClientGone { job } => self.finish(job, actions),
            Event::Timer { token } => match Timer::from_token(token) {
                Timer::Discovery => actions.push(Action::Subscribe),
                Timer::Recheck(job) => self.on_recheck(now, job, actions),
                Timer::Deadline(job) => self.answer(job, actions),
            },
            Event::ProbeEnded { worker, report, .. } => self.note_report(now, worker, report),
            Event::PeerMessage | Event::PeerObservation { .. } => {}
            Event::BatchEnd => self.on_batch_end(now, actions),
        }
    }

    fn on_endpoint_update(
        &mut self,
        now: Micros,
        complete: bool,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if self.workers.is_empty() {
            self.schedule_poll(FIRST_POLL_DIVISOR, actions);
        }
        if complete {
            for worker in &mut self.workers {
                worker.endpoint.state = EndpointState::Gone;
            }
        }
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint);
        }
        self.rebuild_pools();
    }

    fn update_endpoint(&mut self, now: Micros, endpoint: Endpoint) {
        let index = endpoint.worker.index();
        if index > self.workers.len() {
            return; // not numbered in order: a mistake of the embedder
        }
        let known = self.workers.get(index);
        if known.is_none_or(|known| known.endpoint.started_at_us != endpoint.started_at_us) {
            // A new process: what an old one held or did wrong is void, but its machine is as fast as before.
            let (incarnation, log_slowness) = known
                .map(|former| (former.incarnation + 1, former.log_slowness))
                .unwrap_or_default();
            let capacity_share = self.capacity_share(now, &endpoint);
            let chance = self.rng.random();
            let slow_start = SlowStart::begin(now, capacity_share, chance, self.work.mean);
            let worker = Worker::new(incarnation, log_slowness, self.best_workers.len());
            let replaced = index..self.workers.len().min(index + 1);
            self.workers.splice(replaced.clone(), [worker]);
            self.slow_starts.splice(replaced, [slow_start]);
        }
        self.workers[index].endpoint = endpoint;
    }

    /// Where the endpoint list must be polled, does so within one over `divisor` of the longest interval, at random:
    /// hundreds of dispatchers may want it at once.
    fn schedule_poll(&mut self, divisor: Micros, actions: &mut Vec<Action>) {
        if self.settings.discovery_must_be_polled {
            let span_us = self.settings.max_discovery_interval_us / divisor;
            let delay_us = self.rng.random_range(span_us / 8..=span_us);
            actions.push(Timer::Discovery.after(delay_us));
        }
    }
}

/// Placement: whether the endpoint is among the permitted ones, whatever state it is in.
fn permits(classes: &[Class], placement: PlacementGroup, endpoint: &Endpoint) -> bool {
    match placement {
        PlacementGroup::Unconstrained => true,
        PlacementGroup::Class(class) => classes[class].permits(endpoint),
    }
}
