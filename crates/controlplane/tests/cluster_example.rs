//! Runs the example `cluster`, which newcomers start first: it must finish successfully.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::path::Path;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");

#[test]
fn cluster_example_runs_to_its_end_with_exit_code_0() {
    // Cargo builds the examples before it runs all tests of a package, but not for `--test NAME`.
    let example = Path::new(PROGRAM)
        .with_file_name("examples")
        .join("cluster");

    let output = Command::new(example)
        .env("STREAMUSHER_LOG", "info")
        .output();
    let output =
        output.expect("cannot start the example, build it first: cargo build -p streamusher-controlplane --example cluster");

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(
        output.status.code(),
        Some(0),
        "{text}\n{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in [
        "a1 is Succeeded",
        "b2 is Succeeded",
        "c3 is Cancelled",
        "next primary",
        "d4 is Succeeded",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let lines_of_changes = [
        ": primary ",
        "became primary in epoch ",
        "the primary of epoch ",
        "configuration 1 taken",
        "is known, at agent-1",
        "drains: it is given no more work",
        "shutting down: transferring leadership",
    ];
    for part in lines_of_changes {
        assert!(log.contains(part), "{part}: {log}");
    }
    assert!(
        !log.contains("fjall") && !log.contains("lsm_tree"),
        "libraries must not write to the log: {log}"
    );
}
