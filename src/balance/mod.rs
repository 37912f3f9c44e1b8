//! All decisions of a dispatcher. Settings, events, actions: `src/interface/mod.rs`; records: `src/state/`.
//!
//! The (n, 1) fork-early-cancel system of Joshi, Soljanin and Wornell, "Queues with Redundancy: Latency-Cost
//! Analysis", for one of many dispatchers: ranks a few workers by the dispatcher's own jobs there, forks a repeatable
//! job to the n lowest, cancels the rest at the first start. Every extension adds a term to the job count that is
//! zero in normal operation; see `docs/design.md`.

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

/// Maximum best workers per class; small relative to any fleet, so that dispatchers prefer different ones.
const MAX_BEST_WORKERS: usize = 4;
/// Penalty, in jobs, for an outcome attributed to the worker: larger than usual differences of job counts.
const FAILURE_PENALTY: f64 = 4.0;

/// The first poll of the endpoint list comes within the longest interval divided by this, as a whole tier of
/// dispatchers may have just started.
const FIRST_POLL_DIVISOR: Micros = 8;
/// A failed poll is repeated within the longest interval divided by this.
const REPEATED_POLL_DIVISOR: Micros = 4;

/// The decision module of one dispatcher. The caller passes the current time to each call.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    workers: Vec<Worker>,
    /// Slow-start credit, by worker.
    slow_starts: Vec<SlowStart>,
    pools: WorkerPools,
    /// Workers with the lowest known ranks, by class.
    best_workers: Vec<Vec<WorkerId>>,
    /// Placement group, by class.
    placements: Vec<PlacementGroup>,
    /// Share of the attempts that fail, or are shed despite free capacity, by class.
    failure_rates: Vec<MovingAverage>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with an attempt that started in this batch of events.
    started_in_batch: Vec<JobId>,
    /// Running time in microseconds, by class.
    running_times: Vec<MovingAverage>,
    /// Logarithm of the running time, which a heavy tail does not dominate, by class.
    log_running_times: Vec<MovingAverage>,
    kinds: BTreeMap<KindId, MachineKind>,
    /// Expected work of the attempts sent, in microseconds.
    work: MovingAverage,
    /// Shortest typical delay from sending an attempt to its start notification, in microseconds.
    start_delay_us: f64,
    /// Copies that ran uselessly, per job ("Queues with Redundancy", Claim 1: they reduce capacity).
    wasted_copies: MovingAverage,
    rates: RecentRates,
}

impl Balancer {
    /// A dispatcher without workers. The seed determines all its random choices.
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
            started_in_batch: Vec::new(),
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

    /// Replaces the settings. Classes after the known ones are added; known classes keep their rules.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.add_classes();
        let classes = self.best_workers.len();
        for worker in &mut self.workers {
            // The last penalty is for all classes and stays last, after those of the new classes.
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

    /// Handles one event and appends the resulting actions to `actions`.
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
            return; // not numbered in order: an embedder error
        }
        let known = self.workers.get(index);
        if known.is_none_or(|known| known.endpoint.started_at_us != endpoint.started_at_us) {
            // A new process: the jobs and penalties of the old one are void, but its machine is as fast as before.
            let (incarnation, log_slowness) = known
                .map(|former| (former.incarnation + 1, former.log_slowness))
                .unwrap_or_default();
            let capacity_share = self.capacity_share(now, &endpoint);
            let debt = self.rng.random();
            let slow_start = SlowStart::begin(now, capacity_share, debt, self.work.mean);
            let worker = Worker::new(incarnation, log_slowness, self.best_workers.len());
            let replaced = index..self.workers.len().min(index + 1);
            self.workers.splice(replaced.clone(), [worker]);
            self.slow_starts.splice(replaced, [slow_start]);
        }
        self.workers[index].endpoint = endpoint;
    }

    /// Where the endpoint list must be polled, schedules a poll at a random time within the longest interval divided
    /// by `divisor`: hundreds of dispatchers may poll at once.
    fn schedule_poll(&mut self, divisor: Micros, actions: &mut Vec<Action>) {
        if self.settings.discovery_must_be_polled {
            let span_us = self.settings.max_discovery_interval_us / divisor;
            let delay_us = self.rng.random_range(span_us / 8..=span_us);
            actions.push(Timer::Discovery.after(delay_us));
        }
    }
}

/// Whether placement permits the endpoint, whatever its state.
fn permits(classes: &[Class], placement: PlacementGroup, endpoint: &Endpoint) -> bool {
    match placement {
        PlacementGroup::Unconstrained => true,
        PlacementGroup::Class(class) => classes[class].permits(endpoint),
    }
}
