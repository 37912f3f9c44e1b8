//! SIGHUP: gates and agents reload the seeds from the settings file.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-data");

/// A process on loopback addresses that no other test uses.
struct Process {
    child: Child,
    network: String,
    command: &'static str,
    settings: PathBuf,
}

impl Process {
    fn start(network: String, command: &'static str, seeds: &str) -> Process {
        let name = format!("streamusher-reload-{}-{command}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        write_settings(&settings, &network, command, seeds);
        let mut program = Command::new(PROGRAM);
        program
            .arg(command)
            .env("STREAMUSHER_SETTINGS", &settings)
            .env_remove("STREAMUSHER_LOG");
        let child = program.stderr(Stdio::piped()).spawn().unwrap();
        Process {
            child,
            network,
            command,
            settings,
        }
    }

    fn reload(&self, seeds: &str) {
        write_settings(&self.settings, &self.network, self.command, seeds);
        let sent = Command::new("kill")
            .args(["-HUP", &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(sent.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn write_settings(path: &PathBuf, network: &str, command: &str, seeds: &str) {
    let party = if command == "gate" { "front" } else { "side" };
    let text = format!(
        "node_name = \"n\"\nserves = [\"{party}\"]\nip = \"{network}.1\"\nport_range = [7300, 7315]\nseeds = [{seeds}]\n\
         [listen]\nfront = \"{network}.1:8149\"\nready = \"{network}.1:8141\"\ncontrol = \"{network}.1:8144\"\n"
    );
    fs::write(path, text).unwrap();
}

fn wait_for(lines: &mut impl Iterator<Item = String>, part: &str) {
    assert!(
        lines.any(|line| line.contains(part)),
        "the log ended without {part:?}"
    );
}

#[rstest]
#[case("gate", 130)]
#[case("agent", 155)]
fn sighup_reloads_the_seeds_and_ignores_an_invalid_file(
    #[case] command: &'static str,
    #[case] base_octet: u32,
) {
    let pid = std::process::id();
    let network = format!("127.{}.{}", base_octet + pid % 25, pid / 25 % 250);
    let first_seed = TcpListener::bind(format!("{network}.2:7300")).unwrap();
    let second_seed = TcpListener::bind(format!("{network}.3:7300")).unwrap();
    let mut process = Process::start(network.clone(), command, &format!("\"{network}.2:8144\""));
    let mut lines = BufReader::new(process.child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // `accept` blocks until the process connects.
    first_seed.accept().unwrap();

    process.reload("\"nowhere\"");
    wait_for(&mut lines, "settings not reloaded, keeping the former ones");
    process.reload(&format!("\"{network}.3:8144\""));
    wait_for(&mut lines, "settings reloaded");

    second_seed.accept().unwrap();
}
