//! State that this dispatcher shares with the others of its fleet: `[fleet]` in the operators' file.
//!
//! Three threads are connected by bounded rings (`rtrb`): one receives from the socket, one runs the state
//! machine (`streamusher_fleet`), and the event loop blocks on neither. The event loop pushes counts into a
//! ring, acquires quota units by one atomic exchange, and reads the operators' view from an immutable
//! snapshot (`arc-swap`).

mod step_observer;
mod threads;
mod usage_recorder;

use crate::config::operators::FleetConfig;
use crate::interface::Micros;
use crate::runtime::Hub;
use arc_swap::ArcSwap;
use serde_json::json;
use slog::{info, Logger};
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{JoinHandle, Thread};
use step_observer::WorkerObserver;
use streamusher_fleet::node::FleetNode;
use streamusher_fleet::outlier::{Ejection, ZonedWorker};
use streamusher_fleet::quota::{Quota, QuotaTerms};
use streamusher_fleet::settings::FleetSettings;
use streamusher_fleet::status::FleetStatus;
use streamusher_fleet::usage::METRIC_NAMES;
use streamusher_fleet::usage_totals::UsageTotals;
use streamusher_fleet::Incarnation;
use usage_recorder::FleetUsageRecorder;

/// The state shown to operators, a snapshot made by the state thread.
pub(super) struct View {
    /// Number of the last answer included in the totals.
    last_answer: u64,
    status: FleetStatus,
    totals: UsageTotals,
    ejections: Vec<Ejection>,
}

/// The workers that accept work, and their zones.
type Roster = Vec<ZonedWorker>;

/// State shared by the threads.
pub(super) struct Shared {
    /// Whether answers wait until their usage counts are replicated.
    answers_wait: bool,
    /// Number of the last answer whose usage count is replicated.
    replicated_answer: AtomicU64,
    stop: AtomicBool,
    /// Datagrams dropped because the ring from the socket was full.
    dropped_datagrams: AtomicU64,
    view: ArcSwap<View>,
    /// Whether the ejections in the view differ from those that the event loop has applied.
    ejections_changed: AtomicBool,
    roster: ArcSwap<Roster>,
}

/// A running dispatcher's membership in its fleet: the shared state and the threads that maintain it.
pub(crate) struct Fleet {
    shared: Arc<Shared>,
    recorder: Rc<FleetUsageRecorder>,
    period: Micros,
    copies: usize,
    state_thread: Thread,
    threads: Vec<JoinHandle<()>>,
}

/// Starts the fleet's threads and attaches them to the event loop: from now on answers are counted and the
/// tenants' quotas are enforced. `max_operation_time` is the longest time that an operation may be in flight.
pub(crate) fn attach(
    hub: &Rc<Hub>,
    config: FleetConfig,
    name: &str,
    seed: u64,
    max_operation_time: Micros,
) -> Result<Fleet, String> {
    let name = config.name.clone().unwrap_or_else(|| name.to_string());
    if !streamusher_fleet::incarnation::is_valid_name(&name) {
        return Err(format!(
            "fleet.name: 1 to 64 letters, digits, '-', '_' and '.': {name:?}"
        ));
    }
    if !config.limits.is_empty() && !config.seats.contains(&name) {
        return Err(format!(
            "fleet.seats: {name:?} is not among them, and there are limits"
        ));
    }
    let socket = UdpSocket::bind(config.listen)
        .map_err(|e| format!("fleet.listen: {}: {e}", config.listen))?;
    let addr = socket
        .local_addr()
        .map_err(|e| format!("fleet.listen: {e}"))?;
    let terms = Arc::new(QuotaTerms {
        member_names: config.seats.iter().map(|s| Arc::from(s.as_str())).collect(),
        quotas: config
            .limits
            .iter()
            .map(|(tenant, units)| Quota {
                name: Arc::from(tenant.as_str()),
                units: *units,
            })
            .collect(),
        unlent_floor: config.floor,
        lease: config.lease_us,
        max_use: max_operation_time,
        margin: 50_000,
    });
    let clock = hub.clock();
    let allowances: Vec<_> = terms.quotas.iter().map(|_| Arc::default()).collect();
    let settings = FleetSettings {
        local: Incarnation::new(&name, crate::billing::unix_time_us()),
        address: config.advertise.unwrap_or(addr),
        join_addresses: config.join.clone(),
        key: config.key.0,
        seed,
        gossip_interval: config.gossip_interval_us,
        required_copies: config.copies,
        terms: terms.clone(),
        forget_after: config.forget_after_us,
        period: config.period_us,
    };
    info!(hub.log, "joining the fleet"; "name" => &name, "udp" => %addr, "advertised" => %settings.address,
        "life" => settings.local.number, "copies" => config.copies, "limits" => terms.quotas.len());
    let node = FleetNode::new(
        settings,
        allowances.clone(),
        clock(),
        crate::billing::unix_time_us(),
    );
    let view = View {
        last_answer: 0,
        status: node.status(clock()),
        totals: node.totals(),
        ejections: Vec::new(),
    };
    let shared = Arc::new(Shared {
        answers_wait: config.copies > 0,
        replicated_answer: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        dropped_datagrams: AtomicU64::new(0),
        view: ArcSwap::from_pointee(view),
        ejections_changed: AtomicBool::new(false),
        roster: ArcSwap::default(),
    });
    let (update_producer, update_consumer) =
        rtrb::RingBuffer::new(usage_recorder::UPDATE_RING_CAPACITY);
    let (wake_sender, wake_receiver) = async_channel::bounded(1);
    let (threads, state_thread) = threads::start(
        node,
        socket,
        shared.clone(),
        update_consumer,
        wake_sender,
        clock,
        hub.log.clone(),
    )
    .map_err(|e| format!("fleet: no thread for it: {e}"))?;
    let recorder = Rc::new(FleetUsageRecorder::new(
        update_producer,
        state_thread.clone(),
        terms,
        allowances,
        &config,
    ));
    let recorder_id = hub.with(|core, _| {
        if !config.limits.is_empty() {
            core.attach_quotas(recorder.clone());
        }
        core.attach_observer(Rc::new(WorkerObserver::new(
            recorder.clone(),
            shared.clone(),
        )));
        core.attach_recorder(recorder.clone())
    });
    let (task_hub, task_shared, task_recorder) = (hub.clone(), shared.clone(), recorder.clone());
    hub.spawn(async move {
        while wake_receiver.recv().await.is_ok() {
            task_recorder.flush_usage();
            let last_answer = task_shared.replicated_answer.load(Ordering::Acquire);
            task_hub.with(|core, _| core.on_durable(recorder_id, last_answer));
            if task_shared.ejections_changed.swap(false, Ordering::AcqRel) {
                let view = task_shared.view.load();
                let ejections: Vec<(&str, u32)> = view
                    .ejections
                    .iter()
                    .map(|ejection| (&*ejection.worker, ejection.weight))
                    .collect();
                task_hub.with(|core, _| core.peer_observations(&ejections));
            }
        }
    });
    Ok(Fleet {
        shared,
        recorder,
        period: config.period_us,
        copies: config.copies,
        state_thread,
        threads,
    })
}

impl Fleet {
    /// The JSON for the operators' command `fleet`.
    pub(crate) fn status_json(&self) -> String {
        let view = self.shared.view.load();
        let mut status = serde_json::to_value(&view.status).unwrap_or_default();
        status["frames_dropped"] = self.shared.dropped_datagrams.load(Ordering::Relaxed).into();
        status["verdicts"] = serde_json::to_value(&view.ejections).unwrap_or_default();
        status["copies"] = self.copies.into();
        status["uncounted"] = self
            .recorder
            .last_answer()
            .saturating_sub(view.last_answer)
            .into();
        status.to_string()
    }

    /// The JSON for the operators' command `tally`: a row for each period and tenant, equal at all members
    /// with the same digest.
    pub(crate) fn usage_json(&self) -> String {
        let view = self.shared.view.load();
        let rows = view.totals.rows.iter().map(|(key, total)| {
            let mut row = json!({"from": u64::from(key.period) * self.period / 1_000_000, "tenant": &*key.tenant,
                "doubtful": total.doubtful});
            for (name, value) in METRIC_NAMES.iter().zip(total.values.0) {
                row[*name] = value.into();
            }
            row
        });
        let rows: Vec<_> = rows.collect();
        json!({"since_us": view.totals.since, "period_s": self.period / 1_000_000, "digest": view.totals.digest,
            "rows": rows})
        .to_string()
    }

    /// Shuts down the threads: replicates the remaining counts to other members, if there are any, and leaves
    /// the fleet.
    pub(crate) fn shut_down(self, log: &Logger) {
        self.recorder.flush_usage();
        self.shared.stop.store(true, Ordering::Release);
        self.state_thread.unpark();
        for thread in self.threads {
            let _ = thread.join();
        }
        info!(log, "left the fleet"; "uncounted" => self.recorder.last_answer() - self.shared.view.load().last_answer);
    }
}
