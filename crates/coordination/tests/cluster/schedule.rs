//! Random faults, drawn from the cluster's seed.

use super::{Cluster, CATCH_UP_MS};
use rand::seq::SliceRandom;
use rand::Rng;
use streamusher_coordination::Coordinator;
use streamusher_protocol::Millis;

impl Cluster {
    /// Injects faults for some seconds; never erases more disks at once than are tolerated.
    pub(crate) fn run_faults(&mut self, count: usize) {
        for _ in 0..count {
            self.inject_fault();
            let wait = self.random.random_range(5..1_500);
            self.run(wait);
            self.repair_some();
        }
    }

    fn inject_fault(&mut self) {
        let victim = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..14) {
            0 | 1 => self.crash(victim),
            2 => {
                let duration_ms = self.random.random_range(100..4_000);
                self.freeze(victim, duration_ms);
            }
            3 => {
                if let Some(acting_primary) = self.acting_primary() {
                    let duration_ms = self.random.random_range(100..4_000);
                    self.freeze(acting_primary, duration_ms);
                }
            }
            4 => {
                if let Some(acting_primary) = self.acting_primary() {
                    self.crash(acting_primary);
                }
            }
            5 => {
                let max_count = self.nodes.len();
                let count = self.random.random_range(1..max_count);
                let side = self.random_nodes(count);
                self.partition(&side);
            }
            6 => self.block_links_one_way(),
            7 => {
                self.loss_rate = self.random.random_range(0.01..0.4);
                self.duplication_rate = self.random.random_range(0.0..0.3);
                self.delay_ms = self.random.random_range(3..300);
                self.record_event(format!("loss {}, delay {}", self.loss_rate, self.delay_ms));
            }
            8 => self.slow_disk(victim),
            9 => {
                self.record_event(format!("disk {victim} fails"));
                self.nodes[victim].disk_fails = true;
            }
            10 => self.power_loss(0),
            11 | 12 => self.wipe_within_tolerance(),
            _ => self.leave(victim),
        }
    }

    fn slow_disk(&mut self, victim: usize) {
        let sync_ms = *[270, 1_000, 3_000]
            .get(self.random.random_range(0..3))
            .unwrap_or(&270);
        self.record_event(format!("slow disk {victim}: {sync_ms}"));
        self.nodes[victim].sync_ms = sync_ms;
    }

    fn block_links_one_way(&mut self) {
        let from = self.random.random_range(0..self.nodes.len());
        let to = self.random.random_range(0..self.nodes.len());
        self.record_event(format!("block {from} -> {to}"));
        self.blocked_links.insert((from, to));
        if self.random.random_bool(0.5) {
            // All messages that `from` sends are dropped.
            self.blocked_links
                .extend((0..self.nodes.len()).map(|other| (from, other)));
        }
    }

    fn random_nodes(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.nodes.len()).collect();
        all.shuffle(&mut self.random);
        all.truncate(count);
        all
    }

    /// All machines lose power; `wiped_count` of them also lose their disks.
    pub(crate) fn power_loss(&mut self, wiped_count: usize) {
        let wiped = self.random_nodes(wiped_count);
        for index in 0..self.nodes.len() {
            if wiped.contains(&index) {
                self.wipe(index);
            } else {
                self.crash(index);
            }
        }
    }

    /// Erases disks only while a primary acts, so that there are enough replicas, and only as many as leave a
    /// majority of members.
    fn wipe_within_tolerance(&mut self) {
        let Some(acting_primary) = self.acting_primary() else {
            return;
        };
        let Some(record) = self.record(acting_primary) else {
            return;
        };
        let mut alive = 0;
        for index in 0..self.nodes.len() {
            let id = self.id(index);
            alive += usize::from(record.is_member(id));
        }
        let spare = alive.saturating_sub(record.majority());
        let count = self.tolerance.min(spare);
        if count == 0 {
            return;
        }
        if self.random.random_bool(0.5) {
            self.power_loss(count);
        } else {
            for index in self.random_nodes(count) {
                self.wipe(index);
            }
        }
        // Another loss of disks is tolerated only after this repair.
        let wait = self.random.random_range(0..1_500);
        self.run(wait);
        self.repair_all();
        self.run(CATCH_UP_MS);
    }

    fn repair_some(&mut self) {
        if self.random.random_bool(0.3) {
            self.repair_all();
            let wait = self.random.random_range(0..3_000);
            self.run(wait);
        }
        for index in 0..self.nodes.len() {
            let needs_start = self.nodes[index]
                .process
                .as_ref()
                .is_none_or(Coordinator::may_leave);
            if needs_start && self.random.random_bool(0.5) {
                self.restart(index);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        if self.nodes[index].process.is_some() {
            self.crash(index);
        }
        self.start(index);
    }

    /// Starts all machines that are down or leaving, except removed ones, and restores all links.
    pub(crate) fn repair_all(&mut self) {
        self.restore_links();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.frozen_until_ms = node.frozen_until_ms.min(self.now);
            let needs_start = node.process.is_none() || node.is_leaving;
            if needs_start && !node.is_removed {
                let wait: Millis = self.random.random_range(0..100);
                self.run(wait);
                self.restart(index);
            }
        }
    }

    /// Injects faults at such short intervals that each one overlaps the repair of the previous one: links
    /// fail in one direction and recover, processes crash and restart at once, and some messages are seconds
    /// late. No disk is lost.
    pub(crate) fn run_overlapping_faults(&mut self, duration_ms: Millis) {
        let end = self.now + duration_ms;
        self.late_rate = 0.03;
        self.loss_rate = 0.02;
        while self.now < end {
            self.inject_overlapping_fault();
            let wait = self.random.random_range(1..120);
            self.run(wait);
        }
        self.late_rate = 0.0;
    }

    fn inject_overlapping_fault(&mut self) {
        let size = self.nodes.len();
        let victim = match self
            .acting_primary()
            .filter(|_| self.random.random_bool(0.4))
        {
            Some(acting_primary) => acting_primary,
            None => self.random.random_range(0..size),
        };
        let other = self.random.random_range(0..size);
        match self.random.random_range(0..12) {
            0 => {
                self.crash(victim);
                if self.random.random_bool(0.7) {
                    self.start(victim);
                }
            }
            1 => {
                let duration_ms = self.random.random_range(50..1_500);
                self.freeze(victim, duration_ms);
            }
            2 => self.nodes[victim].sync_ms = self.random.random_range(1..600),
            3 => self.nodes[victim].disk_fails = self.random.random_bool(0.3),
            4 | 5 => {
                self.blocked_links.insert((victim, other));
            }
            6 => self
                .blocked_links
                .extend((0..size).map(|from| (from, victim))),
            7 => self.blocked_links.extend((0..size).map(|to| (victim, to))),
            8 => self.blocked_links.clear(),
            9 => self.leave(victim),
            _ => self.repair_partly(),
        }
    }

    /// Repairs many of the injected faults.
    fn repair_partly(&mut self) {
        if self.random.random_bool(0.5) {
            self.blocked_links.clear();
        }
        for index in 0..self.nodes.len() {
            self.nodes[index].sync_ms = 9;
            self.nodes[index].disk_fails = false;
            let needs_start = self.nodes[index].process.is_none() || self.nodes[index].is_leaving;
            if needs_start && self.random.random_bool(0.7) {
                self.restart(index);
            }
        }
    }
}
