//! The program's command line: argument checks, exit codes, and termination by SIGTERM.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::fs;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use streamusher_controlplane::options::{self, ClusterAddresses, FairShareSource, StatusFormat};
use streamusher_controlplane::store::{Store, FORMAT, STORE_FOLDER};
use streamusher_fair_share::FairShareSettings;
use streamusher_protocol::internal::ExplainRequest;
use support::TestFolder;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");
const MAX_WAIT: Duration = Duration::from_secs(30);

fn run(arguments: &[&str], settings: Option<&Path>) -> Output {
    command(arguments, settings).output().unwrap()
}

fn command(arguments: &[&str], settings: Option<&Path>) -> Command {
    let mut command = Command::new(PROGRAM);
    command
        .args(arguments)
        .env_remove("STREAMUSHER_SETTINGS")
        .env_remove("STREAMUSHER_LOG");
    if let Some(path) = settings {
        command.env("STREAMUSHER_SETTINGS", path);
    }
    command
}

/// Writes settings for a single machine, on an address that only this process uses. Leaves out lines that
/// start with `without`.
fn settings_file(folder: &TestFolder, without: &str) -> (PathBuf, String) {
    let pid = std::process::id();
    let ip = format!("127.{}.{}.1", 221 + pid % 30, pid / 30 % 250);
    let control = format!("{ip}:8144");
    let lines = [
        format!("ip = \"{ip}\""),
        "port_range = [7300, 7315]".to_owned(),
        format!("seeds = [\"{control}\"]"),
        "bootstrap = true".to_owned(),
        format!("data_dir = \"{}\"", folder.path().join("data").display()),
        format!("listen.control = \"{control}\""),
    ];
    let kept: Vec<String> = lines
        .into_iter()
        .filter(|line| !line.starts_with(without))
        .collect();
    let path = folder.path().join("settings.toml");
    fs::write(&path, kept.join("\n")).unwrap();
    (path, control)
}

fn only_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

fn cluster(addresses: &[&str], settings: Option<&str>) -> ClusterAddresses {
    ClusterAddresses {
        addresses: addresses
            .iter()
            .map(|address| address.parse().unwrap())
            .collect(),
        settings: settings.map(PathBuf::from),
    }
}

#[rstest]
#[case(&[], options::Command::Run { log_level: None, fair_share: None })]
#[case(&["--log-level", "debug"], options::Command::Run { log_level: Some(log::LevelFilter::Debug), fair_share: None })]
#[case(&["--share-debt", "600"],
    options::Command::Run { log_level: None, fair_share: Some(FairShareSource::CommandLine(FairShareSettings::with_half_life(600_000))) })]
#[case(&["--share-debt-settings", "debts.toml"],
    options::Command::Run { log_level: None, fair_share: Some(FairShareSource::File("debts.toml".into())) })]
#[case(&["--check"], options::Command::CheckSettings(None))]
#[case(&["check"], options::Command::CheckSettings(None))]
#[case(&["check", "--share-debt-settings", "debts.toml"],
    options::Command::CheckSettings(Some(FairShareSource::File("debts.toml".into()))))]
#[case(&["explain", "job", "5c0e7a21d94b36f8"], options::Command::Explain {
    request: ExplainRequest::Job("5c0e7a21d94b36f8".parse().unwrap()), cluster: cluster(&[], None) })]
#[case(&["explain", "user", "scans", "10.0.0.1:7300", "--settings", "core.toml"], options::Command::Explain {
    request: ExplainRequest::User("scans".into()), cluster: cluster(&["10.0.0.1:7300"], Some("core.toml")) })]
#[case(&["check", "--configuration", "c.toml"], options::Command::CheckConfiguration("c.toml".into()))]
#[case(&["show-disk", "data"], options::Command::ShowDisk("data".into()))]
#[case(&["status"], options::Command::Status { cluster: cluster(&[], None), format: StatusFormat::Tables })]
#[case(&["status", "--json", "127.0.0.1:7300"],
    options::Command::Status { cluster: cluster(&["127.0.0.1:7300"], None), format: StatusFormat::Json })]
#[case(&["status", "--settings", "s.toml"],
    options::Command::Status { cluster: cluster(&[], Some("s.toml")), format: StatusFormat::Tables })]
#[case(&["--check-configuration", "c.json"], options::Command::CheckConfiguration("c.json".into()))]
fn arguments_are_parsed(#[case] arguments: &[&str], #[case] command: options::Command) {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();

    assert_eq!(options::parse(&arguments), Ok(command));
}

#[rstest]
#[case(&["--chek"], "chek")]
#[case(&["gate"], "gate")]
#[case(&["--share-debt", "soon"], "--share-debt")]
#[case(&["--share-debt", "9"], "half_life_ms is 9000: give 10000")]
#[case(&["--check-configuration"], "check-configuration")]
#[case(&["--log-level", "loud"], "loud")]
#[case(&["status", "somewhere"], "somewhere")]
#[case(&["check", "c.json"], "c.json")]
#[case(&["--share-debt", "600", "--share-debt-settings", "d.toml"], "give one of them")]
#[case(&["--share-debt-settings", "/nowhere/debts.toml"], "/nowhere/debts.toml")]
#[case(&["explain"], "explain job ID")]
#[case(&["explain", "job", "xyz"], "xyz")]
#[case(&["explain", "user", "scans", "somewhere"], "somewhere")]
#[case(&["show-disk"], "data folder")]
#[case(&["show-disk", "a", "b"], "\"b\"")]
fn invalid_argument_is_reported_with_exit_code_2(
    #[case] arguments: &[&str],
    #[case] expected_text: &str,
) {
    let output = run(arguments, None);

    assert_eq!(output.status.code(), Some(2));
    assert!(only_line(&output).contains(expected_text));
}

#[test]
fn help_is_printed_with_exit_code_0() {
    let output = run(&["--help"], None);

    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("--check-configuration FILE"));
}

#[test]
fn check_of_settings_exits_with_0_and_creates_no_store() {
    let folder = TestFolder::new();
    let (settings, _) = settings_file(&folder, "(none)");

    let output = run(&["--check"], Some(&settings));

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(!folder.path().join("data").exists());
}

#[rstest]
#[case("data_dir")]
#[case("listen.control")]
#[case("seeds")]
fn missing_setting_is_reported_with_exit_code_2(#[case] key: &str) {
    let folder = TestFolder::new();
    let (settings, _) = settings_file(&folder, key);

    for arguments in [&["--check"][..], &[]] {
        let output = run(arguments, Some(&settings));

        assert_eq!(output.status.code(), Some(2));
        assert!(only_line(&output).contains(key), "{output:?}");
    }
}

#[rstest]
#[case(r#"{"version":3}"#, 0)]
#[case(r#"{"version":"three"}"#, 2)]
#[case(r#"{"version":"#, 2)]
fn check_of_configuration_exits_by_its_validity(#[case] text: &str, #[case] code: i32) {
    let folder = TestFolder::new();
    let file = folder.path().join("configuration.json");
    fs::write(&file, text).unwrap();

    let output = run(&["--check-configuration", file.to_str().unwrap()], None);
    let by_command = run(&["check", "--configuration", file.to_str().unwrap()], None);

    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert_eq!(by_command, output);
}

#[test]
fn newer_store_format_is_reported_with_exit_code_2() {
    let folder = TestFolder::new();
    let (settings, _) = settings_file(&folder, "(none)");
    let data = folder.path().join("data");
    drop(Store::open(&data).unwrap());
    let database = fjall::Database::builder(data.join(STORE_FOLDER))
        .open()
        .unwrap();
    let keyspace = database.keyspace("control", Default::default).unwrap();
    keyspace
        .insert("m/format", (FORMAT + 1).to_string())
        .unwrap();
    database.persist(fjall::PersistMode::SyncAll).unwrap();
    drop(keyspace);
    drop(database);

    let output = run(&[], Some(&settings));

    assert_eq!(output.status.code(), Some(2));
    assert!(only_line(&output).contains("format 2"), "{output:?}");
}

#[test]
fn sigterm_ends_process_with_exit_code_0() {
    let folder = TestFolder::new();
    let (settings, control) = settings_file(&folder, "(none)");
    let mut process = command(&[], Some(&settings))
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap();
    wait_until_listening(&mut process, &control);

    let sent = Command::new("kill")
        .args(["-TERM", &process.id().to_string()])
        .status()
        .unwrap();

    assert!(sent.success());
    assert_eq!(process.wait().unwrap().code(), Some(0));
}

fn wait_until_listening(process: &mut Child, address: &str) {
    let started = Instant::now();
    while TcpStream::connect(address).is_err() {
        assert!(
            process.try_wait().unwrap().is_none(),
            "the process ended before it listened"
        );
        assert!(
            started.elapsed() < MAX_WAIT,
            "the process does not listen at {address} within {MAX_WAIT:?}"
        );
        std::thread::yield_now();
    }
}
