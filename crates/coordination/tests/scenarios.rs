//! Single faults, each with the time within which the cluster has to recover.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS, LEASE_MS};
use rstest::rstest;
use streamusher_coordination::{Coordinator, DiskImage, Role};
use streamusher_protocol::Millis;

/// Time within which a successor acts after a primary is lost: lease, rank delay and jitter, two Paxos phases
/// and the first batch of the term.
const FAILOVER_MS: Millis = 1_500;

fn others(cluster: &Cluster, index: usize) -> Vec<usize> {
    (0..cluster.nodes.len())
        .filter(|other| *other != index)
        .collect()
}

fn acting_machine(cluster: &Cluster) -> usize {
    let acting_machine = cluster.acting_primary();
    assert!(
        acting_machine.is_some(),
        "no primary acts: {}",
        cluster.describe()
    );
    acting_machine.unwrap_or(0)
}

/// Runs until a machine other than `former` acts.
fn wait_for_successor(cluster: &mut Cluster, former: usize, max_ms: Millis) -> Millis {
    let took = cluster.run_until(max_ms, |cluster| {
        cluster
            .acting_primary()
            .is_some_and(|acting_machine| acting_machine != former)
    });
    assert!(
        took.is_some(),
        "no successor within {max_ms} ms: {}",
        cluster.describe()
    );
    took.unwrap_or(max_ms)
}

/// Runs until any machine acts.
fn wait_for_primary(cluster: &mut Cluster, max_ms: Millis) -> Millis {
    let took = cluster.run_until(max_ms, |cluster| cluster.acting_primary().is_some());
    assert!(
        took.is_some(),
        "no primary acts within {max_ms} ms: {}",
        cluster.describe()
    );
    took.unwrap_or(max_ms)
}

/// Checks that new appends are committed.
fn assert_commits_progress(cluster: &mut Cluster) {
    let before = cluster.checks.committed.len();
    cluster.run(500);
    assert!(
        cluster.checks.committed.len() > before + 5,
        "no progress: {}",
        cluster.describe()
    );
}

#[rstest]
#[case(3, 1)]
#[case(4, 1)]
#[case(5, 1)]
#[case(5, 2)]
#[case(6, 2)]
#[case(9, 2)]
fn bootstrap_elects_a_primary_with_all_members(#[case] size: usize, #[case] tolerance: usize) {
    let mut cluster = Cluster::new(size, tolerance, 1);
    cluster.start_all();
    wait_for_primary(&mut cluster, 500);
    cluster.run_until_stable(1_500);
    assert_commits_progress(&mut cluster);
}

#[test]
fn bootstrap_elects_a_primary_with_an_absent_seed() {
    let mut cluster = Cluster::new(5, 1, 1);
    for index in 1..5 {
        cluster.start(index);
    }
    wait_for_primary(&mut cluster, 1_000);
    cluster.run_until_stable(2_000);
}

#[rstest]
fn killed_primary_is_succeeded(#[values(3, 5)] size: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::stable(size, 1, seed);
    let former = acting_machine(&cluster);
    cluster.crash(former);
    let took = wait_for_successor(&mut cluster, former, FAILOVER_MS);
    assert!(
        took >= LEASE_MS / 2,
        "a successor acted before the lease expired: {took}"
    );
    assert_commits_progress(&mut cluster);
    cluster.start(former);
    cluster.run_until_stable(CATCH_UP_MS);
}

#[test]
fn restarted_primary_ends_its_lease_early() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let former = acting_machine(&cluster);
    let epoch = cluster.record(former).map_or(0, |record| record.epoch);
    cluster.crash(former);
    cluster.start(former);
    let took = wait_for_primary(&mut cluster, 400);
    assert!(
        took > 10,
        "the restarted primary acted by its former record"
    );
    let successor = acting_machine(&cluster);
    assert!(cluster
        .record(successor)
        .is_some_and(|record| record.epoch > epoch));
    assert_commits_progress(&mut cluster);
}

#[rstest]
fn partitioned_primary_stops_before_its_successor_acts(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::stable(5, 1, seed);
    let former = acting_machine(&cluster);
    cluster.partition(&[former]);
    wait_for_successor(&mut cluster, former, FAILOVER_MS);
    assert_commits_progress(&mut cluster);
    cluster.run(5_000);
    assert!(!cluster.nodes[former]
        .process
        .as_ref()
        .is_some_and(|process| process.may_act(cluster.now)));
    cluster.restore_links();
    cluster.run_until_stable(CATCH_UP_MS);
}

#[rstest]
fn only_the_larger_side_of_a_partition_acts(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::stable(5, 1, seed);
    let former = acting_machine(&cluster);
    let choice = usize::try_from(seed).unwrap_or(0) % 4;
    let other = others(&cluster, former)[choice];
    cluster.partition(&[former, other]);
    wait_for_successor(&mut cluster, former, 3_000);
    assert_commits_progress(&mut cluster);
    cluster.restore_links();
    cluster.run_until_stable(CATCH_UP_MS);
}

#[rstest]
fn primary_cut_off_in_one_direction_is_succeeded(#[values(true, false)] blocks_incoming: bool) {
    let mut cluster = Cluster::stable(5, 1, 3);
    let former = acting_machine(&cluster);
    for other in others(&cluster, former) {
        cluster.blocked_links.insert(if blocks_incoming {
            (other, former)
        } else {
            (former, other)
        });
    }
    wait_for_successor(&mut cluster, former, 2_500);
    assert_commits_progress(&mut cluster);
    cluster.restore_links();
    cluster.run_until_stable(CATCH_UP_MS);
}

#[rstest]
fn stalled_primary_does_not_act_after_its_lease(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::stable(5, 1, seed);
    let former = acting_machine(&cluster);
    cluster.freeze(former, 3_000);
    wait_for_successor(&mut cluster, former, FAILOVER_MS);
    assert_commits_progress(&mut cluster);
    cluster.run(4_000);
    let role = cluster.nodes[former]
        .process
        .as_ref()
        .map(|process| process.status(cluster.now).role);
    assert_ne!(role, Some(Role::Primary));
    cluster.run_until_stable(CATCH_UP_MS);
}

#[test]
fn stalled_replica_does_not_depose_the_primary() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let primary = acting_machine(&cluster);
    let replica = cluster.replicas()[1];
    cluster.freeze(replica, 3_000);
    cluster.run(3_000 + CATCH_UP_MS);
    assert_eq!(acting_machine(&cluster), primary, "{}", cluster.describe());
    assert!(cluster.is_stable(), "{}", cluster.describe());
}

#[rstest]
#[case(3, 1)]
#[case(5, 1)]
#[case(5, 2)]
#[case(6, 2)]
#[case(9, 2)]
fn committed_data_survives_power_loss_with_lost_disks(
    #[case] size: usize,
    #[case] tolerance: usize,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut cluster = Cluster::stable(size, tolerance, seed);
    cluster.run(seed * 17);
    // The lost disks are those of replicas, the primary's first.
    let wiped: Vec<usize> = cluster.replicas().into_iter().take(tolerance).collect();
    for index in 0..size {
        if wiped.contains(&index) {
            cluster.wipe(index);
        } else {
            cluster.crash(index);
        }
    }
    cluster.run(600);
    cluster.start_all();
    // The handler of `Elected` checks the state against all committed keys.
    wait_for_primary(&mut cluster, 1_500);
    assert_commits_progress(&mut cluster);
    cluster.run_until_stable(CATCH_UP_MS);
}

#[test]
fn nobody_is_elected_without_committed_data() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let replicas = cluster.replicas();
    // The seeds hold the state, so a machine that reused its former id after losing its disk would be
    // elected.
    let wiped = replicas
        .iter()
        .copied()
        .find(|index| *index < 3 && *index != replicas[0])
        .unwrap_or(1);
    for index in 0..5 {
        if index == wiped {
            cluster.wipe(index);
        } else {
            cluster.crash(index);
        }
    }
    for index in 0..5 {
        if index == wiped || !replicas.contains(&index) {
            cluster.start(index);
        }
    }
    cluster.run(5_000);
    let elected: u64 = cluster.nodes.iter().map(|node| node.elected).sum();
    assert_eq!(
        elected,
        1,
        "a machine without the committed state was elected: {}",
        cluster.describe()
    );
    cluster.start_all();
    wait_for_primary(&mut cluster, 1_500);
    cluster.run_until_stable(CATCH_UP_MS);
}

#[test]
fn commit_is_on_more_disks_than_may_be_lost() {
    let mut cluster = Cluster::stable(5, 2, 1);
    let slow: Vec<usize> = cluster.replicas().into_iter().skip(1).collect();
    for index in slow {
        cluster.nodes[index].sync_ms = 100;
    }
    // The handler of `Committed` checks the disks.
    cluster.run(2_000);
    assert_commits_progress(&mut cluster);
}

#[rstest]
fn machine_with_a_lost_disk_rejoins_as_new_member(#[values(3, 5)] size: usize) {
    let mut cluster = Cluster::stable(size, 1, 2);
    let wiped = cluster.replicas()[1];
    let old = cluster.id(wiped);
    cluster.wipe(wiped);
    cluster.run(300);
    cluster.start(wiped);
    cluster.run_until_stable(CATCH_UP_MS);
    let record = cluster.record(acting_machine(&cluster));
    assert!(record.as_ref().is_some_and(|record| !record.is_member(old)));
    assert!(record.is_some_and(|record| record.members.len() == size));
}

#[test]
fn joining_machine_replaces_an_absent_member() {
    let mut cluster = Cluster::stable(5, 1, 2);
    let failed = cluster.replicas()[1];
    let old = cluster.id(failed);
    cluster.crash(failed);
    cluster.run(6_000);
    let new = cluster.add_machine();
    cluster.start(new);
    cluster.run_until_stable(CATCH_UP_MS);
    let record = cluster.record(acting_machine(&cluster));
    assert!(record
        .as_ref()
        .is_some_and(|record| !record.is_member(old) && record.members.len() == 5));
    assert_commits_progress(&mut cluster);
}

#[test]
fn all_members_can_be_replaced_one_by_one() {
    let mut cluster = Cluster::stable(5, 1, 2);
    for failed in 0..5 {
        cluster.crash(failed);
        cluster.run(1_000);
        let new = cluster.add_machine();
        cluster.seeds = (failed + 1..failed + 4)
            .map(|seed| cluster.nodes[seed].address.clone())
            .collect();
        cluster.start(new);
        cluster.run(8_000);
        let record = cluster.record(acting_machine(&cluster));
        assert!(
            record.is_some_and(|record| record.members.len() == 5),
            "{}",
            cluster.describe()
        );
    }
    assert_commits_progress(&mut cluster);
    // The original seeds are gone: a member still finds the other members.
    cluster.seeds = (0..3)
        .map(|seed| cluster.nodes[seed].address.clone())
        .collect();
    cluster.crash(5);
    cluster.run(500);
    cluster.start(5);
    cluster.run_until_stable(CATCH_UP_MS);
}

#[test]
fn replica_with_a_slow_disk_is_dropped_and_comes_back() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let replica = cluster.replicas()[1];
    cluster.nodes[replica].sync_ms = 3_000;
    cluster.run(1_000);
    assert_commits_progress(&mut cluster);
    let slow = cluster.id(replica);
    let record = cluster.record(acting_machine(&cluster));
    assert!(record.is_some_and(|record| !record.is_replica(slow)));
    cluster.restore_links();
    cluster.run(CATCH_UP_MS);
    cluster.run_until_stable(CATCH_UP_MS);
}

#[rstest]
#[case::stalls(3_000, false)]
#[case::slow(270, false)]
#[case::full(9, true)]
fn primary_with_an_unfit_disk_transfers_leadership(#[case] sync_ms: Millis, #[case] is_full: bool) {
    let mut cluster = Cluster::stable(5, 1, 1);
    let former = acting_machine(&cluster);
    cluster.nodes[former].sync_ms = sync_ms;
    cluster.nodes[former].disk_fails = is_full;
    let took = wait_for_successor(&mut cluster, former, 1_500);
    assert_commits_progress(&mut cluster);
    assert!(took < 1_500);
}

#[test]
fn appends_commit_with_all_disks_slow() {
    let mut cluster = Cluster::stable(5, 1, 1);
    for node in &mut cluster.nodes {
        node.sync_ms = 270;
    }
    let before = cluster.checks.committed.len();
    cluster.run(10_000);
    assert!(
        cluster.checks.committed.len() > before + 100,
        "{}",
        cluster.describe()
    );
}

#[rstest]
fn leaving_primary_transfers_leadership_at_once(
    #[values(3, 5)] size: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::stable(size, 1, seed);
    let former = acting_machine(&cluster);
    cluster.leave(former);
    let took = wait_for_successor(&mut cluster, former, 400);
    assert!(took < 400);
    let may_leave = |cluster: &Cluster| {
        cluster.nodes[former]
            .process
            .as_ref()
            .is_some_and(Coordinator::may_leave)
    };
    assert!(
        cluster.run_until(500, may_leave).is_some(),
        "{}",
        cluster.describe()
    );
    assert_commits_progress(&mut cluster);
}

#[test]
fn leaving_replica_is_replaced_at_once() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let replica = cluster.replicas()[1];
    cluster.leave(replica);
    let may_leave = |cluster: &Cluster| {
        cluster.nodes[replica]
            .process
            .as_ref()
            .is_some_and(Coordinator::may_leave)
    };
    assert!(
        cluster.run_until(500, may_leave).is_some(),
        "{}",
        cluster.describe()
    );
    cluster.crash(replica);
    assert_commits_progress(&mut cluster);
    assert!(cluster.replicas().len() >= 3, "{}", cluster.describe());
}

#[rstest]
fn rolling_restart_does_not_wait_for_leases(#[values(3, 5, 9)] size: usize) {
    let mut cluster = Cluster::stable(size, 1, 1);
    for index in 0..size {
        cluster.leave(index);
        let may_leave = |cluster: &Cluster| {
            cluster.nodes[index]
                .process
                .as_ref()
                .is_some_and(Coordinator::may_leave)
        };
        cluster.run_until(3_000, may_leave);
        cluster.crash(index);
        wait_for_primary(&mut cluster, 200);
        cluster.run(300);
        cluster.start(index);
        wait_for_primary(&mut cluster, 200);
        cluster.run_until_stable(CATCH_UP_MS);
    }
}

#[test]
fn replica_catches_up_with_a_large_state_under_load() {
    let mut cluster = Cluster::stable(3, 1, 1);
    cluster.value_bytes = 20_000;
    cluster.append_interval_ms = 10;
    cluster.run(8_000);
    let replica = cluster.replicas()[1];
    cluster.wipe(replica);
    cluster.run(500);
    cluster.start(replica);
    cluster.run_until_stable(CATCH_UP_MS);
    cluster.append_interval_ms = 1_000_000;
    cluster.run(1_000);
    cluster.check_replicas_agree();
}

#[test]
fn appends_commit_over_lossy_links() {
    let mut cluster = Cluster::stable(5, 1, 1);
    cluster.loss_rate = 0.1;
    cluster.duplication_rate = 0.2;
    cluster.delay_ms = 40;
    let before = cluster.checks.committed.len();
    cluster.run(10_000);
    assert!(
        cluster.checks.committed.len() > before + 100,
        "{}",
        cluster.describe()
    );
    cluster.restore_links();
    cluster.run_until_stable(CATCH_UP_MS);
}

#[test]
fn bootstrap_is_ignored_on_a_used_disk() {
    let mut cluster = Cluster::stable(3, 1, 1);
    let ids: Vec<_> = (0..3).map(|index| cluster.id(index)).collect();
    cluster.bootstrap = true;
    for index in 0..3 {
        cluster.crash(index);
        cluster.start(index);
    }
    wait_for_primary(&mut cluster, 1_500);
    assert_eq!(
        ids,
        (0..3).map(|index| cluster.id(index)).collect::<Vec<_>>()
    );
}

#[test]
fn view_names_no_lost_primary() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let former = acting_machine(&cluster);
    let witness = others(&cluster, former)[3];
    let view = |cluster: &Cluster| {
        cluster.nodes[witness]
            .process
            .as_ref()
            .map(|process| process.view(cluster.now))
            .unwrap_or_default()
    };
    let address = |cluster: &Cluster, index: usize| Some(cluster.nodes[index].address.clone());
    assert_eq!(view(&cluster).primary, address(&cluster, former));
    assert_eq!(view(&cluster).members.len(), 5);
    cluster.crash(former);
    wait_for_successor(&mut cluster, former, FAILOVER_MS);
    cluster.run(300);
    let successor = acting_machine(&cluster);
    assert_eq!(view(&cluster).primary, address(&cluster, successor));
    cluster.partition(&[witness]);
    cluster.run(2_000);
    assert_eq!(view(&cluster).primary, None);
}

#[test]
fn appends_of_a_deposed_primary_are_not_committed() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let former = acting_machine(&cluster);
    cluster.partition(&[former]);
    cluster.run(100);
    let Some(process) = cluster.nodes[former].process.as_ref() else {
        return;
    };
    let committed = process.committed();
    assert!(process.appended() > committed);
    wait_for_successor(&mut cluster, former, FAILOVER_MS);
    cluster.restore_links();
    cluster.run(2_000);
    let Some(process) = cluster.nodes[former].process.as_ref() else {
        return;
    };
    assert_eq!(process.committed(), committed);
    assert_ne!(process.status(cluster.now).role, Role::Primary);
}

#[test]
fn single_member_acts() {
    let mut cluster = Cluster::new(1, 0, 1);
    cluster.start_all();
    wait_for_primary(&mut cluster, 500);
    assert_commits_progress(&mut cluster);
    cluster.crash(0);
    cluster.start(0);
    wait_for_primary(&mut cluster, 500);
}

#[test]
fn nothing_is_sent_before_the_first_sync() {
    let mut cluster = Cluster::new(3, 1, 1);
    for node in &mut cluster.nodes {
        node.sync_ms = 2_000;
    }
    cluster.start_all();
    cluster.run(1_900);
    let epochs: u64 = cluster
        .nodes
        .iter()
        .filter_map(|node| node.process.as_ref())
        .map(Coordinator::epoch)
        .sum();
    assert_eq!(epochs, 0);
    assert!(cluster
        .nodes
        .iter()
        .all(|node| node.durable.witness == DiskImage::default().witness));
}

#[test]
fn two_primaries_never_act_over_many_seeds() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(5, 1, seed);
        cluster.start_all();
        cluster.run(1_000);
        let cut_off = cluster.acting_primary().unwrap_or(0);
        // Every step checks that at most one machine may act.
        cluster.partition(&[cut_off]);
        cluster.run(3_000);
        cluster.restore_links();
        cluster.run(1_000);
    }
}

#[test]
fn former_replicas_are_kept_until_the_new_primary_acts() {
    let mut cluster = Cluster::stable(5, 1, 1);
    let replicas = cluster.replicas();
    let first = replicas[1];
    (0..5).for_each(|index| cluster.crash(index));
    for index in (0..5).filter(|index| *index == first || !replicas.contains(index)) {
        cluster.start(index);
    }
    let is_elected = |cluster: &Cluster| cluster.nodes[first].elected == 1;
    assert!(
        cluster.run_until(2_000, is_elected).is_some(),
        "{}",
        cluster.describe()
    );
    cluster.wipe(first);
    cluster.start_all();
    // The handler of `Elected` checks the state against all committed keys.
    wait_for_primary(&mut cluster, 2_500);
    assert_commits_progress(&mut cluster);
}
