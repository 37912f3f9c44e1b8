//! One dispatcher instance at a fixed address: its current process and the record of its ended processes.

use super::super::restarts::{configuration, free};
use super::super::{ledger_store, Files, Program};
use super::Shared;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Shorter than the longest lock of the store, so that a lock sometimes outlasts it.
const LEDGER_SETTINGS: &str = "hold_ms = 300\n";
/// Time limit of an orderly shutdown, also on a busy machine.
const MAX_STOP: Duration = Duration::from_secs(30);

/// Signal that ended a process: SIGKILL or SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum End {
    Killed,
    Terminated,
}

/// Record of a process of the instance that was killed or terminated. It may accept connections until `exited_at`,
/// the time of its observed exit.
#[derive(Clone, Copy, Debug)]
struct Ending {
    process: u32,
    end: End,
    exited_at: Option<Instant>,
}

pub(super) struct Instance {
    pub(super) address: SocketAddr,
    number: usize,
    root: PathBuf,
    worker: SocketAddr,
    /// `None` between two processes.
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

    /// Locks the current process for one disruption and counts the disruption. Waits while another series
    /// holds the lock.
    pub(super) fn lock(&self) -> MutexGuard<'_, Option<Program>> {
        *self.disruptions.lock().unwrap() += 1;
        self.program.lock().unwrap()
    }

    /// Locks the current process as `lock` does, but returns `None` without a wait if another series holds
    /// the lock.
    pub(super) fn try_lock(&self) -> Option<MutexGuard<'_, Option<Program>>> {
        let program = self.program.try_lock().ok()?;
        *self.disruptions.lock().unwrap() += 1;
        Some(program)
    }

    /// Number of disruptions that locked the process.
    pub(super) fn disruptions(&self) -> usize {
        *self.disruptions.lock().unwrap()
    }

    pub(super) fn start_program(&self) -> Program {
        let (files, config) = self.configuration();
        Program::with(files, &config, None, &[])
    }

    /// Returns the configuration of the instance's processes and the folder of their files.
    pub(super) fn configuration(&self) -> (Files, Value) {
        let (files, mut config) = configuration(
            self.number,
            self.address,
            &self.root,
            self.worker,
            LEDGER_SETTINGS,
        );
        let temporary_directory = self.temporary_directory().display().to_string();
        config["environment"] = serde_json::json!({ "TMPDIR": temporary_directory });
        (files, config)
    }

    /// Temporary directory that a process and its successor share.
    fn temporary_directory(&self) -> PathBuf {
        self.root.join(format!("tmp{}", self.number))
    }

    /// Opens a write transaction on the instance's ledger store. Returns `None` while the dispatcher writes
    /// to the store or opens it.
    pub(super) fn lock_store(&self) -> Option<rusqlite::Connection> {
        ledger_store::try_lock(&self.root.join(format!("n{}", self.number)))
    }

    /// Records that a process is about to be killed or terminated.
    fn record_ending(&self, program: &Program, end: End) {
        self.endings.lock().unwrap().push(Ending {
            process: program.child.id(),
            end,
            exited_at: None,
        });
    }

    fn record_exit(&self, program: &Program) {
        let now = Instant::now();
        let mut endings = self.endings.lock().unwrap();
        let process = program.child.id();
        for ending in endings.iter_mut().filter(|e| e.process == process) {
            ending.exited_at.get_or_insert(now);
        }
    }

    /// Returns whether a process of this instance that was ended in this way was still running at `since` or
    /// later.
    pub(super) fn has_ended_since(&self, since: Instant, end: End) -> bool {
        let endings = self.endings.lock().unwrap();
        let mut of_this_kind = endings.iter().filter(|ending| ending.end == end);
        of_this_kind.any(|ending| ending.exited_at.is_none_or(|exited_at| exited_at >= since))
    }

    pub(super) fn kill(&self, shared: &Shared, mut program: Program) {
        self.record_ending(&program, End::Killed);
        let log = program.kill();
        self.record_exit(&program);
        self.check_log(shared, &log);
    }

    /// Sends SIGTERM without waiting for the process to exit.
    pub(super) fn terminate(&self, program: &Program) {
        self.record_ending(program, End::Terminated);
        program.signal("TERM");
    }

    /// Waits for the exit of a terminated process; kills it after `MAX_STOP` and records a failure.
    pub(super) fn wait(&self, shared: &Shared, mut program: Program) {
        let started = Instant::now();
        loop {
            match program.child.try_wait().unwrap() {
                Some(status) if status.success() => break,
                Some(status) => {
                    shared.fail(format!(
                        "n{}: exited with {status} after SIGTERM",
                        self.number
                    ));
                    break;
                }
                None if started.elapsed() > MAX_STOP => {
                    shared.fail(format!(
                        "n{}: still running {MAX_STOP:?} after SIGTERM",
                        self.number
                    ));
                    return self.kill(shared, program);
                }
                None => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        self.record_exit(&program);
        self.check_log(shared, &program.rest_of_log());
    }

    fn check_log(&self, shared: &Shared, log: &[String]) {
        for line in log.iter().filter(|line| line.contains("panicked")) {
            shared.fail(format!("n{}: {line}", self.number));
        }
    }

    /// Ends the instance's last process, by SIGTERM if `gracefully` is set and by SIGKILL otherwise.
    pub(super) fn end(&self, shared: &Shared, gracefully: bool) {
        let Some(mut program) = self.program.lock().unwrap().take() else {
            return;
        };
        if let Some(status) = program.child.try_wait().unwrap() {
            shared.fail(format!(
                "n{}: exited without a signal from the test, with {status}",
                self.number
            ));
            return self.check_log(shared, &program.rest_of_log());
        }
        if gracefully {
            self.terminate(&program);
            self.wait(shared, program);
        } else {
            self.kill(shared, program);
        }
    }
}
