//! SIGHUP: the control plane's process takes over the seeds of the settings file.

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

/// A machine that is no member and asks its seeds to be let in; its addresses are this process's alone.
struct Newcomer {
    net: String,
    folder: TestFolder,
}

impl Newcomer {
    fn new() -> Newcomer {
        let pid = std::process::id();
        Newcomer {
            net: format!("127.{}.{}", 180 + pid % 30, pid / 30 % 250),
            folder: TestFolder::new(),
        }
    }

    fn internal(&self, machine: u8) -> String {
        format!("{}.{machine}:7300", self.net)
    }

    fn write_settings(&self, seeds: &str) {
        let net = &self.net;
        let data = self.folder.path().join("data");
        let text = format!(
            "ip = \"{net}.1\"\nport_range = [7300, 7315]\nseeds = [{seeds}]\nbootstrap = false\n\
             data_dir = \"{}\"\nlisten.control = \"{net}.1:8144\"\n",
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
    fn hang_up(&self) {
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
    let machine = Newcomer::new();
    let first = TcpListener::bind(machine.internal(2)).unwrap();
    let second = TcpListener::bind(machine.internal(3)).unwrap();
    machine.write_settings(&format!("\"{}.2:8144\"", machine.net));
    let mut process = machine.start();
    let mut lines = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // Both accepts wait until the process connects.
    first.accept().unwrap();

    machine.write_settings("\"nowhere\"");
    process.hang_up();
    wait_for(&mut lines, "settings not reloaded, keeping the former ones");
    machine.write_settings(&format!("\"{}.3:8144\"", machine.net));
    process.hang_up();
    wait_for(&mut lines, "settings reloaded");

    second.accept().unwrap();
}
