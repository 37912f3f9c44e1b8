//! Duration of elections with several simultaneous candidates.

mod cluster;

use cluster::Cluster;
use rstest::rstest;
use streamusher_protocol::Millis;

/// Number of seeds per case.
const SEEDS: u64 = 60;
/// Sync time of a slow disk.
const SLOW_SYNC_MS: Millis = 270;

/// All machines except a replica with a slow disk lose power and restart. Returns the time until a primary
/// acts, if one does within 5 s.
fn election_after_power_loss(
    size: usize,
    tolerance: usize,
    delay_ms: Millis,
    seed: u64,
) -> Option<Millis> {
    let mut cluster = Cluster::stable(size, tolerance, seed);
    let replicas = cluster.replicas();
    let choice = usize::try_from(seed).unwrap_or(0) % (replicas.len() - 1);
    let slow = replicas[1 + choice];
    cluster.delay_ms = delay_ms;
    cluster.nodes[slow].sync_ms = SLOW_SYNC_MS;
    let others: Vec<usize> = (0..size).filter(|index| *index != slow).collect();
    for index in &others {
        cluster.crash(*index);
    }
    cluster.run(1_000);
    for index in others {
        cluster.start(index);
        cluster.run(2);
    }
    cluster.run_until(5_000, |cluster| cluster.acting_primary().is_some())
}

#[rstest]
fn election_with_a_slow_candidate_ends_soon(
    #[values((5, 1), (9, 2))] (size, tolerance): (usize, usize),
    #[values(3, 12)] delay_ms: Millis,
) {
    let times = (1..=SEEDS).map(|seed| election_after_power_loss(size, tolerance, delay_ms, seed));
    let mut times: Vec<Millis> = times.map(|time| time.unwrap_or(Millis::MAX)).collect();
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{size} machines, delay {delay_ms}: median {median} ms, longest {longest} ms");
    assert!(median <= 600, "median {median}: {times:?}");
    assert!(longest <= 1_200, "longest {longest}: {times:?}");
}
