//! A short soak with real processes: signals, restarts and configuration changes overlap while clients submit
//! jobs over persistent connections.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use std::path::Path;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_streamusher-control");

/// Other seeds: `cargo run --profile system -p streamusher-controlplane --example soak -- --seed N`.
#[rstest]
fn accepted_jobs_reach_their_expected_state_despite_disruptions(#[values(1, 2, 3)] seed: u64) {
    run_soak(seed);
}

/// On a heavily loaded machine, a gate that was not killed closed a connection without a response.
#[test]
fn gates_answer_the_requests_that_they_have_read_in_the_soak_of_seed_305() {
    run_soak(305);
}

fn run_soak(seed: u64) {
    // Cargo builds the examples before it runs all tests of a package, but not for `--test NAME`.
    let example = Path::new(PROGRAM).with_file_name("examples").join("soak");
    let output = Command::new(example)
        .args(["--seconds", "15", "--seed"])
        .arg(seed.to_string())
        .env("STREAMUSHER_LOG", "warn")
        .output()
        .expect("cannot start the example, build it first: cargo build -p streamusher-controlplane --example soak");
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}\n{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
}
