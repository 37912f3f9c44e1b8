//! Search over seeds: random faults, checks after every step, and progress after the repair.

mod cluster;

use cluster::Cluster;
use rstest::rstest;

/// Number of seeds for each size and tolerance; `COORDINATION_SEEDS` overrides it.
fn seeds() -> u64 {
    const SEEDS: u64 = 25;
    std::env::var("COORDINATION_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

#[rstest]
#[case::three_machines(3, 1)]
#[case::four_machines(4, 1)]
#[case::five_machines(5, 1)]
#[case::five_machines_two_disks(5, 2)]
#[case::six_machines_two_disks(6, 2)]
#[case::nine_machines_two_disks(9, 2)]
fn nothing_is_lost_under_random_faults(#[case] size: usize, #[case] tolerance: usize) {
    for seed in 0..seeds() {
        search(size, tolerance, seed);
    }
}

#[rstest]
#[case::three_machines(3, 1)]
#[case::five_machines(5, 1)]
#[case::five_machines_two_disks(5, 2)]
fn nothing_is_lost_under_overlapping_faults(#[case] size: usize, #[case] tolerance: usize) {
    for seed in 0..seeds() {
        let mut cluster = Cluster::stable(size, tolerance, seed);
        cluster.record_event(format!(
            "overlapping faults: size {size} tolerance {tolerance} seed {seed}"
        ));
        cluster.run_overlapping_faults(10_000);
        cluster.recover_and_check();
    }
}

fn search(size: usize, tolerance: usize, seed: u64) {
    let mut cluster = Cluster::stable(size, tolerance, seed);
    cluster.record_event(format!("size {size} tolerance {tolerance} seed {seed}"));
    // With every second seed, values are large, so that a snapshot takes many parts.
    cluster.value_bytes = if seed.is_multiple_of(2) { 10 } else { 2_000 };
    cluster.run_faults(12);
    cluster.recover_and_check();
}
