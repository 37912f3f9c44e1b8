//! The binary: its exit codes, and a gate from start to exit. The test waits for lines of the gate's log
//! before each next step.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

#[path = "support/primary.rs"]
mod primary;

use http::StatusCode;
use primary::{client_response, request, run, Primary, TEST_TIMEOUT};
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use streamusher_runtime::http::{json, Client, RequestError};

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-data");

/// A settings file that is deleted when dropped.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn write(name: &str, text: &str) -> SettingsFile {
        let path = std::env::temp_dir().join(format!(
            "streamusher-data-{}-{name}.toml",
            std::process::id()
        ));
        std::fs::write(&path, text).unwrap();
        SettingsFile(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn gate_settings(core_port: u16, front: SocketAddr, ready: SocketAddr) -> String {
    let last = core_port.saturating_add(15);
    format!(
        "node_name = \"front-1\"\nserves = [\"front\"]\nip = \"127.0.0.1\"\nport_range = [{core_port}, {last}]\n\
         seeds = [\"127.0.0.1:1\"]\n[listen]\nfront = \"{front}\"\nready = \"{ready}\"\n[bounds]\ngrace_s = 2\n"
    )
}

fn program(arguments: &[&str], settings: &Path) -> Command {
    let mut command = Command::new(PROGRAM);
    command
        .args(arguments)
        .env("STREAMUSHER_SETTINGS", settings)
        .env("STREAMUSHER_LOG", "info");
    command.stdin(Stdio::null());
    command
}

fn output(arguments: &[&str], settings: &Path) -> Output {
    program(arguments, settings).output().unwrap()
}

fn free_addresses() -> [SocketAddr; 2] {
    let listeners = [0, 1].map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

fn send_signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .args([name, &child.id().to_string()])
        .status()
        .unwrap();
    assert!(sent.success());
}

type Lines = tokio::sync::mpsc::UnboundedReceiver<String>;

/// Reads the process's log line by line. A thread reads it, since the test's primary runs on this thread.
fn spawn_log(log: impl std::io::Read + Send + 'static) -> Lines {
    let (sender, lines) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    lines
}

/// Waits until each of the `wanted` texts has occurred in a line of the log.
async fn wait_on(lines: &mut Lines, wanted: &[&str]) {
    let mut missing = wanted.to_vec();
    while !missing.is_empty() {
        let line = lines.recv().await.expect("the log ended too early");
        missing.retain(|text| !line.contains(text));
    }
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["door"], 2)]
#[case::no_settings(&["gate", "--check"], 2)]
fn exit_codes_of_command_lines(#[case] line: &[&str], #[case] code: i32) {
    let output = output(line, Path::new("/nonexistent/settings.toml"));

    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn check_accepts_a_gates_settings_for_a_gate_only() {
    let [front, ready] = free_addresses();
    let file = SettingsFile::write("check", &gate_settings(7_300, front, ready));

    let gate = output(&["gate", "--check"], &file.0);
    let agent = output(&["agent", "--check"], &file.0);

    assert_eq!(
        (gate.status.code(), agent.status.code()),
        (Some(0), Some(2))
    );
    assert!(String::from_utf8_lossy(&agent.stderr).contains("serves"));
}

#[test]
fn sigterm_drains_the_gate_and_exits_with_success() {
    run(async {
        let primary = Primary::start(|_request| {
            std::future::ready(json(StatusCode::OK, &client_response(200, "{}")))
        });
        let [front, ready] = free_addresses();
        let file =
            SettingsFile::write("life", &gate_settings(primary.address.port(), front, ready));
        let mut child = program(&["gate"], &file.0)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = child.stderr.take().unwrap();
        let mut log = spawn_log(log);
        wait_on(
            &mut log,
            &["accepting client requests", "the primary of epoch"],
        )
        .await;
        let probe = request("GET", "/streamusher/readiness", "");

        let response_before = Client::new(front)
            .send(request("POST", "/a/5c0e", "{}"), TEST_TIMEOUT)
            .await
            .unwrap();
        let ready_before = Client::new(ready)
            .send(probe.clone(), TEST_TIMEOUT)
            .await
            .unwrap();
        send_signal(&child, "-TERM");
        wait_on(&mut log, &["shutting down: gate not ready"]).await;
        let ready_after = Client::new(ready).send(probe, TEST_TIMEOUT).await.unwrap();
        let response_after = Client::new(front)
            .send(request("POST", "/a/5c0e", "{}"), TEST_TIMEOUT)
            .await
            .unwrap();
        let exit_status = tokio::task::spawn_blocking(move || child.wait().unwrap())
            .await
            .unwrap();
        let response_after_exit = Client::new(front)
            .send(request("POST", "/a/5c0e", "{}"), TEST_TIMEOUT)
            .await;

        assert_eq!(
            (response_before.status(), response_after.status()),
            (StatusCode::OK, StatusCode::OK)
        );
        assert_eq!(ready_before.status(), StatusCode::OK);
        assert_eq!(ready_after.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(exit_status.code(), Some(0));
        assert!(matches!(response_after_exit, Err(RequestError::NotSent(_))));
    });
}
