//! Random disruptions: signals to processes, restarts, and changes of the configuration. Several are under way at once.

use crate::machines::{Machines, Role, Signal};
use anyhow::{bail, Result};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::process::ExitStatus;
use streamusher_protocol::Millis;
use streamusher_runtime::clock;

/// A process that was started less than so long ago may not handle signals yet: it gets none, or may end by one.
const STARTUP_MS: Millis = 2_000;
/// Clients see the end of a killed process's connections within this time, also on a busy machine.
const KILL_EFFECT_MS: Millis = 2_000;
/// For how long a machine is down.
const DOWN_MS: std::ops::Range<Millis> = 50..1_500;

/// Where a machine is between its signal and its next start.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Its process was told to end.
    Ending { signal: Signal },
    /// It starts again at this time.
    Down { until: Millis },
}

/// The disruptions of one soak.
pub(crate) struct Disruptions {
    random: Pcg32,
    outages: BTreeMap<String, Outage>,
    started_at: BTreeMap<String, Millis>,
    kills: Vec<Kill>,
    sent: u64,
}

/// A process that was killed.
#[derive(Clone, Debug)]
struct Kill {
    machine: String,
    at_ms: Millis,
}

impl Disruptions {
    pub(crate) fn new(random: Pcg32) -> Disruptions {
        Disruptions {
            random,
            outages: BTreeMap::new(),
            started_at: BTreeMap::new(),
            kills: Vec::new(),
            sent: 0,
        }
    }

    /// Whether a machine's process was killed at about this time: its connections ended then, whatever they carried.
    pub(crate) fn was_killed(&self, machine: &str, at_ms: Millis) -> bool {
        self.kills.iter().any(|kill| {
            kill.machine == machine && (kill.at_ms..kill.at_ms + KILL_EFFECT_MS).contains(&at_ms)
        })
    }

    /// Signals that were sent.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }

    /// Whether all machines are up.
    pub(crate) fn are_over(&self) -> bool {
        self.outages.is_empty()
    }

    /// Sends a random signal to a random machine, where that leaves enough machines of its role.
    pub(crate) fn disrupt(&mut self, machines: &Machines) -> Result<()> {
        let roles = [Role::Control, Role::Gate, Role::Agent];
        let role = roles[self.random.random_range(0..roles.len())];
        let names = machines.names(role);
        let now = clock::steady();
        let candidates: Vec<&String> = names
            .iter()
            .filter(|name| self.may_be_signalled(now, name))
            .collect();
        let Some(name) = candidates.choose(&mut self.random).copied() else {
            return Ok(());
        };
        let signal = match self.random.random_range(0..3) {
            0 => Signal::Reload,
            1 => Signal::Terminate,
            _ => Signal::Kill,
        };
        let down = names.iter().filter(|name| self.outages.contains_key(*name));
        let is_last = down.count() + 1 > max_down(role, names.len());
        if signal != Signal::Reload && is_last {
            return Ok(());
        }
        if signal == Signal::Kill {
            self.kills.push(Kill {
                machine: name.clone(),
                at_ms: now,
            });
        }
        machines.send(name, signal)?;
        self.sent += 1;
        if signal != Signal::Reload {
            self.outages.insert(name.clone(), Outage::Ending { signal });
        }
        Ok(())
    }

    fn may_be_signalled(&self, now: Millis, name: &str) -> bool {
        let started_at = self.started_at.get(name).copied().unwrap_or(0);
        !self.outages.contains_key(name) && now >= started_at + STARTUP_MS
    }

    /// Starts machines again whose time has come. Fails where a process has ended that was not told to, or not with 0 where
    /// it was asked to.
    pub(crate) fn advance(&mut self, machines: &mut Machines) -> Result<()> {
        let now = clock::steady();
        for role in [Role::Control, Role::Gate, Role::Agent] {
            for name in machines.names(role) {
                self.advance_one(now, machines, &name)?;
            }
        }
        Ok(())
    }

    fn advance_one(&mut self, now: Millis, machines: &mut Machines, name: &str) -> Result<()> {
        match (self.outages.get(name).copied(), machines.exit_status(name)?) {
            (None, Some(status)) => bail!("{name} ended by itself with {status}"),
            (Some(Outage::Ending { signal }), Some(status)) => {
                check_status(name, signal, status)?;
                let until = now + self.random.random_range(DOWN_MS);
                self.outages.insert(name.to_owned(), Outage::Down { until });
            }
            (Some(Outage::Down { until }), _) if now >= until => {
                machines.restart(name)?;
                self.outages.remove(name);
                self.started_at.insert(name.to_owned(), now);
            }
            _ => {}
        }
        Ok(())
    }
}

fn check_status(name: &str, signal: Signal, status: ExitStatus) -> Result<()> {
    if signal == Signal::Terminate && !status.success() {
        bail!("{name} was terminated and ended with {status}");
    }
    Ok(())
}

/// How many machines of a role may be down at once: one control machine is tolerated; half of the others.
fn max_down(role: Role, count: usize) -> usize {
    match role {
        Role::Control => 1,
        Role::Gate | Role::Agent => count / 2,
    }
}
