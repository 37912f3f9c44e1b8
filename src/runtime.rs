//! What runs the core: one thread, its clock, the batch loop, signals and the orderly end.

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

/// After SIGTERM new connections keep coming for up to 0.4 s; idle ones stay open longer than that.
const STILL_COMING: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, or this if that is longer, and the rest.
const LONGEST: Duration = Duration::from_secs(3);
const THE_REST: Duration = Duration::from_millis(700);
/// Before that all is answered, with time for a slow moment of this machine.
const SPARE: Duration = Duration::from_millis(350);
/// Clients may use the connections that they have until so long before all is to be answered: about the time
/// that most operations take.
const LAST_ONES: Duration = Duration::from_millis(750);
/// Time for the last cancels to reach their workers.
const LAST_CANCELS: Duration = Duration::from_millis(300);

/// A steady clock that reads Unix time in microseconds at its start, so that start times told by discovery
/// fall on it without a second clock.
#[derive(Clone, Copy)]
struct Clock {
    base: Micros,
    start: Instant,
}

/// What fronts, drivers and sources share: the core, the clock, the executor and the log.
pub(crate) struct Hub {
    core: RefCell<Core>,
    wake: (Sender<()>, Receiver<()>),
    clock: Clock,
    /// Weak, as its tasks hold this: at the end they are dropped with it.
    executor: Weak<LocalExecutor<'static>>,
    pub(crate) log: Logger,
    /// Retuned at SIGHUP; retired entries stay, as open operations are of them.
    pub(crate) classes: RefCell<Vec<ClassInfo>>,
    /// The header that names an operation's tenant, where that matters.
    pub(crate) tenant_header: Option<String>,
    /// SIGTERM has come.
    pub(crate) stopping: Cell<bool>,
    /// Front sockets are taken and the batch loop runs.
    serving: Cell<bool>,
    /// The other process that listens at the same address while one replaces the other.
    pub(crate) other: Cell<Option<u32>>,
    /// The clients' connections.
    sockets: RefCell<Option<Rc<net::connections::ClientConnections>>>,
    /// What is shared with other dispatchers, where anything is.
    fleet: RefCell<Option<fleet::Fleet>>,
}

impl Hub {
    pub(crate) fn now(&self) -> Micros {
        self.clock.base + self.clock.start.elapsed().as_micros() as Micros
    }

    /// The same clock, for another thread.
    pub(crate) fn clock(&self) -> impl Fn() -> Micros + Send + Clone + 'static {
        let clock = self.clock;
        move || clock.base + clock.start.elapsed().as_micros() as Micros
    }

    /// What operators are told of the fleet, as one line; none, where this dispatcher is alone.
    pub(crate) fn of_the_fleet(&self, call: &crate::telemetry::Call) -> Option<String> {
        let fleet = self.fleet.borrow();
        fleet.as_ref().map(|f| {
            if *call == crate::telemetry::Call::Tally {
                f.usage_json()
            } else {
                f.status_json()
            }
        })
    }

    /// Has a client's connection that can best be done without closed; false if there is none. Guards against idle
    /// clients that hold all descriptors while discovery, a worker or a cancel needs one.
    pub(crate) fn free_client_connection(&self) -> bool {
        self.sockets.borrow().as_ref().is_some_and(|s| s.free_one())
    }

    /// When this process began, in microseconds of Unix time.
    pub(crate) fn start(&self) -> Micros {
        self.clock.base
    }

    /// Where this process stands, for operators.
    pub(crate) fn readiness(&self) -> Readiness {
        match (self.serving.get(), self.stopping.get()) {
            (_, true) => Readiness::Stopping,
            (true, false) => Readiness::Serving,
            (false, false) => Readiness::Starting,
        }
    }

    /// The figures that operators are told; every class of the settings is there, if only with nothing.
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

    /// Hands something to the core; the batch loop then takes a turn. Not to be called from within one.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Core, Micros) -> R) -> R {
        let done = f(&mut self.core.borrow_mut(), self.now());
        let _ = self.wake.0.try_send(());
        done
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Hands in an operation whose answer is waited for in one place.
    pub(crate) fn submit(self: &Rc<Self>, operation: Operation) -> Result<Pending, SubmitError> {
        let (tx, answer) = bounded(1);
        let front: Rc<dyn Front> = Rc::new(Waiting(tx));
        let job = self.with(|core, now| core.submit(now, operation, front.clone(), 0))?;
        Ok(Pending {
            hub: self.clone(),
            job,
            front,
            answer,
        })
    }

    /// Batches: as soon as something has come in, or a timer is due.
    async fn batches(&self) {
        loop {
            let now = self.now();
            let next = {
                let mut core = self.core.borrow_mut();
                core.turn(now);
                core.next_due()
            };
            let due = async {
                match next {
                    Some(at) => {
                        Timer::after(Duration::from_micros(at.saturating_sub(self.now()))).await;
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

struct Waiting(Sender<(Answer, Receipt)>);

impl Front for Waiting {
    fn answer(&self, _ticket: u64, answer: &Answer, receipt: Receipt) {
        let _ = self.0.try_send((answer.clone(), receipt)); // the receipt of one who has left is dropped
    }
}

/// An operation in hand. Dropping it unanswered tells the core that the client has gone away.
pub(crate) struct Pending {
    hub: Rc<Hub>,
    job: JobId,
    front: Rc<dyn Front>,
    answer: Receiver<(Answer, Receipt)>,
}

impl Pending {
    /// The answer, and the receipt that is to be told when it is written.
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

/// Runs the dispatcher until SIGTERM or SIGINT and all that it has taken is answered.
pub fn run(config: Config, log: Logger) -> Result<(), String> {
    start(config, log, None)
}

/// The same, with a channel for operations from inside the process; it ends when the channel is closed.
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
        Source::Asked
    };
    let list_clock = ListClock::new(source, fleet, within, config.seed, base);
    let site = SiteSettings::new(config.setup);
    let classes = site.class_infos();
    let net = net::Metrics::new(&site, &config.limits);
    // Off the platform workers may not drop repeats of keyed jobs for each other, so the core does.
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
        other: Cell::new(None),
        sockets: RefCell::new(None),
        fleet: RefCell::new(None),
    });
    if let Some(t) = config.tenants {
        hub.with(|core, _| core.set_tenants(t.tenants));
    }
    let billing = config
        .ledger
        .map(|l| billing::attach(&hub, l, &config.name))
        .transpose()?;
    if let Some(f) = config.fleet {
        let longest = hub
            .classes
            .borrow()
            .iter()
            .map(|c| c.deadline_us)
            .max()
            .unwrap_or(0);
        *hub.fleet.borrow_mut() = Some(fleet::attach(&hub, f, &config.name, config.seed, longest)?);
    }
    let main = async {
        // Inside another program signals are that program's own.
        let signals = match calls {
            Some(_) => None,
            None => Some(Signals::new()),
        };
        let signals = signals
            .transpose()
            .map_err(|e| format!("signals cannot be heard: {e}"))?;
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
        info!(log, "discovery's calls"; "source" => ?source, "fleet" => fleet, "ask_within_ms" => within / 1_000,
            "longest_pause_ms" => list_clock.ceiling_us() / 1_000);
        let version = config.initial_list.version;
        let watch =
            net::discovery::Watch::new(hub.clone(), config.discovery, driver, version, list_clock);
        hub.with(|core, _| core.attach_source(watch.clone()));
        crate::core::PoolSource::subscribe(&*watch); // a change may count as told from the first moment
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
        let batches = hub.clone();
        hub.spawn(async move { batches.batches().await });
        hub.serving.set(true);
        match net::handover::announce(addr) {
            Ok(before) => hub.other.set(before),
            Err(e) => warn!(log, "a successor's note could not be left"; "error" => %e),
        }
        net::callback::hear_the_other(&hub);
        let drained = drain(&hub, &sockets, addr, jobs.as_deref());
        match (calls, signals) {
            (Some(calls), _) => {
                crate::handle::serve(&hub, calls).await;
                drained.await;
            }
            (None, Some(mut signals)) => {
                heed(&hub, &mut signals, &watch, false).await;
                // Guards against a signal that ends the program while it still owes answers.
                future::or(drained, heed(&hub, &mut signals, &watch, true)).await;
            }
            (None, None) => {}
        }
        info!(log, "counters"; "counters" => hub.core.borrow().counters.to_json());
        Ok(())
    };
    let done = async_io::block_on(executor.run(main));
    drop(executor); // its tasks' answers that are not written yet are noted as such
    billing.iter().for_each(|b| b.end());
    hub.fleet
        .take()
        .into_iter()
        .for_each(|f| f.shut_down(&hub.log));
    net::handover::close();
    done
}

/// Does what signals ask for, until one of them asks for the stop. Once that is under way it never comes back.
#[allow(clippy::never_loop)]
async fn heed(hub: &Rc<Hub>, signals: &mut Signals, watch: &net::discovery::Watch, stopping: bool) {
    loop {
        match signals.next().await {
            Ok(Signal::Usr1) => {
                info!(hub.log, "counters"; "counters" => hub.core.borrow().counters.to_json())
            }
            Ok(Signal::Hup) => reload(hub, watch),
            Ok(_) if !stopping => return,
            Ok(signal) => info!(hub.log, "stopping already"; "signal" => ?signal),
            Err(e) => warn!(hub.log, "a signal could not be read"; "error" => %e),
        }
    }
}

/// A new configuration: the watch moves, operations and connections are untouched. A file that cannot be used
/// changes nothing.
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

/// Operations still come in, on new connections for a while and on those that clients have for as long as these stay
/// open: until shortly before the end, as a client that loses its connection finds nobody here until the restart.
/// All that is taken is answered before the end.
async fn drain(
    hub: &Rc<Hub>,
    sockets: &net::connections::ClientConnections,
    addr: std::net::SocketAddr,
    jobs: Option<&drmaa::front::JobTable>,
) {
    let longest = hub
        .classes
        .borrow()
        .iter()
        .map(|c| c.deadline_us)
        .max()
        .unwrap_or(0);
    let kill = Duration::from_micros(longest).min(LONGEST) + THE_REST;
    let begun = Instant::now();
    let last_call = kill.saturating_sub(SPARE).max(STILL_COMING);
    let close_at = last_call.saturating_sub(LAST_ONES).max(STILL_COMING);
    let successor = net::handover::successor(addr);
    let replaced = successor.is_some();
    info!(hub.log, "stopping"; "owed" => hub.core.borrow().unanswered(), "replaced" => replaced);
    hub.stopping.set(true);
    if replaced {
        hub.other.set(successor);
        sockets.hand_over(); // new connections reach the successor
    }
    hub.with(|core, now| core.answer_all_by(now.saturating_add(last_call.as_micros() as Micros)));
    while begun.elapsed() < close_at {
        if sockets.clients() == 0
            && begun.elapsed() >= STILL_COMING
            && hub.core.borrow().unanswered() == 0
        {
            break; // nobody is left who could send anything
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    loop {
        sockets.close_idle(false);
        let waited_for = sockets.clients() > 0 || jobs.is_some_and(|j| j.has_pending_waits());
        Timer::after(Duration::from_millis(20)).await;
        // Guards against a client that never reads its answer, or never ends its request.
        let late = begun.elapsed() > last_call;
        if hub.core.borrow().unanswered() == 0 && (late || !waited_for && sockets.clients() == 0) {
            break;
        }
    }
    sockets.close_idle(true);
    Timer::after(LAST_CANCELS).await;
}
