//! A short soak with real processes: signals, restarts and changes of the configuration that overlap, while clients submit
//! jobs over connections that stay open.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use std::path::Path;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");

/// `cargo run --profile system -p streamusher-controlplane --example soak -- --seed N` plays others.
#[rstest]
fn accepted_jobs_end_well_whatever_happens_to_the_processes(#[values(1, 2, 3)] seed: u64) {
    // Cargo builds examples beside the programs before it runs all tests of a package, though not for `--test NAME`.
    let example = Path::new(PROGRAM).with_file_name("examples").join("soak");
    let output = Command::new(example)
        .args(["--seconds", "15", "--seed"])
        .arg(seed.to_string())
        .env("STREAMUSHER_LOG", "warn")
        .output()
        .expect("build it first: cargo build -p streamusher-controlplane --example soak");
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}\n{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
}
