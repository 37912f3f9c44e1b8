//! Random disruptions: signals to processes, restarts, and agents that are isolated from the control machines, also right after their
//! restart. Several can be in progress at once.

use crate::machines::{Machines, Role, Signal};
use crate::relays::Relays;
use anyhow::{bail, Result};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::process::ExitStatus;
use streamusher_protocol::Millis;
use streamusher_runtime::clock;

/// A process started less than this time ago may not have installed its signal handlers. It gets no signal,
/// as one might end it.
const STARTUP_MS: Millis = 2_000;
/// After a kill, clients see the process's connections close within this time, even on a busy machine.
const KILL_EFFECT_MS: Millis = 2_000;
/// Range of the time for which a machine stays down.
const DOWN_MS: std::ops::Range<Millis> = 50..1_500;
/// Range of the time for which an agent is isolated; the leases of the soak's workers last 3 s.
const ISOLATION_MS: std::ops::Range<Millis> = 300..6_000;
/// Range of the time from an agent's restart to its isolation: until its worker calls it again, or shortly later.
const ISOLATION_DELAY_MS: std::ops::Range<Millis> = 0..700;
/// Probability that an agent is isolated after its restart.
const ISOLATION_AFTER_RESTART_PROBABILITY: f64 = 0.5;
/// Probability that a disruption isolates an agent instead of sending a signal.
const ISOLATION_PROBABILITY: f64 = 0.15;

/// The progress of a machine between its signal and its next start.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// A signal that ends the process was sent.
    Ending { signal: Signal },
    /// The process has exited; the machine starts again at this time of the steady clock.
    Down { until: Millis },
}

/// The disruptions of one soak run.
pub(crate) struct Disruptions {
    random: Pcg32,
    outages: BTreeMap<String, Outage>,
    started_at: BTreeMap<String, Millis>,
    kills: Vec<Kill>,
    sent: u64,
    relays: Relays,
    /// Agents that are to be isolated, and when.
    planned_isolations: Vec<PlannedIsolation>,
    isolations: u64,
}

/// An agent that is to be isolated.
#[derive(Clone, Debug)]
struct PlannedIsolation {
    agent: String,
    at_ms: Millis,
}

/// A process that was killed, and when.
#[derive(Clone, Debug)]
struct Kill {
    machine: String,
    at_ms: Millis,
}

impl Disruptions {
    pub(crate) fn new(random: Pcg32, relays: Relays) -> Disruptions {
        Disruptions {
            random,
            outages: BTreeMap::new(),
            started_at: BTreeMap::new(),
            kills: Vec::new(),
            sent: 0,
            relays,
            planned_isolations: Vec::new(),
            isolations: 0,
        }
    }

    /// Whether a machine's process was killed shortly before `at_ms`, so that its connections closed with
    /// requests in flight.
    pub(crate) fn was_killed(&self, machine: &str, at_ms: Millis) -> bool {
        self.kills.iter().any(|kill| {
            kill.machine == machine && (kill.at_ms..kill.at_ms + KILL_EFFECT_MS).contains(&at_ms)
        })
    }

    /// Number of signals sent.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }

    /// Number of times that an agent was isolated.
    pub(crate) fn isolations(&self) -> u64 {
        self.isolations
    }

    /// Whether all machines are up.
    pub(crate) fn are_all_machines_up(&self) -> bool {
        self.outages.is_empty()
    }

    /// Disrupts a random machine, unless too few machines of its role would remain undisturbed.
    pub(crate) fn disrupt(&mut self, machines: &Machines) -> Result<()> {
        if !self.random.random_bool(ISOLATION_PROBABILITY) {
            return self.send_random_signal(machines);
        }
        let agents = machines.names(Role::Agent);
        if let Some(agent) = agents.choose(&mut self.random) {
            self.isolate(clock::steady(), agents.len(), agent);
        }
        Ok(())
    }

    /// Isolates an agent, unless half of the agents are isolated.
    fn isolate(&mut self, now: Millis, agent_count: usize, agent: &str) {
        if self.relays.isolated_count(now) < max_down(Role::Agent, agent_count) {
            let until = now + self.random.random_range(ISOLATION_MS);
            self.relays.isolate(agent, until);
            self.isolations += 1;
        }
    }

    fn begin_planned_isolations(&mut self, now: Millis, agent_count: usize) {
        let is_due = |planned: &PlannedIsolation| planned.at_ms <= now;
        let (due, later) = std::mem::take(&mut self.planned_isolations)
            .into_iter()
            .partition(is_due);
        self.planned_isolations = later;
        let due: Vec<PlannedIsolation> = due;
        for planned in due {
            self.isolate(now, agent_count, &planned.agent);
        }
    }

    fn send_random_signal(&mut self, machines: &Machines) -> Result<()> {
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

    /// Restarts machines whose down time has elapsed. Fails if a process ended without a signal, or did not
    /// exit with 0 after SIGTERM.
    pub(crate) fn advance(&mut self, machines: &mut Machines) -> Result<()> {
        let now = clock::steady();
        for role in [Role::Control, Role::Gate, Role::Agent] {
            for name in machines.names(role) {
                self.advance_one(now, machines, &name)?;
            }
        }
        self.begin_planned_isolations(now, machines.names(Role::Agent).len());
        Ok(())
    }

    fn on_restarted(&mut self, now: Millis, machines: &Machines, name: &str) {
        self.outages.remove(name);
        self.started_at.insert(name.to_owned(), now);
        let is_agent = machines
            .names(Role::Agent)
            .iter()
            .any(|agent| agent == name);
        if is_agent && self.random.random_bool(ISOLATION_AFTER_RESTART_PROBABILITY) {
            self.planned_isolations.push(PlannedIsolation {
                agent: name.to_owned(),
                at_ms: now + self.random.random_range(ISOLATION_DELAY_MS),
            });
        }
    }

    fn advance_one(&mut self, now: Millis, machines: &mut Machines, name: &str) -> Result<()> {
        match (self.outages.get(name).copied(), machines.exit_status(name)?) {
            (None, Some(status)) => bail!("{name} ended without a signal, with {status}"),
            (Some(Outage::Ending { signal }), Some(status)) => {
                check_status(name, signal, status)?;
                let until = now + self.random.random_range(DOWN_MS);
                self.outages.insert(name.to_owned(), Outage::Down { until });
            }
            (Some(Outage::Down { until }), _) if now >= until => {
                machines.restart(name)?;
                self.on_restarted(now, machines, name);
            }
            _ => {}
        }
        Ok(())
    }
}

fn check_status(name: &str, signal: Signal, status: ExitStatus) -> Result<()> {
    if signal == Signal::Terminate && !status.success() {
        bail!("{name} ended after SIGTERM with {status}");
    }
    Ok(())
}

/// Maximum number of machines of a role that may be down at once: the cluster tolerates the loss of one
/// control machine, and half of the other machines may be down.
fn max_down(role: Role, count: usize) -> usize {
    match role {
        Role::Control => 1,
        Role::Gate | Role::Agent => count / 2,
    }
}
