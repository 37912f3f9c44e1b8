//! Checks that must hold after every step.

use super::Cluster;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use streamusher_coordination::{EpochRecord, StateMap};

/// What the checks have recorded so far.
#[derive(Default)]
pub(crate) struct Checks {
    /// Keys that were committed, with the term of the commit.
    pub committed: BTreeMap<u64, u64>,
    /// Contents of erased disks. An acknowledgement that such a disk sent may still be in flight.
    pub lost_disks: Vec<StateMap>,
    /// The first record seen for each epoch.
    records: BTreeMap<u64, Arc<EpochRecord>>,
}

impl Cluster {
    /// Checks that at most one machine may act, including frozen ones.
    pub(crate) fn check_acting_machines(&self) {
        let may_act = |index: &usize| {
            let process = self.nodes[*index].process.as_ref();
            process.is_some_and(|process| process.may_act(self.now))
        };
        let acting_machines: Vec<usize> = (0..self.nodes.len()).filter(may_act).collect();
        assert!(
            acting_machines.len() <= 1,
            "TWO PRIMARIES {acting_machines:?}: {}",
            self.describe()
        );
    }

    /// Checks that all machines that know the record of an epoch know the same record.
    pub(crate) fn check_record(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(process) = &node.process else { return };
        let epoch = process.epoch();
        if epoch == 0 || node.checked_epoch == epoch {
            return;
        }
        node.checked_epoch = epoch;
        let record = process.status(self.now).record;
        let known = self
            .checks
            .records
            .entry(epoch)
            .or_insert_with(|| record.clone())
            .clone();
        assert_eq!(known, record, "RECORDS DIFFER: {}", self.describe());
    }

    /// Records the state that a primary exposes when it first acts in a term: from then on, all of it counts
    /// as committed.
    pub(crate) fn record_exposed_state(&mut self, index: usize) {
        let Some(process) = &self.nodes[index].process else {
            return;
        };
        let term = process.status(self.now).record.term;
        if std::mem::replace(&mut self.nodes[index].last_acting_term, term) == term {
            return;
        }
        let Some(process) = &self.nodes[index].process else {
            return;
        };
        let state = process.state();
        let numbers = state
            .keys()
            .filter_map(|key| key.strip_prefix("key/")?.parse::<u64>().ok());
        for key in numbers {
            self.checks.committed.entry(key).or_insert(term);
        }
    }

    /// Checks that a committed key is synced on more disks than may be lost.
    pub(crate) fn check_copy_count(&self, key: u64) {
        let name = format!("key/{key:08}");
        let disks = self
            .nodes
            .iter()
            .map(|node| &node.durable.state)
            .chain(&self.checks.lost_disks);
        let copies = disks
            .filter(|state| state.contains_key(name.as_str()))
            .count();
        assert!(
            copies > self.tolerance,
            "TOO FEW COPIES of {key}: {copies}: {}",
            self.describe()
        );
    }

    /// Checks that a new primary holds everything that was committed in its term or earlier ones. (A member
    /// that stalled may be elected when later primaries have already followed; it never acts.)
    pub(crate) fn check_state(&self, index: usize) {
        let Some(process) = &self.nodes[index].process else {
            return;
        };
        let state = process.state();
        let term = process.status(self.now).record.term;
        let earlier = self
            .checks
            .committed
            .iter()
            .filter(|(_, committed_in)| **committed_in <= term);
        let earlier: Vec<u64> = earlier.map(|(key, _)| *key).collect();
        for key in &earlier {
            let is_there = state.contains_key(format!("key/{key:08}").as_str());
            assert!(is_there, "LOST {key} at {index}: {}", self.describe());
        }
        let counter = state
            .get("counter")
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0);
        let newest = earlier.last().copied().unwrap_or(0);
        assert!(
            counter >= newest,
            "STALE COUNTER {counter} < {newest} at {index}: {}",
            self.describe()
        );
    }

    /// Checks that all replicas hold the same state on disk. Call it only when no messages or disk changes
    /// are in flight.
    pub(crate) fn check_replicas_agree(&self) {
        let replicas = self.replicas();
        let disk = |index: &usize| &self.nodes[*index].durable;
        for pair in replicas.windows(2) {
            assert_eq!(
                disk(&pair[0]).position,
                disk(&pair[1]).position,
                "{}",
                self.describe()
            );
            assert!(
                disk(&pair[0]).state == disk(&pair[1]).state,
                "STATES DIFFER: {}",
                self.describe()
            );
        }
    }

    pub(crate) fn describe(&self) -> String {
        let mut text = format!(
            "at {}, blocked links {:?}\n",
            self.now - 1_000_000,
            self.blocked_links
        );
        for (index, node) in self.nodes.iter().enumerate() {
            match &node.process {
                Some(process) => {
                    let status = process.status(self.now);
                    let names: Vec<String> = status
                        .record
                        .replicas
                        .iter()
                        .map(ToString::to_string)
                        .collect();
                    let members = status.record.members.len();
                    for peer in &status.peers {
                        let _ = writeln!(text, "   {peer:?}");
                    }
                    let _ = writeln!(
                        text,
                        "{index}: {} {:?} acting {} epoch {} term {} primary {:?} replicas {names:?} \
                         members {members} applied {:?} synced {:?} committed {} frozen until {}",
                        status.id,
                        status.role,
                        status.acting,
                        status.record.epoch,
                        status.record.term,
                        status.record.primary.map(|id| id.to_string()),
                        status.applied,
                        status.synced,
                        status.committed,
                        node.frozen_until_ms,
                    );
                }
                None => {
                    let _ = writeln!(text, "{index}: down");
                }
            }
        }
        for line in &self.event_log {
            text += line;
            text.push('\n');
        }
        text
    }
}
