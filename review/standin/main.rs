//! Stand-ins for the clients, the operator, the workers and the network of a small deployment, and the cases that
//! play with them: `standin ROOT FOLDER CASE`. `TROUBLE=0` leaves the disruption out. Ends with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.

mod calls;
mod fleet;
mod former_life;
mod http;
mod json;
mod lease;
mod long_answer;
mod record;
mod relay;
mod worker;

use crate::calls::{configure, SERVICE};
use crate::fleet::{pause, Fleet, Role, CONTROL_PORT};
use crate::record::Record;
use crate::worker::{Execution, Worker};
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex};

/// A deployment whose workers are known and whose first configuration is taken.
pub struct Play {
    pub fleet: Fleet,
    pub record: Arc<Record>,
    pub executions: Arc<Mutex<Vec<Execution>>>,
    pub workers: Vec<Arc<Worker>>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

pub const CONTROLS: u8 = 3;
pub const GATES: u8 = 2;

/// What a case says of its workers.
pub struct WorkerPlan {
    pub capacity: (u64, u64),
    pub kind: &'static str,
}

impl Play {
    /// Starts all control machines and gates.
    fn new(root: PathBuf, folder: PathBuf) -> Play {
        let record = Arc::new(Record::create(&folder.join("record.txt")));
        let mut fleet = Fleet::new(&root, record.clone());
        let seeds = real_seeds(&fleet);
        for number in 0..CONTROLS {
            fleet.start(Role::Control, number, true, &seeds);
        }
        for number in 0..GATES {
            fleet.start(Role::Gate, number, true, &seeds);
        }
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        Play {
            fleet,
            record,
            executions: Arc::default(),
            workers: Vec::new(),
            trouble,
        }
    }

    /// Starts the workers, an agent beside each (`seeds_of` says how it reaches the control machines), and hands
    /// in the configuration.
    pub fn begin(
        &mut self,
        plans: &[WorkerPlan],
        verbose: bool,
        seeds_of: impl Fn(u8) -> Vec<String>,
    ) {
        for (number, plan) in (0..).zip(plans) {
            self.fleet
                .start(Role::Agent, number, true, &seeds_of(number));
            let worker = Worker::new(
                &format!("i-{}", number + 1),
                SERVICE,
                plan.capacity,
                plan.kind,
                self.fleet.address(Role::Agent, number, CONTROL_PORT),
                self.record.clone(),
                self.executions.clone(),
                verbose,
            );
            worker.start();
            self.workers.push(worker);
        }
        if !configure(&self.fleet, &self.record, CONTROLS) {
            self.cannot_run("the configuration was not taken");
        }
        // Traffic starts 10 s after the machines do; by then every worker has sent heartbeats.
        pause(5_000);
    }

    pub fn cannot_run(&mut self, why: &str) -> ! {
        self.record.line(&format!("the case could not run: {why}"));
        println!("the case could not run: {why}");
        self.end(2)
    }

    /// Ends all processes and this one.
    pub fn end(&mut self, status: i32) -> ! {
        for worker in &self.workers {
            worker.stop();
        }
        self.fleet.stop();
        exit(status)
    }

    /// Says whether the rule was broken, and ends.
    pub fn judge(&mut self, rule: &str, breaks: &[String]) -> ! {
        let ended = self.fleet.ended();
        if !ended.is_empty() {
            self.record
                .line(&format!("processes that ended by themselves: {ended:?}"));
        }
        for what in breaks {
            self.record.line(&format!("{rule}: {what}"));
            println!("{rule}: {what}");
        }
        if breaks.is_empty() {
            self.record.line(&format!("{rule} held"));
            println!("{rule} held");
        }
        self.end(i32::from(!breaks.is_empty()))
    }

    /// A copy of all executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("executions").clone()
    }
}

/// The control machines' own addresses.
pub fn real_seeds(fleet: &Fleet) -> Vec<String> {
    (0..CONTROLS)
        .map(|number| fleet.ip(Role::Control, number))
        .collect()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, folder, case] = arguments.as_slice() else {
        eprintln!("standin ROOT FOLDER CASE");
        exit(2)
    };
    let play = Play::new(root.into(), folder.into());
    match case.as_str() {
        "lease" => lease::play(play),
        "former-life" => former_life::play(play),
        "long-answer" => long_answer::play(play),
        _ => exit(2),
    }
}
