//! The process of a control machine, from startup to shutdown.

use crate::component_settings::{coordinator_settings, draw_random_seed, scheduler_settings};
use crate::control_machine::ControlMachine;
use crate::driver::Driver;
use crate::machine_settings::{MachineSettings, MissingSetting};
use crate::peer_messages::PeerQueues;
use crate::servers::{BindError, Servers, MAX_CONTROL_CONNECTIONS};
use crate::store::writer::{DiskEvent, StoreWriter};
use crate::store::{Store, StoreError};
use std::io;
use std::time::Duration;
use streamusher_coordination::{Coordinator, Input};
use streamusher_fair_share::FairShareSettings;
use streamusher_protocol::Millis;
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::signals::{Signal, Signals};
use streamusher_runtime::{clock, event_loop};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, Interval, MissedTickBehavior};

/// Interval between ticks of the state machines: 30 ticks fit into a lease, and each tick costs a wake-up.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound of the leadership transfer after SIGTERM, in milliseconds.
const MAX_LEADERSHIP_TRANSFER_MS: Millis = 3_000;
/// File descriptors reserved for the store, the other control machines and the rest of the process.
const OTHER_DESCRIPTORS: u64 = 300;

/// An error at startup or at run time that ends the process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The event loop cannot be created.
    #[error("cannot start the event loop")]
    EventLoop(#[source] io::Error),
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers")]
    Signals(#[source] io::Error),
    /// A required settings key is missing.
    #[error(transparent)]
    Settings(#[from] MissingSetting),
    /// The store cannot be opened.
    #[error(transparent)]
    Store(StoreError),
    /// The store's writer thread cannot be started.
    #[error("cannot start the store's writer thread")]
    WriterThread(#[source] io::Error),
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The store became unusable while the process ran.
    #[error("the store has become unusable: restart the process")]
    StoreLost(#[source] StoreError),
    /// The store's writer thread exited unexpectedly.
    #[error("the store's writer thread has exited: restart the process")]
    WriterThreadExited,
}

impl ProcessError {
    /// Whether a newer release wrote the store; restarting this release does not resolve such an error.
    pub fn is_newer_format(&self) -> bool {
        matches!(
            self,
            ProcessError::Store(StoreError::NewerFormat { .. })
                | ProcessError::StoreLost(StoreError::NewerFormat { .. })
        )
    }
}

/// Runs the process until a signal ends it. Without `fair_share` the scheduler does not order work by recent
/// use.
///
/// # Errors
/// The process cannot start, or its store becomes unusable while it runs.
pub fn run(
    settings: &ProcessSettings,
    fair_share: Option<FairShareSettings>,
) -> Result<(), ProcessError> {
    event_loop::block_on(run_with_signals(settings, fair_share)).map_err(ProcessError::EventLoop)?
}

async fn run_with_signals(
    settings: &ProcessSettings,
    fair_share: Option<FairShareSettings>,
) -> Result<(), ProcessError> {
    let mut signals = Signals::new().map_err(ProcessError::Signals)?;
    let process = ControlProcess::start(settings, fair_share).await?;
    let (sender, receiver) = mpsc::unbounded_channel();
    spawn_local(async move {
        while let Ok(signal) = signals.next().await {
            if sender.send(signal).is_err() {
                return;
            }
        }
    });
    process.run(receiver).await
}

/// A running control machine process. Must be used within a `LocalSet`.
pub struct ControlProcess {
    machine: ControlMachine,
    servers: Servers,
    max_leadership_transfer_ms: Millis,
    disk_events: mpsc::UnboundedReceiver<DiskEvent>,
}

impl ControlProcess {
    /// Opens the store and starts listening.
    ///
    /// # Errors
    /// A setting is missing, a newer release wrote the store, or an address cannot be bound.
    pub async fn start(
        settings: &ProcessSettings,
        fair_share: Option<FairShareSettings>,
    ) -> Result<ControlProcess, ProcessError> {
        let machine_settings = MachineSettings::from_process(settings)?;
        let (sender, disk_events) = mpsc::unbounded_channel();
        let machine = start_machine(settings, &machine_settings, fair_share, sender)?;
        let max_internal_connections = settings
            .limits
            .max_connections(OTHER_DESCRIPTORS + MAX_CONTROL_CONNECTIONS as u64);
        let servers = Servers::start(&machine, &machine_settings, max_internal_connections).await?;
        let max_leadership_transfer_ms =
            MAX_LEADERSHIP_TRANSFER_MS.min(settings.bounds.grace_ms() / 2);
        Ok(ControlProcess {
            machine,
            servers,
            max_leadership_transfer_ms,
            disk_events,
        })
    }

    /// Runs until a signal ends the process. Before it exits, it transfers leadership, within a time limit.
    ///
    /// # Errors
    /// The store becomes unusable.
    pub async fn run(
        mut self,
        mut signals: mpsc::UnboundedReceiver<Signal>,
    ) -> Result<(), ProcessError> {
        let mut ticks = tick_interval();
        let mut deadline: Option<Millis> = None;
        loop {
            tokio::select! {
                biased;
                event = self.disk_events.recv() => self.on_disk_event(event)?,
                Some(signal) = signals.recv() => match signal {
                    Signal::Reload => reload_settings(&self.machine),
                    Signal::Terminate | Signal::Interrupt => {
                        deadline = deadline.or_else(|| Some(self.begin_shutdown()));
                    }
                },
                _ = ticks.tick() => self.machine.tick(),
            }
            if deadline.is_some_and(|deadline| self.may_exit(deadline)) {
                self.servers.close().await;
                return Ok(());
            }
        }
    }

    fn on_disk_event(&self, event: Option<DiskEvent>) -> Result<(), ProcessError> {
        let input = match event {
            Some(DiskEvent::Persisted { ticket }) => Input::Persisted { ticket },
            Some(DiskEvent::Failed { ticket }) => Input::PersistFailed { ticket },
            Some(DiskEvent::Lost { error }) => return Err(ProcessError::StoreLost(error)),
            None => return Err(ProcessError::WriterThreadExited),
        };
        self.machine.handle_input(input);
        Ok(())
    }

    /// Starts the leadership transfer and returns the deadline by which the process exits.
    fn begin_shutdown(&self) -> Millis {
        log::info!("shutting down: transferring leadership");
        self.machine.handle_input(Input::Leave);
        self.servers.begin_shutdown();
        clock::steady() + self.max_leadership_transfer_ms
    }

    fn may_exit(&self, deadline: Millis) -> bool {
        self.machine.may_leave() || clock::steady() >= deadline
    }
}

/// Opens the store, starts its writer thread and creates the machine. The thread sends its reports through
/// `disk_events`.
fn start_machine(
    settings: &ProcessSettings,
    machine_settings: &MachineSettings,
    fair_share: Option<FairShareSettings>,
    disk_events: mpsc::UnboundedSender<DiskEvent>,
) -> Result<ControlMachine, ProcessError> {
    let data_dir = &machine_settings.data_dir;
    let (store, image) = Store::open_at_startup(data_dir).map_err(ProcessError::Store)?;
    let store_writer = StoreWriter::start(data_dir.clone(), store, disk_events)
        .map_err(ProcessError::WriterThread)?;
    let random_seed = draw_random_seed();
    let address = machine_settings.core_address();
    let peers = PeerQueues::new(address.internal.clone());
    let coordinator = Coordinator::new(
        coordinator_settings(settings, address, random_seed),
        image,
        clock::steady(),
    );
    let driver = Driver::new(
        scheduler_settings(settings, random_seed, fair_share),
        coordinator,
    );
    Ok(ControlMachine::new(driver, peers, store_writer))
}

fn tick_interval() -> Interval {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Reads the settings again and applies the seeds. Addresses and bounds are fixed for the lifetime of the
/// process. An invalid file is logged and changes nothing.
fn reload_settings(machine: &ControlMachine) {
    settings::reload(|settings| machine.set_seeds(settings.core_addresses_of_seeds()));
}
