//! What this dispatcher shares with the others of its fleet: `[fleet]` in the operators' file.
//!
//! Three threads, joined by bounded rings (`rtrb`): one hears the socket, one keeps the state (`streamusher_fleet`), and
//! the event loop, which waits for neither. The loop pushes counts into a ring, spends rights by one atomic exchange,
//! and reads what operators ask for from one immutable view (`arc-swap`).

mod books;
mod threads;
mod witness;

use crate::config::operators::FleetConfig;
use crate::interface::Micros;
use crate::runtime::Hub;
use arc_swap::ArcSwap;
use books::Books;
use serde_json::json;
use slog::{info, Logger};
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{JoinHandle, Thread};
use streamusher_fleet::node::FleetNode;
use streamusher_fleet::outlier::{Ejection, ZonedWorker};
use streamusher_fleet::quota::{Quota, QuotaTerms};
use streamusher_fleet::settings::FleetSettings;
use streamusher_fleet::status::FleetStatus;
use streamusher_fleet::usage::METRIC_NAMES;
use streamusher_fleet::usage_totals::UsageTotals;
use streamusher_fleet::Incarnation;
use witness::Eyes;

/// What operators are shown, made by the state's thread.
pub(super) struct View {
    /// The number of the last answer that it counts.
    upto: u64,
    status: FleetStatus,
    totals: UsageTotals,
    ejections: Vec<Ejection>,
}

/// The workers that take work, and their zones.
type Roster = Vec<ZonedWorker>;

/// What the threads have in common.
pub(super) struct Common {
    /// Answers wait for their counts to be safe.
    waited_for: bool,
    /// The number of the last answer whose count is safe.
    safe: AtomicU64,
    stop: AtomicBool,
    /// Frames that found the ring full.
    dropped: AtomicU64,
    view: ArcSwap<View>,
    /// The verdicts of the view are others than those that the loop has taken.
    judged: AtomicBool,
    roster: ArcSwap<Roster>,
}

/// The fleet's part of a running program.
pub(crate) struct Fleet {
    common: Arc<Common>,
    books: Rc<Books>,
    period: Micros,
    copies: usize,
    state: Thread,
    threads: Vec<JoinHandle<()>>,
}

/// Attaches it: answers are counted from now on, and the tenants' quotas hold. `longest` is the longest time that an
/// operation may be in hand.
pub(crate) fn attach(
    hub: &Rc<Hub>,
    config: FleetConfig,
    name: &str,
    seed: u64,
    longest: Micros,
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
            .map(|(t, n)| Quota {
                name: Arc::from(t.as_str()),
                units: *n,
            })
            .collect(),
        unlent_floor: config.floor,
        lease: config.lease_us,
        max_use: longest,
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
        gossip_interval: config.gossip_us,
        required_copies: config.copies,
        terms: terms.clone(),
        forget_after: config.forget_us,
        period: config.period_us,
    };
    info!(hub.log, "the fleet"; "name" => &name, "udp" => %addr, "advertised" => %settings.address,
        "life" => settings.local.number, "copies" => config.copies, "limits" => terms.quotas.len());
    let node = FleetNode::new(
        settings,
        allowances.clone(),
        clock(),
        crate::billing::unix_time_us(),
    );
    let view = View {
        upto: 0,
        status: node.status(clock()),
        totals: node.totals(),
        ejections: Vec::new(),
    };
    let common = Arc::new(Common {
        waited_for: config.copies > 0,
        safe: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        dropped: AtomicU64::new(0),
        view: ArcSwap::from_pointee(view),
        judged: AtomicBool::new(false),
        roster: ArcSwap::default(),
    });
    let (notes, noted) = rtrb::RingBuffer::new(books::NOTES);
    let (wake, woken) = async_channel::bounded(1);
    let (threads, state) = threads::start(
        node,
        socket,
        common.clone(),
        noted,
        wake,
        clock,
        hub.log.clone(),
    )
    .map_err(|e| format!("fleet: no thread for it: {e}"))?;
    let books = Rc::new(Books::new(notes, state.clone(), terms, allowances, &config));
    let keeper = hub.with(|core, _| {
        if !config.limits.is_empty() {
            core.attach_quotas(books.clone());
        }
        core.attach_observer(Rc::new(Eyes::new(books.clone(), common.clone())));
        core.attach_recorder(books.clone())
    });
    let (heard, safe, again) = (hub.clone(), common.clone(), books.clone());
    hub.spawn(async move {
        while woken.recv().await.is_ok() {
            again.push();
            let upto = safe.safe.load(Ordering::Acquire);
            heard.with(|core, _| core.on_durable(keeper, upto));
            if safe.judged.swap(false, Ordering::AcqRel) {
                let view = safe.view.load();
                let ejections: Vec<(&str, u32)> = view
                    .ejections
                    .iter()
                    .map(|ejection| (&*ejection.worker, ejection.weight))
                    .collect();
                heard.with(|core, _| core.peer_observations(&ejections));
            }
        }
    });
    Ok(Fleet {
        common,
        books,
        period: config.period_us,
        copies: config.copies,
        state,
        threads,
    })
}

impl Fleet {
    /// What operators are told by `fleet`.
    pub(crate) fn status_json(&self) -> String {
        let view = self.common.view.load();
        let mut show = serde_json::to_value(&view.status).unwrap_or_default();
        show["frames_dropped"] = self.common.dropped.load(Ordering::Relaxed).into();
        show["verdicts"] = serde_json::to_value(&view.ejections).unwrap_or_default();
        show["copies"] = self.copies.into();
        show["uncounted"] = self.books.last().saturating_sub(view.upto).into();
        show.to_string()
    }

    /// What operators are told by `tally`: a row for each period and tenant, the same at each member that has the same
    /// digest.
    pub(crate) fn usage_json(&self) -> String {
        let view = self.common.view.load();
        let rows = view.totals.rows.iter().map(|(key, total)| {
            let mut row = json!({"from": u64::from(key.period) * self.period / 1_000_000, "tenant": &*key.tenant,
                "doubtful": total.doubtful});
            for (name, n) in METRIC_NAMES.iter().zip(total.values.0) {
                row[*name] = n.into();
            }
            row
        });
        let rows: Vec<_> = rows.collect();
        json!({"since_us": view.totals.since, "period_s": self.period / 1_000_000, "digest": view.totals.digest,
            "rows": rows})
        .to_string()
    }

    /// The program ends: what was counted is handed over to others, if there are any, and the fleet is told good-bye.
    pub(crate) fn shut_down(self, log: &Logger) {
        self.books.push();
        self.common.stop.store(true, Ordering::Release);
        self.state.unpark();
        for thread in self.threads {
            let _ = thread.join();
        }
        info!(log, "the fleet is left"; "uncounted" => self.books.last() - self.common.view.load().upto);
    }
}
