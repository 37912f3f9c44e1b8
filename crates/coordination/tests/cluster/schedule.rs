//! Faults drawn from a seed.

use super::{Cluster, CATCH_UP_MS};
use rand::seq::SliceRandom;
use rand::Rng;
use streamusher_coordination::Coordinator;
use streamusher_protocol::Millis;

impl Cluster {
    /// Some seconds of faults, with no more wiped at once than is tolerated.
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
                let span = self.random.random_range(100..4_000);
                self.freeze(victim, span);
            }
            3 => {
                if let Some(actor) = self.actor() {
                    let span = self.random.random_range(100..4_000);
                    self.freeze(actor, span);
                }
            }
            4 => {
                if let Some(actor) = self.actor() {
                    self.crash(actor);
                }
            }
            5 => {
                let most = self.nodes.len();
                let count = self.random.random_range(1..most);
                let side = self.some_nodes(count);
                self.cut(&side);
            }
            6 => self.cut_one_way(),
            7 => {
                self.loss = self.random.random_range(0.01..0.4);
                self.doubled = self.random.random_range(0.0..0.3);
                self.delay_ms = self.random.random_range(3..300);
                self.record_event(format!("loss {}, delay {}", self.loss, self.delay_ms));
            }
            8 => self.slow_disk(victim),
            9 => {
                self.record_event(format!("full disk {victim}"));
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

    fn cut_one_way(&mut self) {
        let a = self.random.random_range(0..self.nodes.len());
        let b = self.random.random_range(0..self.nodes.len());
        self.record_event(format!("cut {a} -> {b}"));
        self.cuts.insert((a, b));
        if self.random.random_bool(0.5) {
            // All that `a` says is lost.
            self.cuts
                .extend((0..self.nodes.len()).map(|other| (a, other)));
        }
    }

    fn some_nodes(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.nodes.len()).collect();
        all.shuffle(&mut self.random);
        all.truncate(count);
        all
    }

    /// All lose power; some lose their disks.
    pub(crate) fn power_loss(&mut self, wiped: usize) {
        let wiped = self.some_nodes(wiped);
        for index in 0..self.nodes.len() {
            if wiped.contains(&index) {
                self.wipe(index);
            } else {
                self.crash(index);
            }
        }
    }

    /// Only while a primary acts, so that enough copies are there, and only as many as leave a majority of members.
    fn wipe_within_tolerance(&mut self) {
        let Some(actor) = self.actor() else { return };
        let Some(record) = self.record(actor) else {
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
            for index in self.some_nodes(count) {
                self.wipe(index);
            }
        }
        // The next loss of a disk counts as another one only after this.
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
            let is_gone = self.nodes[index]
                .process
                .as_ref()
                .is_none_or(Coordinator::may_leave);
            if is_gone && self.random.random_bool(0.5) {
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

    /// Everything runs again and all links are sound.
    pub(crate) fn repair_all(&mut self) {
        self.restore_links();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            node.frozen_until = node.frozen_until.min(self.now);
            let is_gone = node.process.is_none() || node.is_leaving;
            if is_gone && !node.is_removed {
                let wait: Millis = self.random.random_range(0..100);
                self.run(wait);
                self.restart(index);
            }
        }
    }

    /// Faults so close together that each meets the repair of the one before: links go and come one way at a time,
    /// processes die and return at once, some messages come seconds late. No disk is lost.
    pub(crate) fn run_overlapping_faults(&mut self, span: Millis) {
        let end = self.now + span;
        self.late = 0.03;
        self.loss = 0.02;
        while self.now < end {
            self.inject_overlapping_fault();
            let wait = self.random.random_range(1..120);
            self.run(wait);
        }
        self.late = 0.0;
    }

    fn inject_overlapping_fault(&mut self) {
        let size = self.nodes.len();
        let victim = match self.actor().filter(|_| self.random.random_bool(0.4)) {
            Some(actor) => actor,
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
                let span = self.random.random_range(50..1_500);
                self.freeze(victim, span);
            }
            2 => self.nodes[victim].sync_ms = self.random.random_range(1..600),
            3 => self.nodes[victim].disk_fails = self.random.random_bool(0.3),
            4 | 5 => {
                self.cuts.insert((victim, other));
            }
            6 => self.cuts.extend((0..size).map(|from| (from, victim))),
            7 => self.cuts.extend((0..size).map(|to| (victim, to))),
            8 => self.cuts.clear(),
            9 => self.leave(victim),
            _ => self.calm_down(),
        }
    }

    /// Much of what was broken is mended.
    fn calm_down(&mut self) {
        if self.random.random_bool(0.5) {
            self.cuts.clear();
        }
        for index in 0..self.nodes.len() {
            self.nodes[index].sync_ms = 9;
            self.nodes[index].disk_fails = false;
            let is_gone = self.nodes[index].process.is_none() || self.nodes[index].is_leaving;
            if is_gone && self.random.random_bool(0.7) {
                self.restart(index);
            }
        }
    }
}
