//! How a program embeds this package: three members with a replicated map, in one process and in virtual
//! time. The program delivers messages, writes to disks, and passes the current time.
//!
//!     cargo run -p streamusher-coordination --example embed
//!
//! Real programs send [`Output::Send`] over a network. They write the change in [`Output::Persist`] to a disk
//! and sync it before they report [`Input::Persisted`]. Nothing that depends on an append is released before
//! the append is committed and `may_act` holds.

use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_coordination::{
    Coordinator, CoordinatorSettings, DiskChange, DiskImage, Input, Output,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Interval between two ticks of a coordinator.
const TICK_MS: Millis = 20;
const LEASE_MS: Millis = 800;
/// Limit for an election; one without faults takes about a second.
const MAX_ELECTION_MS: Millis = 20_000;

struct Machine {
    coordinator: Coordinator,
    is_running: bool,
}

struct Cluster {
    now_ms: Millis,
    machines: Vec<Machine>,
    network: VecDeque<(usize, Input)>,
}

fn main() {
    let mut cluster = Cluster::new();
    let first = cluster.wait_for_primary();
    println!("{:>5} ms  machine {first} acts as primary", cluster.now_ms);
    cluster.set(first, "greeting", "\"hello\"");
    println!(
        "{:>5} ms  an append is committed: it is on all replicas' disks",
        cluster.now_ms
    );

    cluster.machines[first].is_running = false;
    println!("{:>5} ms  machine {first} is lost", cluster.now_ms);
    let second = cluster.wait_for_primary();
    let value = cluster.machines[second]
        .coordinator
        .state()
        .get("greeting")
        .cloned();
    println!(
        "{:>5} ms  machine {second} acts as primary and holds {value:?}",
        cluster.now_ms
    );
    assert_eq!(value.as_deref(), Some("\"hello\""));
}

impl Cluster {
    fn new() -> Cluster {
        let seeds: Vec<CoreAddress> = (0..3).map(address).collect();
        let machine = |index: usize| {
            let settings = CoordinatorSettings {
                address: address(index),
                bootstrap: true,
                seeds: seeds.clone(),
                tolerance: 1,
                lease_ms: LEASE_MS,
                random_seed: index as u64,
            };
            Machine {
                coordinator: Coordinator::new(settings, DiskImage::default(), 0),
                is_running: true,
            }
        };
        Cluster {
            now_ms: 0,
            machines: (0..3).map(machine).collect(),
            network: VecDeque::new(),
        }
    }

    /// Appends a change at the primary and waits until it is committed.
    fn set(&mut self, primary: usize, key: &str, value: &str) {
        let writes = vec![Write::set(key, value)];
        let (sequence, outputs) = self.machines[primary]
            .coordinator
            .append(self.now_ms, writes);
        self.carry_out(primary, outputs);
        while self.machines[primary].coordinator.committed() < sequence {
            self.step();
        }
    }

    fn wait_for_primary(&mut self) -> usize {
        let until = self.now_ms + MAX_ELECTION_MS;
        while self.now_ms < until {
            self.step();
            let now_ms = self.now_ms;
            let may_act =
                |machine: &Machine| machine.is_running && machine.coordinator.may_act(now_ms);
            if let Some(primary) = self.machines.iter().position(may_act) {
                return primary;
            }
        }
        panic!("no primary within {MAX_ELECTION_MS} ms");
    }

    /// Sends a tick to all machines, and handles all resulting messages and disk changes.
    fn step(&mut self) {
        self.now_ms += TICK_MS;
        for index in 0..self.machines.len() {
            self.handle_input(index, Input::Tick);
        }
        while let Some((to, input)) = self.network.pop_front() {
            self.handle_input(to, input);
        }
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        if !self.machines[index].is_running {
            return;
        }
        let outputs = self.machines[index].coordinator.handle(self.now_ms, input);
        self.carry_out(index, outputs);
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let from = address(index).internal;
                    let to = (0..self.machines.len()).find(|other| address(*other).internal == to);
                    self.network
                        .extend(to.map(|to| (to, Input::Received { from, message })));
                }
                Output::Persist { ticket, change } => {
                    write_and_sync(&change);
                    self.network.push_back((index, Input::Persisted { ticket }));
                }
                Output::Elected { epoch } => {
                    println!("{:>5} ms  epoch {epoch}: machine {index}", self.now_ms);
                }
                // A real program sends the responses that wait for the commit, or drops them.
                Output::Committed { .. } | Output::Deposed => {}
            }
        }
    }
}

/// A real program writes the whole change and syncs it, or reports [`Input::PersistFailed`].
fn write_and_sync(_change: &DiskChange) {}

fn address(index: usize) -> CoreAddress {
    let name = |port: u16| -> Arc<str> { format!("10.0.0.{index}:{port}").into() };
    CoreAddress {
        internal: name(1),
        control: name(2),
    }
}
