//! One dispatcher at an address of its own: its process, and what was done to its processes so far.

use super::super::restarts::{configuration, free};
use super::super::{ledger_store, Files, Program};
use super::Shared;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// So short that a lock of the store outlasts it now and then.
const LEDGER_SETTINGS: &str = "hold_ms = 300\n";
/// A process that was asked to end is gone by then, also on a busy machine.
const MAX_STOP: Duration = Duration::from_secs(30);

/// How a process was made to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum End {
    Killed,
    Terminated,
}

/// A process of the instance that was made to end. Until it is gone connections may still come to it.
#[derive(Clone, Copy, Debug)]
struct Ending {
    process: u32,
    end: End,
    gone: Option<Instant>,
}

pub(super) struct Instance {
    pub(super) address: SocketAddr,
    number: usize,
    root: PathBuf,
    worker: SocketAddr,
    /// None between two processes.
    program: Mutex<Option<Program>>,
    endings: Mutex<Vec<Ending>>,
    disruptions: Mutex<usize>,
}

impl Instance {
    pub(super) fn start(number: usize, root: &Path, worker: SocketAddr) -> Instance {
        let instance = Instance {
            address: free(number),
            number,
            root: root.into(),
            worker,
            program: Mutex::new(None),
            endings: Mutex::default(),
            disruptions: Mutex::new(0),
        };
        std::fs::create_dir(instance.temporary_directory()).unwrap();
        *instance.lock() = Some(instance.start_program());
        instance
    }

    /// Its process, for as long as one series has it.
    pub(super) fn lock(&self) -> MutexGuard<'_, Option<Program>> {
        *self.disruptions.lock().unwrap() += 1;
        self.program.lock().unwrap()
    }

    /// The same, unless another series has it.
    pub(super) fn try_lock(&self) -> Option<MutexGuard<'_, Option<Program>>> {
        let program = self.program.try_lock().ok()?;
        *self.disruptions.lock().unwrap() += 1;
        Some(program)
    }

    /// How many series it had.
    pub(super) fn disruptions(&self) -> usize {
        *self.disruptions.lock().unwrap()
    }

    pub(super) fn start_program(&self) -> Program {
        let (files, config) = self.configuration();
        Program::with(files, &config, None, &[])
    }

    /// The configuration of its processes, and the files beside it.
    pub(super) fn configuration(&self) -> (Files, Value) {
        let (files, mut config) = configuration(
            self.number,
            self.address,
            &self.root,
            self.worker,
            LEDGER_SETTINGS,
        );
        let temporary = self.temporary_directory().display().to_string();
        config["environment"] = serde_json::json!({ "TMPDIR": temporary });
        (files, config)
    }

    /// Shared by a process and its successor.
    fn temporary_directory(&self) -> PathBuf {
        self.root.join(format!("tmp{}", self.number))
    }

    /// Another process's transaction on its store; none where the dispatcher is just writing, or opening it.
    pub(super) fn lock_store(&self) -> Option<rusqlite::Connection> {
        ledger_store::try_lock(&self.root.join(format!("n{}", self.number)))
    }

    /// Notes that a process is about to be made to end.
    fn note(&self, program: &Program, end: End) {
        self.endings.lock().unwrap().push(Ending {
            process: program.child.id(),
            end,
            gone: None,
        });
    }

    fn note_gone(&self, program: &Program) {
        let now = Instant::now();
        let mut endings = self.endings.lock().unwrap();
        let process = program.child.id();
        for ending in endings.iter_mut().filter(|e| e.process == process) {
            ending.gone.get_or_insert(now);
        }
    }

    /// Whether a process of it that was made to end so was there at some time since then.
    pub(super) fn has_ended_since(&self, since: Instant, end: End) -> bool {
        let endings = self.endings.lock().unwrap();
        let mut of_this_kind = endings.iter().filter(|ending| ending.end == end);
        of_this_kind.any(|ending| ending.gone.is_none_or(|gone| gone >= since))
    }

    pub(super) fn kill(&self, shared: &Shared, mut program: Program) {
        self.note(&program, End::Killed);
        let log = program.kill();
        self.note_gone(&program);
        self.check_log(shared, &log);
    }

    /// Asks a process to end, without waiting for it.
    pub(super) fn terminate(&self, program: &Program) {
        self.note(program, End::Terminated);
        program.signal("TERM");
    }

    /// Waits for the end of a process that was asked to.
    pub(super) fn wait(&self, shared: &Shared, mut program: Program) {
        let begun = Instant::now();
        loop {
            match program.child.try_wait().unwrap() {
                Some(status) if status.success() => break,
                Some(status) => {
                    shared.fail(format!("n{}: ended with {status}", self.number));
                    break;
                }
                None if begun.elapsed() > MAX_STOP => {
                    shared.fail(format!("n{}: does not end", self.number));
                    return self.kill(shared, program);
                }
                None => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        self.note_gone(&program);
        self.check_log(shared, &program.rest_of_log());
    }

    fn check_log(&self, shared: &Shared, log: &[String]) {
        for line in log.iter().filter(|line| line.contains("panicked")) {
            shared.fail(format!("n{}: {line}", self.number));
        }
    }

    /// Ends its last process.
    pub(super) fn end(&self, shared: &Shared, in_order: bool) {
        let Some(mut program) = self.program.lock().unwrap().take() else {
            return;
        };
        if let Some(status) = program.child.try_wait().unwrap() {
            shared.fail(format!("n{}: ended by itself with {status}", self.number));
            return self.check_log(shared, &program.rest_of_log());
        }
        if in_order {
            self.terminate(&program);
            self.wait(shared, program);
        } else {
            self.kill(shared, program);
        }
    }
}
