//! One control process from its start to its end.

use crate::disk::{self, Disk, DiskEvent};
use crate::driver::Driver;
use crate::machine::Machine;
use crate::peers::Peers;
use crate::{internal, operators, parameters};
use anyhow::{anyhow, Context, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use streamusher_coordination::{Coordinator, Input};
use streamusher_node::http::{Server, ServerHandle, ServerLimits};
use streamusher_node::settings::{self, Settings};
use streamusher_node::signals::{Signal, Signals};
use streamusher_node::{clock, runtime};
use streamusher_protocol::internal::{CoreAddress, CONTROL_PORT_OFFSET};
use streamusher_protocol::Millis;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, timeout, MissedTickBehavior};

/// How often both state machines are told the time: a lease has forty such steps, and each one costs a wake-up.
const TICK: Duration = Duration::from_millis(20);
/// How long handing over may take after SIGTERM, at most.
const LONGEST_LEAVE_MS: Millis = 3_000;
/// After handing over, answers that are on their way get this long.
const CLOSING: Duration = Duration::from_millis(300);
/// A whole copy of the state comes in parts; a configuration with thousands of routes in one piece.
const MOST_BODY: usize = 16 << 20;

/// Runs the process until a signal ends it.
///
/// # Errors
/// It can't start, or its store was lost.
pub fn run(settings: Settings) -> Result<()> {
    runtime::block_on(serve(settings)).context("the event loop can't be made")?
}

async fn serve(settings: Settings) -> Result<()> {
    let control = control_address(&settings)?;
    let internal = settings.internal_address(CONTROL_PORT_OFFSET);
    let me = CoreAddress { internal: internal.to_string().into(), control: control.to_string().into() };
    let signals = Signals::new().context("signals can't be heard")?;
    let (machine, disk_events) = start_machine(&settings, &me)?;
    let servers = start_servers(&machine, internal, control, me.control.clone())?;
    let longest_leave_ms = LONGEST_LEAVE_MS.min(settings.bounds.grace_ms() / 2);
    Process { machine, servers, longest_leave_ms, signals, disk_events }.run().await
}

fn control_address(settings: &Settings) -> Result<SocketAddr> {
    settings.listen.control.context("settings: key listen.control is missing: this program serves control")
}

fn start_machine(
    settings: &Settings, me: &CoreAddress,
) -> Result<(Machine, mpsc::UnboundedReceiver<DiskEvent>)> {
    let data_dir = data_dir(settings)?;
    let (store, image) = disk::open_at_start(&data_dir)?;
    let (events, disk_events) = mpsc::unbounded_channel();
    let disk = Disk::start(data_dir, store, events).context("the disk's thread can't be made")?;
    let random_seed = parameters::random_seed();
    let core = parameters::coordination(settings, me.clone(), random_seed);
    let coordinator = Coordinator::new(core, image, clock::steady());
    let driver = Driver::new(parameters::scheduler(settings, random_seed), coordinator);
    let machine = Machine::new(driver, Peers::new(me.internal.clone()), disk);
    Ok((machine, disk_events))
}

fn data_dir(settings: &Settings) -> Result<PathBuf> {
    settings.data_dir.clone().context("settings: key data_dir is missing: this program needs a disk")
}

fn start_servers(
    machine: &Machine, internal: SocketAddr, control: SocketAddr, me: Arc<str>,
) -> Result<Vec<Running>> {
    let limits = ServerLimits { max_body: MOST_BODY, ..Default::default() };
    let inside =
        Server::bind(internal, limits.clone()).with_context(|| format!("listening at {internal}"))?;
    let outside = Server::bind(control, limits).with_context(|| format!("listening at {control}"))?;
    let handles = [inside.handle(), outside.handle()];
    let to_internal = machine.clone();
    let inside = spawn_local(inside.run(move |call| internal::answer(to_internal.clone(), call)));
    let to_control = machine.clone();
    let outside =
        spawn_local(outside.run(move |call| operators::answer(to_control.clone(), me.clone(), call)));
    Ok(handles.into_iter().zip([inside, outside]).map(|(handle, task)| Running { handle, task }).collect())
}

/// A server at work.
struct Running {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

struct Process {
    machine: Machine,
    servers: Vec<Running>,
    longest_leave_ms: Millis,
    signals: Signals,
    disk_events: mpsc::UnboundedReceiver<DiskEvent>,
}

impl Process {
    async fn run(mut self) -> Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leave_until: Option<Millis> = None;
        loop {
            tokio::select! {
                biased;
                event = self.disk_events.recv() => self.on_disk(event)?,
                signal = self.signals.next() => match signal.context("signals can't be heard any more")? {
                    Signal::Reload => reload(),
                    Signal::Terminate | Signal::Interrupt => leave_until = leave_until.or(Some(self.leave())),
                },
                _ = ticks.tick() => self.machine.tick(),
            }
            if leave_until.is_some_and(|until| self.machine.may_leave() || clock::steady() >= until) {
                self.close().await;
                return Ok(());
            }
        }
    }

    fn on_disk(&self, event: Option<DiskEvent>) -> Result<()> {
        match event {
            Some(DiskEvent::Persisted { ticket }) => self.machine.input(Input::Persisted { ticket }),
            Some(DiskEvent::Failed { ticket }) => self.machine.input(Input::PersistFailed { ticket }),
            Some(DiskEvent::Lost { error }) => return Err(error).context("the store was lost: start anew"),
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

/// Reads the settings anew. Addresses and bounds hold for a process's life; a file that is wrong is told at once.
fn reload() {
    match settings::load() {
        Ok(_) => log::info!("settings read again"),
        Err(error) => log::error!("{error}; the former settings stay"),
    }
}
