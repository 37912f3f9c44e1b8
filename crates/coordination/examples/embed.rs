//! How another program embeds the coordination parts: three machines with a replicated map, in one process and in virtual
//! time. The program's part is what stands here: it delivers messages, writes to disks, and tells the time.
//!
//!     cargo run -p streamusher-coordination --example embed
//!
//! Real programs send [`Output::Send`] over a network, and write [`Output::Persist`] to a disk and sync it before they
//! answer. Nothing that rests on an append is told outside before it is committed and `may_act` holds.

use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_coordination::{
    Coordinator, CoordinatorSettings, DiskChange, DiskImage, Input, Output,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// The state machines want to be told the time about this often.
const TICK_MS: Millis = 20;
const LEASE_MS: Millis = 800;
/// Calm elections take about a second.
const LONGEST_MS: Millis = 20_000;

struct Machine {
    coordinator: Coordinator,
    up: bool,
}

struct Cluster {
    now: Millis,
    machines: Vec<Machine>,
    network: VecDeque<(usize, Input)>,
}

fn main() {
    let mut cluster = Cluster::new();
    let first = cluster.wait_for_primary();
    println!("{:>5} ms  machine {first} acts as primary", cluster.now);
    cluster.set(first, "greeting", "\"hello\"");
    println!(
        "{:>5} ms  an append is committed: it is on all replicas' disks",
        cluster.now
    );

    cluster.machines[first].up = false;
    println!("{:>5} ms  machine {first} is lost", cluster.now);
    let second = cluster.wait_for_primary();
    let value = cluster.machines[second]
        .coordinator
        .state()
        .get("greeting")
        .cloned();
    println!(
        "{:>5} ms  machine {second} acts as primary and holds {value:?}",
        cluster.now
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
                up: true,
            }
        };
        Cluster {
            now: 0,
            machines: (0..3).map(machine).collect(),
            network: VecDeque::new(),
        }
    }

    /// Appends a change at the primary and waits until it is committed.
    fn set(&mut self, primary: usize, key: &str, value: &str) {
        let writes = vec![Write::set(key, value)];
        let (sequence, outputs) = self.machines[primary].coordinator.append(self.now, writes);
        self.follow(primary, outputs);
        while self.machines[primary].coordinator.committed() < sequence {
            self.step();
        }
    }

    fn wait_for_primary(&mut self) -> usize {
        let until = self.now + LONGEST_MS;
        while self.now < until {
            self.step();
            let now = self.now;
            let acts = |machine: &Machine| machine.up && machine.coordinator.may_act(now);
            if let Some(primary) = self.machines.iter().position(acts) {
                return primary;
            }
        }
        panic!("no primary within {LONGEST_MS} ms");
    }

    /// A tick for all, and all messages that follow from it.
    fn step(&mut self) {
        self.now += TICK_MS;
        for index in 0..self.machines.len() {
            self.input(index, Input::Tick);
        }
        while let Some((to, input)) = self.network.pop_front() {
            self.input(to, input);
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        if !self.machines[index].up {
            return;
        }
        let outputs = self.machines[index].coordinator.handle(self.now, input);
        self.follow(index, outputs);
    }

    fn follow(&mut self, index: usize, outputs: Vec<Output>) {
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
                    println!("{:>5} ms  epoch {epoch}: machine {index}", self.now);
                }
                // A program answers what waits for the commit, or drops it.
                Output::Committed { .. } | Output::Deposed => {}
            }
        }
    }
}

/// A real program writes all of the change and syncs it, or reports [`Input::PersistFailed`].
fn write_and_sync(_change: &DiskChange) {}

fn address(index: usize) -> CoreAddress {
    let name = |port: u16| -> Arc<str> { format!("10.0.0.{index}:{port}").into() };
    CoreAddress {
        internal: name(1),
        control: name(2),
    }
}
