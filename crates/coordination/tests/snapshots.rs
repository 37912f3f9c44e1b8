//! Snapshots of the state: late acknowledgements, and members that are down while many changes are committed.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS};
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use streamusher_coordination::{Input, Message};
use streamusher_protocol::Millis;

/// A cluster of three machines that has committed this many values of 20 KB, and one of its replicas, whose
/// disk was erased.
fn with_a_wiped_replica(values: usize) -> (Cluster, usize) {
    let mut cluster = Cluster::stable(3, 1, 11);
    cluster.value_bytes = 20_000;
    cluster.append_interval_ms = 10;
    let enough = cluster.run_until(60_000, |cluster| cluster.checks.committed.len() >= values);
    assert!(enough.is_some(), "too few values: {}", cluster.describe());
    let replica = cluster.replicas()[1];
    cluster.wipe(replica);
    cluster.run(500);
    (cluster, replica)
}

#[test]
fn a_late_acknowledgement_of_part_0_does_not_delay_a_snapshot() {
    let (mut cluster, replica) = with_a_wiped_replica(300);
    let primary = cluster.replicas()[0];
    let acks: Rc<RefCell<Vec<Message>>> = Rc::default();
    let recorded_acks = acks.clone();
    cluster.drops_message = Some(Box::new(move |from, _, message| {
        if from == replica && matches!(message, Message::SnapshotAck { .. }) {
            recorded_acks.borrow_mut().push(message.clone());
        }
        false
    }));
    cluster.start(replica);
    let is_in_progress = |_: &Cluster| acks.borrow().len() >= 12;
    assert!(
        cluster.run_until(3_000, is_in_progress).is_some(),
        "no snapshot in progress: {}",
        cluster.describe()
    );
    let Some(Message::SnapshotAck { from, snapshot, .. }) = acks.borrow().first().cloned() else {
        panic!("no snapshot acknowledgement")
    };
    let address: Arc<str> = cluster.nodes[replica].address.internal.clone();
    let delayed_ack = Message::SnapshotAck {
        from,
        snapshot,
        next: 0,
    };
    cluster.handle_input(
        primary,
        Input::Received {
            from: address,
            message: delayed_ack,
        },
    );
    let caught_up = cluster.run_until(CATCH_UP_MS, Cluster::is_stable);
    assert!(
        caught_up.is_some_and(|took| took < 1_500),
        "{caught_up:?}: {}",
        cluster.describe()
    );
}

/// A machine that has missed changes catches up while as many more are committed, and is not elected before.
#[rstest]
#[case::batches_are_enough(10)]
#[case::a_snapshot(20_000)]
fn a_member_that_missed_hundreds_of_changes_catches_up_under_load(#[case] value_bytes: usize) {
    let mut cluster = Cluster::stable(5, 1, 13);
    let away = cluster.replicas()[1];
    cluster.crash(away);
    cluster.value_bytes = value_bytes;
    cluster.run(20_000);
    let missed = cluster.checks.committed.len();
    assert!(missed > 600, "only {missed} changes were missed");
    cluster.start(away);
    let caught_up = cluster.run_until(CATCH_UP_MS, Cluster::is_stable);
    assert!(
        caught_up.is_some(),
        "not up to date: {}",
        cluster.describe()
    );
    assert_eq!(
        cluster.nodes[away].elected, 0,
        "it was elected before it was up to date"
    );
    cluster.recover_and_check();
}

/// A snapshot whose receiver crashes, stalls or is partitioned, or whose sender restarts, starts again and
/// completes in time.
#[rstest]
fn an_interrupted_snapshot_starts_again_and_completes(
    #[values(
        Interruption::Crash,
        Interruption::Freeze,
        Interruption::Partition,
        Interruption::PrimaryRestart
    )]
    interruption: Interruption,
    #[values(5, 25, 60, 120)] after: Millis,
) {
    let (mut cluster, replica) = with_a_wiped_replica(300);
    cluster.start(replica);
    cluster.run(250 + after);
    match interruption {
        Interruption::Crash => {
            cluster.crash(replica);
            cluster.start(replica);
        }
        Interruption::Freeze => cluster.freeze(replica, 900),
        Interruption::Partition => {
            cluster.partition(&[replica]);
            cluster.run(900);
            cluster.restore_links();
        }
        Interruption::PrimaryRestart => {
            let primary = cluster.replicas()[0];
            cluster.crash(primary);
            cluster.start(primary);
        }
    }
    cluster.run(900);
    let caught_up = cluster.run_until(CATCH_UP_MS, Cluster::is_stable);
    assert!(
        caught_up.is_some(),
        "not up to date: {}",
        cluster.describe()
    );
    cluster.recover_and_check();
}

/// The fault that interrupts a snapshot.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    Crash,
    Freeze,
    Partition,
    PrimaryRestart,
}

/// State sizes are 1 MB, 10 MB, and 33 MB, the size with 10^5 jobs.
#[rstest]
fn a_replica_without_its_disk_catches_up_at_any_state_size(
    #[values(50, 500, 1_650)] values: usize,
) {
    let (mut cluster, replica) = with_a_wiped_replica(values);
    cluster.start(replica);
    let caught_up = cluster.run_until(CATCH_UP_MS, Cluster::is_stable);
    println!("{} kB: up to date after {caught_up:?} ms", values * 20);
    assert!(
        caught_up.is_some(),
        "not up to date: {}",
        cluster.describe()
    );
    assert_eq!(cluster.nodes[replica].elected, 0);
}
