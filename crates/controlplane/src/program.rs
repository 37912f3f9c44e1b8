//! One control process from its start to its end.

use crate::disk::{self, Disk, DiskEvent};
use crate::driver::Driver;
use crate::machine::Machine;
use crate::parameters::Places;
use crate::peers::Peers;
use crate::{internal, operators, parameters};
use anyhow::{anyhow, Context, Result};
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_coordination::{Coordinator, Input};
use streamusher_fair_share as share_debt;
use streamusher_protocol::Millis;
use streamusher_runtime::http::{Server, ServerHandle, ServerLimits};
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::signals::{Signal, Signals};
use streamusher_runtime::{clock, runtime};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// How often both state machines are told the time: a lease has forty such steps, and each one costs a wake-up.
const TICK: Duration = Duration::from_millis(20);
/// Tries to bind an address, and the pause between two.
const BIND_TRIES: u32 = 20;
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// How long handing over may take after SIGTERM, at most.
const LONGEST_LEAVE_MS: Millis = 3_000;
/// After handing over, answers that are on their way get this long.
const CLOSING: Duration = Duration::from_millis(300);
/// Descriptors for the store, the other core machines and the rest of the process.
const OWN_DESCRIPTORS: u64 = 300;
/// Connections of operators and redirected workers at once.
const MOST_OPERATORS: usize = 256;
/// A whole copy of the state comes in parts; a configuration with thousands of routes in one piece.
const MOST_BODY: usize = 16 << 20;

/// Runs the process until a signal ends it.
///
/// # Errors
/// It can't start, or its store was lost.
pub fn run(
    settings: ProcessSettings,
    share_debt: Option<share_debt::FairShareSettings>,
) -> Result<()> {
    runtime::block_on(run_with_signals(settings, share_debt))
        .context("the event loop can't be made")?
}

async fn run_with_signals(
    settings: ProcessSettings,
    share_debt: Option<share_debt::FairShareSettings>,
) -> Result<()> {
    let mut signals = Signals::new().context("signals can't be heard")?;
    let process = Process::start(&settings, share_debt).await?;
    let (heard, orders) = mpsc::unbounded_channel();
    spawn_local(async move {
        while let Ok(signal) = signals.next().await {
            if heard.send(signal).is_err() {
                return;
            }
        }
    });
    process.run(orders).await
}

fn start_machine(
    settings: &ProcessSettings,
    places: &Places,
    share_debt: Option<share_debt::FairShareSettings>,
) -> Result<(Machine, mpsc::UnboundedReceiver<DiskEvent>)> {
    let (store, image) = disk::open_at_start(&places.data_dir)?;
    let (events, disk_events) = mpsc::unbounded_channel();
    let data_dir = places.data_dir.clone();
    let disk = Disk::start(data_dir, store, events).context("the disk's thread can't be made")?;
    let random_seed = parameters::random_seed();
    let core = parameters::coordination(settings, places.core_address(), random_seed);
    let coordinator = Coordinator::new(core, image, clock::steady());
    let driver = Driver::new(
        parameters::scheduler(settings, random_seed, share_debt),
        coordinator,
    );
    let peers = Peers::new(places.core_address().internal);
    Ok((Machine::new(driver, peers, disk), disk_events))
}

async fn start_servers(
    machine: &Machine,
    places: &Places,
    most_connections: usize,
) -> Result<Vec<Running>> {
    let inside = bind(places.internal, most_connections).await?;
    let outside = bind(places.control, MOST_OPERATORS).await?;
    let me = places.core_address().control;
    let handles = [inside.handle(), outside.handle()];
    let to_internal = machine.clone();
    let inside = spawn_local(inside.run(move |call| internal::answer(to_internal.clone(), call)));
    let to_control = machine.clone();
    let outside = spawn_local(
        outside.run(move |call| operators::answer(to_control.clone(), me.clone(), call)),
    );
    Ok(handles
        .into_iter()
        .zip([inside, outside])
        .map(|(handle, task)| Running { handle, task })
        .collect())
}

/// Listens at `address`; an earlier process may not be gone yet.
async fn bind(address: SocketAddr, max_connections: usize) -> Result<Server> {
    let limits = ServerLimits {
        max_body: MOST_BODY,
        max_connections,
        ..Default::default()
    };
    for _ in 1..BIND_TRIES {
        if let Ok(server) = Server::bind(address, limits.clone()) {
            return Ok(server);
        }
        sleep(BIND_PAUSE).await;
    }
    Server::bind(address, limits).with_context(|| format!("listening at {address}: free the port"))
}

/// A server at work.
struct Running {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// A control process at work, within a `LocalSet`.
pub struct Process {
    machine: Machine,
    servers: Vec<Running>,
    longest_leave_ms: Millis,
    disk_events: mpsc::UnboundedReceiver<DiskEvent>,
}

impl Process {
    /// Opens the store and listens.
    ///
    /// # Errors
    /// A setting is missing, a newer program wrote the store, or an address can't be bound.
    pub async fn start(
        settings: &ProcessSettings,
        share_debt: Option<share_debt::FairShareSettings>,
    ) -> Result<Process> {
        let places = parameters::places(settings)?;
        let (machine, disk_events) = start_machine(settings, &places, share_debt)?;
        let most_connections = settings
            .limits
            .connections(OWN_DESCRIPTORS + MOST_OPERATORS as u64);
        let servers = start_servers(&machine, &places, most_connections).await?;
        let longest_leave_ms = LONGEST_LEAVE_MS.min(settings.bounds.grace_ms() / 2);
        Ok(Process {
            machine,
            servers,
            longest_leave_ms,
            disk_events,
        })
    }

    /// Works until a signal ends it, and hands over before.
    ///
    /// # Errors
    /// The store was lost.
    pub async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Signal>) -> Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leave_until: Option<Millis> = None;
        loop {
            tokio::select! {
                biased;
                event = self.disk_events.recv() => self.on_disk(event)?,
                Some(signal) = orders.recv() => match signal {
                    Signal::Reload => reload(&self.machine),
                    Signal::Terminate | Signal::Interrupt => leave_until = leave_until.or_else(|| Some(self.leave())),
                },
                _ = ticks.tick() => self.machine.tick(),
            }
            if leave_until.is_some_and(|until| self.machine.may_leave() || clock::steady() >= until)
            {
                self.close().await;
                return Ok(());
            }
        }
    }

    fn on_disk(&self, event: Option<DiskEvent>) -> Result<()> {
        match event {
            Some(DiskEvent::Persisted { ticket }) => {
                self.machine.input(Input::Persisted { ticket })
            }
            Some(DiskEvent::Failed { ticket }) => {
                self.machine.input(Input::PersistFailed { ticket })
            }
            Some(DiskEvent::Lost { error }) => {
                return Err(error).context("the store was lost: start anew")
            }
            None => return Err(anyhow!("the disk's thread has ended: start anew")),
        }
        Ok(())
    }

    /// Hands over; gives the time at which the process ends at the latest.
    fn leave(&self) -> Millis {
        log::info!("asked to end: handing over");
        self.machine.input(Input::Leave);
        for server in &self.servers {
            server.handle.leave();
        }
        clock::steady() + self.longest_leave_ms
    }

    async fn close(self) {
        for server in &self.servers {
            server.handle.close();
        }
        let all_closed = async {
            for server in self.servers {
                // A server's task that failed has nothing left to answer.
                let _ = server.task.await;
            }
        };
        // Callers that keep their connection busy do not keep the process.
        let _ = timeout(CLOSING, all_closed).await;
    }
}

/// Reads the settings anew and takes over the seeds. Addresses and bounds hold for a process's life; a file that is wrong
/// is told at once.
fn reload(machine: &Machine) {
    settings::reload(|settings| machine.set_seeds(settings.core_addresses_of_seeds()));
}
