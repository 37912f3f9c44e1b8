//! Single faults, each with the time within which the cluster has to recover.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS, LEASE_MS};
use rstest::rstest;
use streamusher_coordination::{Coordinator, DiskImage, Role};
use streamusher_protocol::Millis;

/// A successor acts by then after a primary is gone: lease, rank and jitter, two phases and the opening batch.
const FAILOVER_MS: Millis = 1_500;

fn others(cluster: &Cluster, index: usize) -> Vec<usize> {
    (0..cluster.nodes.len())
        .filter(|other| *other != index)
        .collect()
}

fn actor(cluster: &Cluster) -> usize {
    let actor = cluster.actor();
    assert!(actor.is_some(), "nobody acts: {}", cluster.describe());
    actor.unwrap_or(0)
}

/// Runs until another machine than `former` acts.
fn another_acts(cluster: &mut Cluster, former: usize, most: Millis) -> Millis {
    let took = cluster.run_until(most, |cluster| {
        cluster.actor().is_some_and(|actor| actor != former)
    });
    assert!(
        took.is_some(),
        "no successor in {most} ms: {}",
        cluster.describe()
    );
    took.unwrap_or(most)
}

/// Runs until somebody acts.
fn somebody_acts(cluster: &mut Cluster, most: Millis) -> Millis {
    let took = cluster.run_until(most, |cluster| cluster.actor().is_some());
    assert!(
        took.is_some(),
        "nobody acts in {most} ms: {}",
        cluster.describe()
    );
    took.unwrap_or(most)
}

/// Work goes on: new appends are committed.
fn work_goes_on(cluster: &mut Cluster) {
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
    somebody_acts(&mut cluster, 500);
    cluster.run_until_calm(1_500);
    work_goes_on(&mut cluster);
}

#[test]
fn bootstrap_elects_a_primary_with_an_absent_seed() {
    let mut cluster = Cluster::new(5, 1, 1);
    for index in 1..5 {
        cluster.start(index);
    }
    somebody_acts(&mut cluster, 1_000);
    cluster.run_until_calm(2_000);
}

#[rstest]
fn killed_primary_is_succeeded(#[values(3, 5)] size: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::calm(size, 1, seed);
    let former = actor(&cluster);
    cluster.crash(former);
    let took = another_acts(&mut cluster, former, FAILOVER_MS);
    assert!(took >= LEASE_MS / 2, "before the lease was over: {took}");
    work_goes_on(&mut cluster);
    cluster.start(former);
    cluster.run_until_calm(CATCH_UP_MS);
}

#[test]
fn restarted_primary_ends_its_lease_early() {
    let mut cluster = Cluster::calm(5, 1, 1);
    let former = actor(&cluster);
    let epoch = cluster.record(former).map_or(0, |record| record.epoch);
    cluster.crash(former);
    cluster.start(former);
    let took = somebody_acts(&mut cluster, 400);
    assert!(took > 10, "it acted on its old record");
    let now_acting = actor(&cluster);
    assert!(cluster
        .record(now_acting)
        .is_some_and(|record| record.epoch > epoch));
    work_goes_on(&mut cluster);
}

#[rstest]
fn partitioned_primary_stops_before_its_successor_acts(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = Cluster::calm(5, 1, seed);
    let former = actor(&cluster);
    cluster.cut(&[former]);
    another_acts(&mut cluster, former, FAILOVER_MS);
    work_goes_on(&mut cluster);
    cluster.run(5_000);
    assert!(!cluster.nodes[former]
        .process
        .as_ref()
        .is_some_and(|process| process.may_act(cluster.now)));
    cluster.restore_links();
    cluster.run_until_calm(CATCH_UP_MS);
}

#[rstest]
fn only_the_larger_side_of_a_partition_acts(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::calm(5, 1, seed);
    let former = actor(&cluster);
    let choice = usize::try_from(seed).unwrap_or(0) % 4;
    let other = others(&cluster, former)[choice];
    cluster.cut(&[former, other]);
    another_acts(&mut cluster, former, 3_000);
    work_goes_on(&mut cluster);
    cluster.restore_links();
    cluster.run_until_calm(CATCH_UP_MS);
}

#[rstest]
fn primary_cut_off_in_one_direction_is_succeeded(#[values(true, false)] is_deaf: bool) {
    let mut cluster = Cluster::calm(5, 1, 3);
    let former = actor(&cluster);
    for other in others(&cluster, former) {
        cluster.cuts.insert(if is_deaf {
            (other, former)
        } else {
            (former, other)
        });
    }
    another_acts(&mut cluster, former, 2_500);
    work_goes_on(&mut cluster);
    cluster.restore_links();
    cluster.run_until_calm(CATCH_UP_MS);
}

#[rstest]
fn stalled_primary_does_not_act_after_its_lease(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::calm(5, 1, seed);
    let former = actor(&cluster);
    cluster.freeze(former, 3_000);
    another_acts(&mut cluster, former, FAILOVER_MS);
    work_goes_on(&mut cluster);
    cluster.run(4_000);
    let role = cluster.nodes[former]
        .process
        .as_ref()
        .map(|process| process.status(cluster.now).role);
    assert_ne!(role, Some(Role::Primary));
    cluster.run_until_calm(CATCH_UP_MS);
}

#[test]
fn stalled_replica_does_not_depose_the_primary() {
    let mut cluster = Cluster::calm(5, 1, 1);
    let primary = actor(&cluster);
    let replica = cluster.replicas()[1];
    cluster.freeze(replica, 3_000);
    cluster.run(3_000 + CATCH_UP_MS);
    assert_eq!(actor(&cluster), primary, "{}", cluster.describe());
    assert!(cluster.is_calm(), "{}", cluster.describe());
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
    let mut cluster = Cluster::calm(size, tolerance, seed);
    cluster.run(seed * 17);
    // The disks that are lost are those of replicas, the primary's first.
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
    // `Elected` checks the state against all that was committed.
    somebody_acts(&mut cluster, 1_500);
    work_goes_on(&mut cluster);
    cluster.run_until_calm(CATCH_UP_MS);
}

#[test]
fn nobody_is_elected_without_committed_data() {
    let mut cluster = Cluster::calm(5, 1, 1);
    let replicas = cluster.replicas();
    // The seeds hold the state, so a machine that took its old name again would be believed.
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
        "somebody was elected without the state: {}",
        cluster.describe()
    );
    cluster.start_all();
    somebody_acts(&mut cluster, 1_500);
    cluster.run_until_calm(CATCH_UP_MS);
}

#[test]
fn commit_is_on_more_disks_than_may_be_lost() {
    let mut cluster = Cluster::calm(5, 2, 1);
    let slow: Vec<usize> = cluster.replicas().into_iter().skip(1).collect();
    for index in slow {
        cluster.nodes[index].sync_ms = 100;
    }
    // `Committed` checks the disks.
    cluster.run(2_000);
    work_goes_on(&mut cluster);
}

#[rstest]
fn machine_with_a_lost_disk_rejoins_as_new_member(#[values(3, 5)] size: usize) {
    let mut cluster = Cluster::calm(size, 1, 2);
    let wiped = cluster.replicas()[1];
    let old = cluster.id(wiped);
    cluster.wipe(wiped);
    cluster.run(300);
    cluster.start(wiped);
    cluster.run_until_calm(CATCH_UP_MS);
    let record = cluster.record(actor(&cluster));
    assert!(record.as_ref().is_some_and(|record| !record.is_member(old)));
    assert!(record.is_some_and(|record| record.members.len() == size));
}

#[test]
fn joining_machine_replaces_an_absent_member() {
    let mut cluster = Cluster::calm(5, 1, 2);
    let gone = cluster.replicas()[1];
    let old = cluster.id(gone);
    cluster.crash(gone);
    cluster.run(6_000);
    let new = cluster.add_machine();
    cluster.start(new);
    cluster.run_until_calm(CATCH_UP_MS);
    let record = cluster.record(actor(&cluster));
    assert!(record
        .as_ref()
        .is_some_and(|record| !record.is_member(old) && record.members.len() == 5));
    work_goes_on(&mut cluster);
}

#[test]
fn all_members_can_be_replaced_one_by_one() {
    let mut cluster = Cluster::calm(5, 1, 2);
    for gone in 0..5 {
        cluster.crash(gone);
        cluster.run(1_000);
        let new = cluster.add_machine();
        cluster.seeds = (gone + 1..gone + 4)
            .map(|seed| cluster.nodes[seed].address.clone())
            .collect();
        cluster.start(new);
        cluster.run(8_000);
        let record = cluster.record(actor(&cluster));
        assert!(
            record.is_some_and(|record| record.members.len() == 5),
            "{}",
            cluster.describe()
        );
    }
    work_goes_on(&mut cluster);
    // The seeds are gone: a member still finds the others.
    cluster.seeds = (0..3)
        .map(|seed| cluster.nodes[seed].address.clone())
        .collect();
    cluster.crash(5);
    cluster.run(500);
    cluster.start(5);
    cluster.run_until_calm(CATCH_UP_MS);
}

#[test]
fn replica_with_a_slow_disk_is_dropped_and_comes_back() {
    let mut cluster = Cluster::calm(5, 1, 1);
    let replica = cluster.replicas()[1];
    cluster.nodes[replica].sync_ms = 3_000;
    cluster.run(1_000);
    work_goes_on(&mut cluster);
    let slow = cluster.id(replica);
    let record = cluster.record(actor(&cluster));
    assert!(record.is_some_and(|record| !record.is_replica(slow)));
    cluster.restore_links();
    cluster.run(CATCH_UP_MS);
    cluster.run_until_calm(CATCH_UP_MS);
}

#[rstest]
#[case::stalls(3_000, false)]
#[case::slow(270, false)]
#[case::full(9, true)]
fn primary_with_an_unfit_disk_transfers_leadership(#[case] sync_ms: Millis, #[case] is_full: bool) {
    let mut cluster = Cluster::calm(5, 1, 1);
    let former = actor(&cluster);
    cluster.nodes[former].sync_ms = sync_ms;
    cluster.nodes[former].disk_fails = is_full;
    let took = another_acts(&mut cluster, former, 1_500);
    work_goes_on(&mut cluster);
    assert!(took < 1_500);
}

#[test]
fn appends_commit_with_all_disks_slow() {
    let mut cluster = Cluster::calm(5, 1, 1);
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
    let mut cluster = Cluster::calm(size, 1, seed);
    let former = actor(&cluster);
    cluster.leave(former);
    let took = another_acts(&mut cluster, former, 400);
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
    work_goes_on(&mut cluster);
}

#[test]
fn leaving_replica_is_replaced_at_once() {
    let mut cluster = Cluster::calm(5, 1, 1);
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
    work_goes_on(&mut cluster);
    assert!(cluster.replicas().len() >= 3, "{}", cluster.describe());
}

#[rstest]
fn rolling_restart_waits_for_no_lease(#[values(3, 5, 9)] size: usize) {
    let mut cluster = Cluster::calm(size, 1, 1);
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
        somebody_acts(&mut cluster, 200);
        cluster.run(300);
        cluster.start(index);
        somebody_acts(&mut cluster, 200);
        cluster.run_until_calm(CATCH_UP_MS);
    }
}

#[test]
fn replica_catches_up_with_a_large_state_under_load() {
    let mut cluster = Cluster::calm(3, 1, 1);
    cluster.value_bytes = 20_000;
    cluster.append_every_ms = 10;
    cluster.run(8_000);
    let replica = cluster.replicas()[1];
    cluster.wipe(replica);
    cluster.run(500);
    cluster.start(replica);
    cluster.run_until_calm(CATCH_UP_MS);
    cluster.append_every_ms = 1_000_000;
    cluster.run(1_000);
    cluster.check_replicas_agree();
}

#[test]
fn appends_commit_over_lossy_links() {
    let mut cluster = Cluster::calm(5, 1, 1);
    cluster.loss = 0.1;
    cluster.doubled = 0.2;
    cluster.delay_ms = 40;
    let before = cluster.checks.committed.len();
    cluster.run(10_000);
    assert!(
        cluster.checks.committed.len() > before + 100,
        "{}",
        cluster.describe()
    );
    cluster.restore_links();
    cluster.run_until_calm(CATCH_UP_MS);
}

#[test]
fn bootstrap_is_ignored_on_a_used_disk() {
    let mut cluster = Cluster::calm(3, 1, 1);
    let ids: Vec<_> = (0..3).map(|index| cluster.id(index)).collect();
    cluster.bootstrap = true;
    for index in 0..3 {
        cluster.crash(index);
        cluster.start(index);
    }
    somebody_acts(&mut cluster, 1_500);
    assert_eq!(
        ids,
        (0..3).map(|index| cluster.id(index)).collect::<Vec<_>>()
    );
}

#[test]
fn view_names_no_lost_primary() {
    let mut cluster = Cluster::calm(5, 1, 1);
    let former = actor(&cluster);
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
    another_acts(&mut cluster, former, FAILOVER_MS);
    cluster.run(300);
    let successor = actor(&cluster);
    assert_eq!(view(&cluster).primary, address(&cluster, successor));
    cluster.cut(&[witness]);
    cluster.run(2_000);
    assert_eq!(view(&cluster).primary, None);
}

#[test]
fn appends_of_a_deposed_primary_are_not_committed() {
    let mut cluster = Cluster::calm(5, 1, 1);
    let former = actor(&cluster);
    cluster.cut(&[former]);
    cluster.run(100);
    let Some(process) = cluster.nodes[former].process.as_ref() else {
        return;
    };
    let committed = process.committed();
    assert!(process.appended() > committed);
    another_acts(&mut cluster, former, FAILOVER_MS);
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
    somebody_acts(&mut cluster, 500);
    work_goes_on(&mut cluster);
    cluster.crash(0);
    cluster.start(0);
    somebody_acts(&mut cluster, 500);
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
        let cut_off = cluster.actor().unwrap_or(0);
        // Every step checks that one at most may act.
        cluster.cut(&[cut_off]);
        cluster.run(3_000);
        cluster.restore_links();
        cluster.run(1_000);
    }
}

#[test]
fn former_replicas_count_until_the_elected_one_acts() {
    let mut cluster = Cluster::calm(5, 1, 1);
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
    // `Elected` checks the state against all that was committed.
    somebody_acts(&mut cluster, 2_500);
    work_goes_on(&mut cluster);
}
