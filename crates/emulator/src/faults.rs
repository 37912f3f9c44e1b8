//! Troubles of a day, drawn from a seed.

mod control;

use crate::random::Random;
use std::fmt;
use streamusher_protocol::Millis;

/// Which core machine is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Core {
    /// The one that is primary when the trouble comes.
    Primary,
    /// One by its place among those in use.
    At(usize),
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A core process is killed; its disk stays as it was.
    KillCore { core: Core, down_ms: Millis },
    /// A core machine loses power: what was not synced may be lost.
    PowerCore { core: Core, down_ms: Millis },
    /// A core machine loses power and its disk.
    WipeCore { core: Core, down_ms: Millis },
    /// All core processes are killed.
    KillAllCore { down_ms: Millis },
    /// All core machines lose power, and one of them its disk where said.
    PowerAllCore { down_ms: Millis, wipe: Option<Core> },
    /// A core machine leaves for good; another one comes at a new address.
    ReplaceCore { core: Core, after_ms: Millis },
    /// Core machines are told to end and started again, one after the other.
    RollCore { gap_ms: Millis },
    /// A core machine freezes and wakes.
    FreezeCore { core: Core, for_ms: Millis },
    /// A core machine is cut off from the other core machines; in one direction only where said.
    CutCore {
        core: Core,
        one_way: bool,
        for_ms: Millis,
    },
    /// A core machine is cut off from everybody.
    CutCoreWholly { core: Core, for_ms: Millis },
    /// The core is cut into two halves; all others reach both.
    CutHalves { for_ms: Millis },
    /// All machines lose power, and one core machine its disk where said.
    PowerEverything { down_ms: Millis, wipe: Option<Core> },
    /// A core machine's disk takes so much longer.
    SlowDisk {
        core: Core,
        by_ms: Millis,
        for_ms: Millis,
    },
    /// A core machine's disk hangs.
    StallDisk { core: Core, for_ms: Millis },
    /// A core machine's disk refuses writes.
    FullDisk { core: Core, for_ms: Millis },
    /// A core machine's time of day jumps, and back.
    StepCoreClock {
        core: Core,
        by_ms: i64,
        for_ms: Millis,
    },
    /// One-way messages between core machines are lost now and then.
    LoseMessages { share: f64, for_ms: Millis },
    /// All ways of a core machine are slow.
    SlowLinks {
        core: Core,
        by_ms: Millis,
        for_ms: Millis,
    },
    /// A gate's process is killed.
    KillGate { gate: usize, down_ms: Millis },
    /// A gate freezes.
    FreezeGate { gate: usize, for_ms: Millis },
    /// A gate is cut off from the core.
    CutGate { gate: usize, for_ms: Millis },
    /// An agent's process is killed.
    KillAgent { worker: usize, down_ms: Millis },
    /// An agent freezes.
    FreezeAgent { worker: usize, for_ms: Millis },
    /// A worker's machine is cut off from the core, in one direction only where said; the worker runs on.
    CutAgent {
        worker: usize,
        one_way: bool,
        for_ms: Millis,
    },
    /// All processes are killed at once.
    KillEverything { down_ms: Millis },
    /// A worker crashes; it comes back where a time is given.
    CrashWorker {
        worker: usize,
        back_ms: Option<Millis>,
    },
    /// A worker works at this speed; 0 stands still.
    SlowWorker {
        worker: usize,
        speed: f64,
        for_ms: Millis,
    },
    /// A worker fails this share of what it starts.
    GreyWorker {
        worker: usize,
        share: f64,
        for_ms: Millis,
    },
    /// A worker is emptied and leaves; another life of it comes later.
    DrainWorker {
        worker: usize,
        after_ms: Millis,
        back_ms: Millis,
    },
    /// Many jobs come at once.
    Burst { jobs: usize },
    /// Jobs come that can never be done.
    Poison { jobs: usize },
    /// Many jobs are cancelled.
    Cancels { jobs: usize },
    /// An operator changes the configuration.
    Change,
    /// Two operators change the same version.
    Race,
    /// An operator makes one change after another.
    ManyChanges { count: usize, gap_ms: Millis },
    /// An operator sends a change and, without waiting for its answer, one that builds on it.
    Chain,
    /// Copies of operators' orders are held up on their way for so long at most, and come all the same.
    HoldUpOrders { most_ms: Millis, for_ms: Millis },
    /// An invalid change is sent.
    BadChange,
    /// Answers to operators are lost on their way.
    LoseAnswers { for_ms: Millis },
    /// This happens right after the next acknowledgement, to the machine that gave it.
    AfterAcknowledgement(Box<Fault>),
}

/// A trouble and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// True time.
    pub at: Millis,
    /// The trouble.
    pub fault: Fault,
}

/// All troubles of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// In the order of their times.
    pub faults: Vec<Planned>,
    /// More machines may be lost at once than is tolerated, without more lost disks: service may rest then.
    pub overlaps: bool,
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in &self.faults {
            writeln!(f, "{:>6} ms {:?}", planned.at, planned.fault)?;
        }
        Ok(())
    }
}

/// Sizes that a schedule is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Core machines.
    pub cores: usize,
    /// Gates.
    pub gates: usize,
    /// Workers.
    pub workers: usize,
    /// First trouble.
    pub from: Millis,
    /// Last trouble's end.
    pub until: Millis,
    /// For how long a machine that returned counts as lost.
    pub catch_up_ms: Millis,
}

impl Schedule {
    /// A trouble at a time.
    pub fn with(mut self, at: Millis, fault: Fault) -> Schedule {
        self.faults.push(Planned { at, fault });
        self.faults.sort_by_key(|planned| planned.at);
        self
    }

    /// The same, where more machines may be lost at once than is tolerated.
    pub fn with_overlaps(self) -> Schedule {
        Schedule {
            overlaps: true,
            ..self
        }
    }

    /// Draws a day's troubles.
    pub fn draw(seed: u64, sizes: Sizes) -> Schedule {
        let mut draw = Draw {
            random: Random::new(seed, 7),
            sizes,
            schedule: Schedule::default(),
        };
        draw.core_troubles();
        draw.other_troubles();
        draw.work();
        draw.schedule.faults.sort_by_key(|planned| planned.at);
        draw.schedule
    }

    /// Draws a day's troubles with some of the control side among them.
    pub fn draw_control(seed: u64, sizes: Sizes) -> Schedule {
        let schedule = Schedule::draw(seed, sizes);
        let mut draw = Draw {
            random: Random::new(seed, control::STREAM),
            sizes,
            schedule,
        };
        draw.control_troubles();
        draw.schedule.overlaps = true;
        draw.schedule.faults.sort_by_key(|planned| planned.at);
        draw.schedule
    }
}

struct Draw {
    random: Random,
    sizes: Sizes,
    schedule: Schedule,
}

impl Draw {
    fn add(&mut self, at: Millis, fault: Fault) {
        self.schedule.faults.push(Planned { at, fault });
    }

    fn time(&mut self, lasting: Millis) -> Millis {
        let last = self
            .sizes
            .until
            .saturating_sub(lasting)
            .max(self.sizes.from);
        self.random.between(self.sizes.from, last)
    }

    fn span(&mut self) -> Millis {
        match self.random.below(3) {
            0 => self.random.between(100, 900),
            1 => self.random.between(900, 3_000),
            _ => self.random.between(3_000, 8_000),
        }
    }

    fn core(&mut self) -> Core {
        if self.random.chance(0.5) {
            return Core::Primary;
        }
        Core::At(self.random.below(self.sizes.cores))
    }

    /// Either some troubles that keep all disks, which may meet, or one that loses a disk, which meets no other
    /// machine's loss: more is not borne.
    fn core_troubles(&mut self) {
        if self.random.chance(0.4) {
            self.disk_loss();
            return;
        }
        let first = self.random.below(4);
        for _ in 0..first {
            let fault = self.core_trouble();
            let at = self.time(3_000);
            let fault = if self.random.chance(0.25) {
                self.after_acknowledgement(fault)
            } else {
                fault
            };
            self.add(at, fault);
            if self.random.chance(0.5) {
                let meets = self.core_trouble();
                let later = self.random.between(0, 2_500);
                self.add(at + later, meets);
            }
        }
    }

    fn after_acknowledgement(&mut self, fault: Fault) -> Fault {
        match fault {
            Fault::KillCore { .. }
            | Fault::PowerCore { .. }
            | Fault::FreezeCore { .. }
            | Fault::KillAllCore { .. } => Fault::AfterAcknowledgement(Box::new(fault)),
            other => other,
        }
    }

    fn disk_loss(&mut self) {
        let at = self.time(8_000);
        let down_ms = self.random.between(300, 2_500);
        let core = self.core();
        let fault = match self.random.below(4) {
            0 => Fault::WipeCore { core, down_ms },
            1 => Fault::PowerAllCore {
                down_ms,
                wipe: Some(core),
            },
            2 => Fault::ReplaceCore {
                core,
                after_ms: down_ms,
            },
            _ => {
                let wipe = Fault::PowerAllCore {
                    down_ms,
                    wipe: Some(Core::Primary),
                };
                Fault::AfterAcknowledgement(Box::new(wipe))
            }
        };
        let again = matches!(
            fault,
            Fault::WipeCore {
                core: Core::At(_),
                ..
            }
        ) && self.random.chance(0.4);
        if again {
            let soon = self.random.between(100, 2_000);
            self.add(at + down_ms + soon, fault.clone());
        }
        self.add(at, fault);
        // Another machine's trouble comes once the first has caught up.
        let clear = at + 2 * (down_ms + 2_000) + self.sizes.catch_up_ms + 3_000;
        if clear < self.sizes.until && self.random.chance(0.5) {
            let fault = self.core_trouble();
            self.add(clear, fault);
        }
    }

    fn core_trouble(&mut self) -> Fault {
        let (core, for_ms) = (self.core(), self.span());
        let down_ms = self.random.between(200, 3_000);
        match self.random.below(15) {
            0 | 1 => Fault::KillCore { core, down_ms },
            2 => Fault::PowerCore { core, down_ms },
            3 => Fault::KillAllCore {
                down_ms: self.random.between(200, 1_000),
            },
            4 => Fault::PowerAllCore {
                down_ms,
                wipe: None,
            },
            5 => Fault::RollCore {
                gap_ms: self.random.between(200, 1_500),
            },
            6 | 7 => Fault::FreezeCore { core, for_ms },
            8 => Fault::CutCore {
                core,
                one_way: self.random.chance(0.5),
                for_ms,
            },
            9 => Fault::CutCoreWholly { core, for_ms },
            10 => Fault::SlowDisk {
                core,
                by_ms: self.random.between(20, 400),
                for_ms,
            },
            11 => Fault::StallDisk { core, for_ms },
            12 => Fault::FullDisk { core, for_ms },
            13 => Fault::LoseMessages { share: 0.2, for_ms },
            _ => Fault::SlowLinks {
                core,
                by_ms: self.random.between(50, 600),
                for_ms,
            },
        }
    }

    fn other_troubles(&mut self) {
        for _ in 0..self.random.below(5) {
            let at = self.time(2_000);
            let fault = self.other_trouble();
            self.add(at, fault);
        }
    }

    fn other_trouble(&mut self) -> Fault {
        let worker = self.random.below(self.sizes.workers);
        let gate = self.random.below(self.sizes.gates);
        let for_ms = self.span();
        let down_ms = self.random.between(100, 2_000);
        match self.random.below(16) {
            0 => Fault::KillGate { gate, down_ms },
            1 => Fault::FreezeGate { gate, for_ms },
            2 => Fault::CutGate { gate, for_ms },
            3 | 4 => Fault::KillAgent { worker, down_ms },
            5 => Fault::FreezeAgent { worker, for_ms },
            6 => Fault::CutAgent {
                worker,
                one_way: true,
                for_ms,
            },
            7 | 8 => Fault::CutAgent {
                worker,
                one_way: false,
                for_ms: for_ms + 4_000,
            },
            9 => Fault::KillEverything {
                down_ms: self.random.between(100, 1_000),
            },
            10 => Fault::CrashWorker {
                worker,
                back_ms: Some(down_ms),
            },
            11 => Fault::CrashWorker {
                worker,
                back_ms: None,
            },
            12 => Fault::SlowWorker {
                worker,
                speed: if self.random.chance(0.5) { 0.0 } else { 0.25 },
                for_ms,
            },
            13 => Fault::GreyWorker {
                worker,
                share: if self.random.chance(0.5) { 1.0 } else { 0.4 },
                for_ms,
            },
            14 => {
                let by_ms = if self.random.chance(0.5) {
                    4_000
                } else {
                    -4_000
                };
                Fault::StepCoreClock {
                    core: Core::Primary,
                    by_ms,
                    for_ms,
                }
            }
            _ => Fault::DrainWorker {
                worker,
                after_ms: self.random.between(2_500, 6_000),
                back_ms: 1_000,
            },
        }
    }

    fn work(&mut self) {
        for _ in 0..self.random.below(6) {
            let at = self.time(1_000);
            let fault = match self.random.below(8) {
                0 => Fault::Burst { jobs: 6 },
                1 => Fault::Poison { jobs: 2 },
                2 => Fault::Cancels { jobs: 4 },
                3 | 4 => Fault::Change,
                5 => Fault::Race,
                6 => Fault::BadChange,
                _ => Fault::LoseAnswers { for_ms: 1_500 },
            };
            self.add(at, fault);
        }
    }
}
