//! Fleets in virtual time, see `simulation`. No quota is exceeded after any step; once the load ends, all
//! members converge to the same, exact totals.
//!
//! `STREAMUSHER_SEED` sets the first seed and `STREAMUSHER_ROUNDS` the number of seeds; a failing seed is
//! printed.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod simulation;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use simulation::{Simulation, MS, SECOND, UNITS};
use streamusher_fleet::Micros;

fn number_from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| {
        value
            .parse()
            .unwrap_or_else(|_| panic!("{name}: not a number: {value}"))
    })
}

/// Units move to the member with the demand: one of twelve members receives all the traffic.
#[test]
fn one_loaded_member_borrows_nine_tenths_of_the_quota_in_two_seconds() {
    let mut simulation = Simulation::new(12, 0, 5);
    simulation.run(3 * SECOND, &[], 0.0);
    let before: u64 = simulation.sent_bytes;
    simulation.run(2 * SECOND, &[3], 3.0);
    assert!(
        simulation.used() >= UNITS * 9 / 10,
        "{} of {UNITS}",
        simulation.used()
    );
    let bytes_per_second = (simulation.sent_bytes - before) / 12 / 2;
    assert!(
        bytes_per_second < 40_000,
        "{bytes_per_second} bytes a second for each member"
    );
    // Units also follow when the traffic moves to another member.
    simulation.run(4 * SECOND, &[8], 3.0);
    assert!(
        simulation.used() >= UNITS * 9 / 10,
        "{} of {UNITS}",
        simulation.used()
    );
}

/// The smaller side serves with the units that it holds, then with its own share; after the partition all
/// members converge to the same totals.
#[test]
fn a_partition_keeps_the_quota_and_serves_the_floor() {
    let mut simulation = Simulation::new(6, 1, 6);
    simulation.run(3 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    simulation.partition(&[0, 1]);
    simulation.run(5 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    let floor: u64 = (0..2)
        .map(|i| simulation.members[i].allowances[0].in_use())
        .sum();
    assert!(floor >= 2, "the smaller part still serves: {floor}");
    simulation.run(15 * SECOND, &[0, 1, 2, 3, 4, 5], 1.0);
    simulation.slow_links.clear();
    let convergence_time = simulation.run_until_converged();
    assert!(
        (0..6).all(|i| simulation.served(i) == simulation.counted),
        "{} counted",
        simulation.counted
    );
    assert!(convergence_time < 20 * SECOND, "{convergence_time}");
}

/// A member is paused past the end of its lease while traffic waits: it acquires nothing until it has
/// received a datagram from another member.
#[test]
fn a_resumed_member_acquires_nothing_on_expired_leases() {
    let mut simulation = Simulation::new(4, 0, 7);
    simulation.run(3 * SECOND, &[], 0.0);
    simulation.run(2 * SECOND, &[2], 3.0);
    assert!(
        simulation.members[2].allowances[0].held().borrowed > 0,
        "it has borrowed"
    );
    simulation.members[2].paused_until = simulation.now + 5 * SECOND;
    // The other members use the units that they recover.
    simulation.run(5 * SECOND - MS, &[0, 1, 3], 3.0);
    // The member resumes: its jobs have ended, and a burst of requests in its sockets is handled before any
    // datagram.
    let acquired = simulation.burst(2, 300);
    assert_eq!(
        acquired, 0,
        "the member acquires units before it has received a datagram"
    );
    assert!(simulation.used() <= UNITS, "{}", simulation.used());
    simulation.run(3 * SECOND, &[0, 1, 2, 3], 2.0);
    assert!(
        simulation.members[2].allowances[0].in_use() > 0,
        "the member serves again afterwards"
    );
}

/// A member that is cut off serves requests and crashes: all answers that its clients received are in the
/// totals.
#[test]
fn answers_wait_until_their_count_is_replicated() {
    let mut simulation = Simulation::new(4, 2, 12);
    simulation.run(3 * SECOND, &[0], 0.5);
    simulation.partition(&[0]);
    simulation.run(300 * MS, &[0], 0.5);
    simulation.crash(0);
    simulation.slow_links.clear();
    let answered = simulation.answered;
    let counted = simulation.counted;
    assert!(
        answered > 500 && counted > answered,
        "{answered} answered of {counted}"
    );
    simulation.run_until_converged();
    assert!(
        simulation.served(1) >= answered,
        "{} in the totals, {answered} answered",
        simulation.served(1)
    );
}

/// A member that had lent units and one that had borrowed units crash at the same time; both restart.
#[test]
fn units_of_crashed_members_come_back_after_the_recovery_time() {
    let mut simulation = Simulation::new(4, 0, 8);
    simulation.run(3 * SECOND, &[], 0.0);
    simulation.run(2 * SECOND, &[1], 3.0);
    simulation.crash(1);
    simulation.crash(0);
    simulation.run(200 * MS, &[2], 3.0);
    simulation.restart(0);
    simulation.restart(1);
    simulation.run(500 * MS, &[0, 1, 2], 2.0);
    assert_eq!(
        simulation.members[0].allowances[0].held().own,
        0,
        "its earlier incarnation may have lent all it had"
    );
    simulation.run(5 * SECOND, &[2], 3.0);
    assert!(
        simulation.used() >= UNITS * 9 / 10,
        "units in use after the recovery: {}",
        simulation.used()
    );
}

/// A one-way cut: datagrams from one member to another are lost. The membership stays stable.
#[test]
fn a_one_way_cut_does_not_flap_membership() {
    let mut simulation = Simulation::new(5, 0, 9);
    simulation.run(5 * SECOND, &[], 0.0);
    let before: Vec<u64> = simulation
        .members
        .iter()
        .map(|member| member.node.status(0).membership_changes)
        .collect();
    simulation.slow_links.insert((0, 1), Micros::MAX);
    simulation.run(60 * SECOND, &[], 0.0);
    for (member, before) in simulation.members.iter().zip(before) {
        let changes = member.node.status(0).membership_changes - before;
        assert!(changes <= 2, "{changes} changes in a minute");
    }
}

/// One slow member does not delay the replication between the others.
#[test]
fn a_slow_member_does_not_delay_the_others() {
    let mut simulation = Simulation::new(8, 1, 10);
    simulation.run(3 * SECOND, &[], 0.0);
    for i in 0..7 {
        simulation.slow_links.insert((i, 7), 3 * SECOND);
        simulation.slow_links.insert((7, i), 3 * SECOND);
    }
    simulation.run(3 * SECOND, &[0, 1, 2], 0.5);
    simulation.run(2 * SECOND, &[], 0.0);
    let digests: Vec<String> = (0..7)
        .map(|i| simulation.members[i].node.totals().digest)
        .collect();
    assert!(
        digests.windows(2).all(|pair| pair[0] == pair[1]),
        "{digests:?}"
    );
    simulation.slow_links.clear();
    simulation.run_until_converged();
    assert_eq!(simulation.served(7), simulation.counted);
}

/// Repeated restarts: incarnations are compacted, memory stays bounded, and nothing is counted twice. This
/// also holds for a member that missed the compaction and returns with the old rows.
#[test]
fn compacted_incarnations_count_once_for_a_member_that_missed_the_compaction() {
    let mut simulation = Simulation::new(4, 2, 11);
    simulation.run(3 * SECOND, &[0, 1, 2, 3], 0.2);
    simulation.partition(&[3]);
    for round in 0..60 {
        simulation.run(700 * MS, &[0, 1, 2], 0.2);
        release_answers(&mut simulation);
        let i = round % 3;
        simulation.crash(i);
        simulation.restart(i);
        // The others forget the member that is cut off, as they would after ten minutes.
        for member in simulation.members.iter_mut().take(3) {
            member.node.forget_member("m3");
        }
    }
    simulation.run(30 * SECOND, &[0, 1, 2], 0.1);
    let status = simulation.members[0].node.status(0);
    let (incarnations, rows) = (status.incarnations, status.rows);
    assert!(
        incarnations <= 8 && rows <= 16,
        "{incarnations} incarnations, {rows} rows after 60 restarts"
    );
    simulation.slow_links.clear();
    simulation.run_until_converged();
    for i in 0..4 {
        assert!(
            simulation.served(i) >= simulation.answered
                && simulation.served(i) <= simulation.counted,
            "{} {} {}",
            simulation.served(i),
            simulation.answered,
            simulation.counted
        );
    }
}

/// Runs without load until no member except the last holds answers.
fn release_answers(simulation: &mut Simulation) {
    for _ in 0..5_000 {
        let mut members = simulation.members.iter().take(3);
        if members.all(|member| member.crashed || member.held_answers.is_empty()) {
            return;
        }
        simulation.step(&[], 0.0);
    }
    panic!("answers are still held after 5,000 steps");
}

/// Injects one random fault while the members in `loaded` are under load.
fn inject_fault(simulation: &mut Simulation, rng: &mut Pcg64, loaded: &[usize]) {
    match rng.random_range(0..7) {
        0 => {
            // One crash at a time, because one required copy tolerates no more, with time for replication in
            // between.
            let member = rng.random_range(0..5);
            if !simulation.members[member].crashed {
                simulation.crash(member);
                simulation.run(rng.random_range(10..600) * MS, loaded, 1.0);
                simulation.restart(member);
            }
        }
        1 => {
            let member = rng.random_range(0..5);
            let pause = rng.random_range(100..4_000) * MS;
            simulation.members[member].paused_until = simulation.now + pause;
        }
        2 => simulation.partition(&[rng.random_range(0..5), rng.random_range(0..5)]),
        3 => {
            let link = (rng.random_range(0..5), rng.random_range(0..5));
            simulation.slow_links.insert(link, Micros::MAX);
        }
        4 => {
            simulation.loss = rng.random_range(0.0..0.3);
            simulation.delay = rng.random_range(2..200) * MS;
        }
        _ => heal_network(simulation),
    }
}

fn heal_network(simulation: &mut Simulation) {
    simulation.slow_links.clear();
    simulation.loss = 0.0;
    simulation.delay = 2 * MS;
}

/// Random faults from seeds: no quota is ever exceeded, and all answered requests are in the converged
/// totals.
#[test]
fn random_faults_from_seeds() {
    let first_seed = number_from_environment("STREAMUSHER_SEED", 1);
    let rounds = number_from_environment("STREAMUSHER_ROUNDS", 6);
    for seed in first_seed..first_seed + rounds {
        println!("seed {seed}");
        let mut simulation = Simulation::new(5, 1, seed);
        simulation.run(2 * SECOND, &[], 0.0);
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xfa17);
        for _ in 0..25 {
            let loaded: Vec<usize> = (0..5).filter(|_| rng.random_bool(0.5)).collect();
            inject_fault(&mut simulation, &mut rng, &loaded);
            let time = rng.random_range(50..1_500) * MS;
            simulation.run(time, &loaded, rng.random_range(0.0..2.0));
            // Heals the network before the next crash: one required copy is not enough for two crashes at
            // once.
            heal_network(&mut simulation);
            let resume_by = simulation.now + 10 * MS;
            for member in &mut simulation.members {
                member.paused_until = member.paused_until.min(resume_by);
            }
            simulation.run(1_500 * MS, &loaded, 0.2);
        }
        simulation.run_until_converged();
        for member in 0..5 {
            let served = simulation.served(member);
            assert!(
                served >= simulation.answered && served <= simulation.counted,
                "seed {seed}: {served}, {} answered",
                simulation.answered
            );
        }
        assert!(
            simulation.answered > 100,
            "seed {seed}: {}",
            simulation.answered
        );
    }
}
