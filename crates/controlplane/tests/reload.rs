//! SIGHUP: the control machine process applies the seeds of the changed settings file.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use support::TestFolder;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");

/// A machine that is not a member of the cluster and asks its seeds to join. Its addresses are used by this
/// test process only.
struct JoiningMachine {
    network_prefix: String,
    folder: TestFolder,
}

impl JoiningMachine {
    fn new() -> JoiningMachine {
        let pid = std::process::id();
        JoiningMachine {
            network_prefix: format!("127.{}.{}", 180 + pid % 30, pid / 30 % 250),
            folder: TestFolder::new(),
        }
    }

    fn internal(&self, machine: u8) -> String {
        format!("{}.{machine}:7300", self.network_prefix)
    }

    fn write_settings(&self, seeds: &str) {
        let network_prefix = &self.network_prefix;
        let data = self.folder.path().join("data");
        let text = format!(
            "ip = \"{network_prefix}.1\"\nport_range = [7300, 7315]\nseeds = [{seeds}]\nbootstrap = false\n\
             data_dir = \"{}\"\nlisten.control = \"{network_prefix}.1:8144\"\n",
            data.display()
        );
        fs::write(self.folder.path().join("settings.toml"), text).unwrap();
    }

    fn start(&self) -> Process {
        let settings = self.folder.path().join("settings.toml");
        let mut command = Command::new(PROGRAM);
        command
            .env("STREAMUSHER_SETTINGS", settings)
            .env_remove("STREAMUSHER_LOG");
        Process(command.stderr(Stdio::piped()).spawn().unwrap())
    }
}

struct Process(Child);

impl Process {
    fn send_sighup(&self) {
        let sent = Command::new("kill")
            .args(["-HUP", &self.0.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_for(lines: &mut impl Iterator<Item = String>, part: &str) {
    assert!(
        lines.any(|line| line.contains(part)),
        "the log ended without {part:?}"
    );
}

#[test]
fn sighup_applies_new_seeds_and_ignores_a_wrong_file() {
    let machine = JoiningMachine::new();
    let first = TcpListener::bind(machine.internal(2)).unwrap();
    let second = TcpListener::bind(machine.internal(3)).unwrap();
    machine.write_settings(&format!("\"{}.2:8144\"", machine.network_prefix));
    let mut process = machine.start();
    let mut lines = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // Both calls of `accept` wait until the process connects.
    first.accept().unwrap();

    machine.write_settings("\"nowhere\"");
    process.send_sighup();
    wait_for(&mut lines, "settings not reloaded, keeping the former ones");
    machine.write_settings(&format!("\"{}.3:8144\"", machine.network_prefix));
    process.send_sighup();
    wait_for(&mut lines, "settings reloaded");

    second.accept().unwrap();
}
