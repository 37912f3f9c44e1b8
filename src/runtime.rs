//! Runs the core in one thread: clock, batch loop, signal handling and graceful shutdown.

use crate::config::{Config, Reload};
use crate::core::{Answer, Core, Front, Operation, PoolMember, Receipt, SubmitError};
use crate::interface::{JobId, Micros};
use crate::list_clock::{ListClock, Source};
use crate::net::request::ClassInfo;
use crate::settings::SiteSettings;
use crate::signals::{Signal, Signals};
use crate::telemetry::{Metrics, Readiness};
use crate::{billing, drmaa, fleet, net};
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time for which new connections may arrive after SIGTERM: they do so for up to 0.4 s, and idle ones stay
/// open longer than that.
const CONNECTION_ARRIVAL_TIME: Duration = Duration::from_millis(600);
/// SIGKILL follows SIGTERM no sooner than after the longest deadline of a class, limited to this time, plus
/// `KILL_MARGIN`.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// All operations must be answered this long before the SIGKILL, which allows for a short stall of the
/// machine.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Clients may use their connections until this long before all operations must be answered: about the time
/// that most operations take.
const CONNECTION_CLOSE_MARGIN: Duration = Duration::from_millis(750);
/// Time for the last cancels to reach their workers.
const CANCEL_FLUSH_TIME: Duration = Duration::from_millis(300);

/// A monotonic clock that starts at the Unix time in microseconds, so that the start times in discovery's
/// list are on the same scale and no second clock is needed.
#[derive(Clone, Copy)]
struct Clock {
    base: Micros,
    start: Instant,
}

/// State shared by front ends, drivers and sources: the core, the clock, the executor and the log.
pub(crate) struct Hub {
    core: RefCell<Core>,
    wake: (Sender<()>, Receiver<()>),
    clock: Clock,
    /// Weak because the executor's tasks hold the hub: they are dropped together with the executor at the
    /// end.
    executor: Weak<LocalExecutor<'static>>,
    pub(crate) log: Logger,
    /// Replaced by a reload on SIGHUP. Retired classes stay in the list, as open operations refer to them.
    pub(crate) classes: RefCell<Vec<ClassInfo>>,
    /// Name of the header that identifies an operation's tenant; `None` if there are no configured tenants.
    pub(crate) tenant_header: Option<String>,
    /// Whether SIGTERM has arrived.
    pub(crate) stopping: Cell<bool>,
    /// Whether the listener is open and the batch loop runs.
    serving: Cell<bool>,
    /// Pid of the other process that listens at the same address while one replaces the other.
    pub(crate) other_process: Cell<Option<u32>>,
    /// The clients' connections; `None` until the listener is open.
    sockets: RefCell<Option<Rc<net::connections::ClientConnections>>>,
    /// State shared with other dispatchers; `None` if none is configured.
    fleet: RefCell<Option<fleet::Fleet>>,
}

impl Hub {
    pub(crate) fn now(&self) -> Micros {
        self.clock.base + self.clock.start.elapsed().as_micros() as Micros
    }

    /// A copy of the clock for another thread.
    pub(crate) fn clock(&self) -> impl Fn() -> Micros + Send + Clone + 'static {
        let clock = self.clock;
        move || clock.base + clock.start.elapsed().as_micros() as Micros
    }

    /// Status or usage of the fleet for operators, as one line; `None` if this dispatcher is not part of a
    /// fleet.
    pub(crate) fn fleet_report(&self, call: &crate::telemetry::Call) -> Option<String> {
        let fleet = self.fleet.borrow();
        fleet.as_ref().map(|f| {
            if *call == crate::telemetry::Call::Tally {
                f.usage_json()
            } else {
                f.status_json()
            }
        })
    }

    /// Closes the least needed client connection; false if none can be closed. Guards against idle clients
    /// that hold all descriptors while discovery, a worker or a cancel needs one.
    pub(crate) fn free_client_connection(&self) -> bool {
        self.sockets
            .borrow()
            .as_ref()
            .is_some_and(|s| s.evict_one())
    }

    /// Start time of this process in microseconds of Unix time.
    pub(crate) fn start(&self) -> Micros {
        self.clock.base
    }

    /// State of this process as reported to operators.
    pub(crate) fn readiness(&self) -> Readiness {
        match (self.serving.get(), self.stopping.get()) {
            (_, true) => Readiness::Stopping,
            (true, false) => Readiness::Serving,
            (false, false) => Readiness::Starting,
        }
    }

    /// Metrics for operators. Every class of the settings is included, even with zero counts.
    pub(crate) fn figures(&self) -> Metrics {
        let core = self.core.borrow();
        let mut responses = core.counters.classes.clone();
        for class in self.classes.borrow().iter().filter(|c| !c.retired) {
            responses.entry(class.name.clone()).or_default();
        }
        let (pool_size, pool_ejected) = core.worker_counts();
        Metrics {
            tries: responses.values().map(|r| r.tries).sum(),
            responses,
            active: core.unanswered(),
            pool_size,
            pool_ejected,
            config_applied: core.counters.reloads,
            config_rejected: core.counters.reloads_refused,
        }
    }

    /// Runs `action` on the core and wakes the batch loop afterwards. Must not be called from within a batch.
    pub(crate) fn with<R>(&self, action: impl FnOnce(&mut Core, Micros) -> R) -> R {
        let done = action(&mut self.core.borrow_mut(), self.now());
        let _ = self.wake.0.try_send(());
        done
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Submits an operation whose answer is awaited by one caller.
    pub(crate) fn submit(self: &Rc<Self>, operation: Operation) -> Result<Pending, SubmitError> {
        let (tx, answer) = bounded(1);
        let front: Rc<dyn Front> = Rc::new(AnswerChannel(tx));
        let job = self.with(|core, now| core.submit(now, operation, front.clone(), 0))?;
        Ok(Pending {
            hub: self.clone(),
            job,
            front,
            answer,
        })
    }

    /// Runs the core in batches: as soon as input has arrived or a timer has expired.
    async fn run_batches(&self) {
        loop {
            let now = self.now();
            let next = {
                let mut core = self.core.borrow_mut();
                core.turn(now);
                core.next_due()
            };
            let due = async {
                match next {
                    Some(due_at) => {
                        Timer::after(Duration::from_micros(due_at.saturating_sub(self.now())))
                            .await;
                    }
                    None => future::pending().await,
                }
            };
            future::or(
                async {
                    let _ = self.wake.1.recv().await;
                },
                due,
            )
            .await;
        }
    }
}

struct AnswerChannel(Sender<(Answer, Receipt)>);

impl Front for AnswerChannel {
    fn answer(&self, _ticket: u64, answer: &Answer, receipt: Receipt) {
        let _ = self.0.try_send((answer.clone(), receipt)); // the receipt is dropped if the caller no longer waits
    }
}

/// A submitted operation. Dropping it before the answer reports to the core that the client has disconnected.
pub(crate) struct Pending {
    hub: Rc<Hub>,
    job: JobId,
    front: Rc<dyn Front>,
    answer: Receiver<(Answer, Receipt)>,
}

impl Pending {
    /// The answer, and the receipt that must be notified when the answer has been written.
    pub(crate) async fn answer(&self) -> (Answer, Receipt) {
        self.answer
            .recv()
            .await
            .unwrap_or((Answer::Failed { late: false }, Receipt::default()))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.hub
            .with(|core, now| core.client_disconnected(now, self.job, &self.front, 0));
    }
}

/// Runs the dispatcher until SIGTERM or SIGINT, and then until all accepted operations are answered.
pub fn run(config: Config, log: Logger) -> Result<(), String> {
    start(config, log, None)
}

/// Runs the dispatcher like [`run`]. With a channel for operations from inside the process it runs until that
/// channel is closed.
pub(crate) fn start(
    config: Config,
    log: Logger,
    calls: Option<Receiver<crate::handle::Call>>,
) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let base = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1 << 40, |d| d.as_micros() as Micros);
    let clock = Clock {
        base,
        start: Instant::now(),
    };
    let (fleet, within) = (config.setup.balancers, config.setup.rules.ask_within_us);
    let source = if config.setup.discovery == "pushed" {
        Source::Pushed
    } else {
        Source::OnRequest
    };
    let list_clock = ListClock::new(source, fleet, within, config.seed, base);
    let site = SiteSettings::new(config.setup);
    let classes = site.class_infos();
    let net = net::WorkerConnectionSettings::new(&site, &config.limits);
    // Outside the platform, workers may not deduplicate keyed jobs for each other, so the core does.
    let joins_repeats = config.drmaa.is_some();
    let max_open = site.max_open;
    let core = Core::new(site, max_open, joins_repeats, config.seed, base);
    let hub = Rc::new(Hub {
        core: RefCell::new(core),
        wake: bounded(1),
        clock,
        executor: Rc::downgrade(&executor),
        log: log.clone(),
        classes: RefCell::new(classes),
        tenant_header: config.tenants.as_ref().map(|t| t.header.clone()),
        stopping: Cell::new(false),
        serving: Cell::new(false),
        other_process: Cell::new(None),
        sockets: RefCell::new(None),
        fleet: RefCell::new(None),
    });
    if let Some(tenants) = config.tenants {
        hub.with(|core, _| core.set_tenants(tenants.tenants));
    }
    let billing = config
        .ledger
        .map(|l| billing::attach(&hub, l, &config.name))
        .transpose()?;
    if let Some(fleet_config) = config.fleet {
        let longest_deadline_us = hub
            .classes
            .borrow()
            .iter()
            .map(|c| c.deadline_us)
            .max()
            .unwrap_or(0);
        *hub.fleet.borrow_mut() = Some(fleet::attach(
            &hub,
            fleet_config,
            &config.name,
            config.seed,
            longest_deadline_us,
        )?);
    }
    let main = async {
        // Inside another program, signals belong to that program.
        let signals = match calls {
            Some(_) => None,
            None => Some(Signals::new()),
        };
        let signals = signals
            .transpose()
            .map_err(|e| format!("cannot install signal handlers: {e}"))?;
        let pool = net::pool::Pool::new(hub.clone(), net);
        let driver = hub.with(|core, _| {
            core.attach_driver(net::route::HttpDriver::new(hub.clone(), pool.clone()))
        });
        let known: Vec<PoolMember> = config
            .initial_list
            .servers
            .iter()
            .map(|s| s.member())
            .collect();
        hub.with(|core, _| core.pool_config(driver, true, known));
        info!(log, "discovery call timing"; "source" => ?source, "fleet" => fleet, "ask_within_ms" => within / 1_000,
            "longest_pause_ms" => list_clock.ceiling_us() / 1_000);
        let version = config.initial_list.version;
        let watch =
            net::discovery::Watch::new(hub.clone(), config.discovery, driver, version, list_clock);
        hub.with(|core, _| core.attach_source(watch.clone()));
        crate::core::PoolSource::subscribe(&*watch); // a change may be effective from the start of the process on
        let jobs = match config.drmaa {
            Some(d) => drmaa::attach(&hub, d, pool, config.limits.sessions())?,
            None => None,
        };
        let (sockets, addr) = net::front::listen(&hub, config.listen, &config.limits)
            .map_err(|e| format!("listen: {}: {e}", config.listen))?;
        *hub.sockets.borrow_mut() = Some(sockets.clone());
        info!(log, "serving"; "name" => &config.name, "listen" => %addr);
        if let Some(mgmt) = config.mgmt {
            let mgmt = net::mgmt::listen(&hub, mgmt).map_err(|e| format!("mgmt: {mgmt}: {e}"))?;
            info!(log, "operators' calls"; "mgmt" => %mgmt);
        }
        let batch_hub = hub.clone();
        hub.spawn(async move { batch_hub.run_batches().await });
        hub.serving.set(true);
        match net::handover::announce(addr) {
            Ok(before) => hub.other_process.set(before),
            Err(e) => warn!(log, "cannot announce this process to its successor"; "error" => %e),
        }
        net::callback::poll_mailbox(&hub);
        let drained = drain(&hub, &sockets, addr, jobs.as_deref());
        match (calls, signals) {
            (Some(calls), _) => {
                crate::handle::serve(&hub, calls).await;
                drained.await;
            }
            (None, Some(mut signals)) => {
                handle_signals(&hub, &mut signals, &watch, false).await;
                // Guards against a signal that would end the program before all answers are sent.
                future::or(drained, handle_signals(&hub, &mut signals, &watch, true)).await;
            }
            (None, None) => {}
        }
        info!(log, "counters"; "counters" => hub.core.borrow().counters.to_json());
        Ok(())
    };
    let done = async_io::block_on(executor.run(main));
    drop(executor); // answers that its tasks have not written yet are recorded as such
    billing.iter().for_each(|b| b.shutdown());
    hub.fleet
        .take()
        .into_iter()
        .for_each(|f| f.shut_down(&hub.log));
    net::handover::close();
    done
}

/// Handles signals until one of them requests the stop. Never returns once `stopping` is set.
#[allow(clippy::never_loop)]
async fn handle_signals(
    hub: &Rc<Hub>,
    signals: &mut Signals,
    watch: &net::discovery::Watch,
    stopping: bool,
) {
    loop {
        match signals.next().await {
            Ok(Signal::Usr1) => {
                info!(hub.log, "counters"; "counters" => hub.core.borrow().counters.to_json())
            }
            Ok(Signal::Hup) => reload(hub, watch),
            Ok(_) if !stopping => return,
            Ok(signal) => info!(hub.log, "stopping already"; "signal" => ?signal),
            Err(e) => warn!(hub.log, "cannot read a signal"; "error" => %e),
        }
    }
}

/// Applies a new configuration: the watch moves, operations and connections are not affected. A file that
/// cannot be used changes nothing.
fn reload(hub: &Rc<Hub>, watch: &net::discovery::Watch) {
    match Reload::load(|name| std::env::var(name).ok()) {
        Ok(new) => match hub.with(|core, _| core.update_settings(new.setup)) {
            Ok(added) => {
                let discovery = new.discovery.map_or("none".into(), |d| d.to_string());
                info!(hub.log, "new configuration"; "discovery" => discovery, "classes renumbered" => added);
                *hub.classes.borrow_mut() = hub.core.borrow().class_infos();
                hub.with(|core, _| core.counters.reloads += 1);
                new.discovery.into_iter().for_each(|d| watch.move_to(d));
            }
            Err(why) => {
                warn!(hub.log, "the new configuration cannot be used; the old one stays"; "why" => why);
                hub.with(|core, _| core.counters.reloads_refused += 1);
            }
        },
        Err(why) => {
            warn!(hub.log, "the new configuration cannot be used; the old one stays"; "why" => why);
            hub.with(|core, _| core.counters.reloads_refused += 1);
        }
    }
}

/// Shuts down gracefully. Operations are still accepted: on new connections for a while, and on existing
/// connections until shortly before the end, as a client that loses its connection finds no server here until
/// the restart. All accepted operations are answered before the end.
async fn drain(
    hub: &Rc<Hub>,
    sockets: &net::connections::ClientConnections,
    addr: std::net::SocketAddr,
    jobs: Option<&drmaa::front::JobTable>,
) {
    let longest_deadline_us = hub
        .classes
        .borrow()
        .iter()
        .map(|c| c.deadline_us)
        .max()
        .unwrap_or(0);
    let kill_after = Duration::from_micros(longest_deadline_us).min(MAX_DEADLINE) + KILL_MARGIN;
    let started_at = Instant::now();
    let answer_by = kill_after
        .saturating_sub(ANSWER_MARGIN)
        .max(CONNECTION_ARRIVAL_TIME);
    let close_at = answer_by
        .saturating_sub(CONNECTION_CLOSE_MARGIN)
        .max(CONNECTION_ARRIVAL_TIME);
    let successor = net::handover::successor(addr);
    let replaced = successor.is_some();
    info!(hub.log, "stopping"; "owed" => hub.core.borrow().unanswered(), "replaced" => replaced);
    hub.stopping.set(true);
    if replaced {
        hub.other_process.set(successor);
        sockets.hand_over(); // new connections reach the successor
    }
    hub.with(|core, now| core.answer_all_by(now.saturating_add(answer_by.as_micros() as Micros)));
    while started_at.elapsed() < close_at {
        if sockets.clients() == 0
            && started_at.elapsed() >= CONNECTION_ARRIVAL_TIME
            && hub.core.borrow().unanswered() == 0
        {
            break; // no client is left that could send anything
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    loop {
        sockets.close_idle(false);
        let has_open_work = sockets.clients() > 0 || jobs.is_some_and(|j| j.has_pending_waits());
        Timer::after(Duration::from_millis(20)).await;
        // Guards against a client that never reads its response or never completes its request.
        let is_late = started_at.elapsed() > answer_by;
        if hub.core.borrow().unanswered() == 0
            && (is_late || !has_open_work && sockets.clients() == 0)
        {
            break;
        }
    }
    sockets.close_idle(true);
    Timer::after(CANCEL_FLUSH_TIME).await;
}
