//! Snapshots of the state: late acknowledgements, and members that are away while many changes are made.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS};
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use streamusher_coordination::{Input, Message};
use streamusher_protocol::Millis;

/// Three machines with so many values of 20 KB each, and a replica that comes back with an empty disk.
fn with_a_wiped_replica(values: usize) -> (Cluster, usize) {
    let mut cluster = Cluster::calm(3, 1, 11);
    cluster.value_bytes = 20_000;
    cluster.append_every_ms = 10;
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
    let words: Rc<RefCell<Vec<Message>>> = Rc::default();
    let noted = words.clone();
    cluster.loses = Some(Box::new(move |from, _, message| {
        if from == replica && matches!(message, Message::SnapshotAck { .. }) {
            noted.borrow_mut().push(message.clone());
        }
        false
    }));
    cluster.start(replica);
    let is_under_way = |_: &Cluster| words.borrow().len() >= 12;
    assert!(
        cluster.run_until(3_000, is_under_way).is_some(),
        "no copy: {}",
        cluster.describe()
    );
    let Some(Message::SnapshotAck { from, snapshot, .. }) = words.borrow().first().cloned() else {
        panic!("no word")
    };
    let address: Arc<str> = cluster.nodes[replica].address.internal.clone();
    let late = Message::SnapshotAck {
        from,
        snapshot,
        next: 0,
    };
    cluster.handle_input(
        primary,
        Input::Received {
            from: address,
            message: late,
        },
    );
    let level = cluster.run_until(CATCH_UP_MS, Cluster::is_calm);
    assert!(
        level.is_some_and(|took| took < 1_500),
        "{level:?}: {}",
        cluster.describe()
    );
}

/// A machine that has missed changes is brought up while as many more are made, and neither leads nor counts before.
#[rstest]
#[case::batches_are_enough(10)]
#[case::a_snapshot(20_000)]
fn a_member_that_missed_hundreds_of_changes_catches_up_under_load(#[case] value_bytes: usize) {
    let mut cluster = Cluster::calm(5, 1, 13);
    let away = cluster.replicas()[1];
    cluster.crash(away);
    cluster.value_bytes = value_bytes;
    cluster.run(20_000);
    let missed = cluster.checks.committed.len();
    assert!(missed > 600, "only {missed} changes were missed");
    cluster.start(away);
    let level = cluster.run_until(CATCH_UP_MS, Cluster::is_calm);
    assert!(level.is_some(), "not level: {}", cluster.describe());
    assert_eq!(cluster.nodes[away].elected, 0, "it led before it was level");
    cluster.settle();
}

/// Whoever is cut off, frozen or restarted in the middle of its copy begins anew and is level in time.
#[rstest]
fn an_interrupted_snapshot_starts_again_and_completes(
    #[values(Break::Crash, Break::Freeze, Break::Cut, Break::Primary)] how: Break,
    #[values(5, 25, 60, 120)] after: Millis,
) {
    let (mut cluster, replica) = with_a_wiped_replica(300);
    cluster.start(replica);
    cluster.run(250 + after);
    match how {
        Break::Crash => {
            cluster.crash(replica);
            cluster.start(replica);
        }
        Break::Freeze => cluster.freeze(replica, 900),
        Break::Cut => {
            cluster.cut(&[replica]);
            cluster.run(900);
            cluster.restore_links();
        }
        Break::Primary => {
            let primary = cluster.replicas()[0];
            cluster.crash(primary);
            cluster.start(primary);
        }
    }
    cluster.run(900);
    let level = cluster.run_until(CATCH_UP_MS, Cluster::is_calm);
    assert!(level.is_some(), "not level: {}", cluster.describe());
    cluster.settle();
}

/// What breaks a copy off.
#[derive(Clone, Copy, Debug)]
enum Break {
    Crash,
    Freeze,
    Cut,
    Primary,
}

/// By the size of the state: 1 MB, 10 MB, and 33 MB, which is 10^5 jobs.
#[rstest]
fn a_replica_without_its_disk_catches_up_at_any_state_size(
    #[values(50, 500, 1_650)] values: usize,
) {
    let (mut cluster, replica) = with_a_wiped_replica(values);
    cluster.start(replica);
    let level = cluster.run_until(CATCH_UP_MS, Cluster::is_calm);
    println!("{} kB: level after {level:?} ms", values * 20);
    assert!(level.is_some(), "not level: {}", cluster.describe());
    assert_eq!(cluster.nodes[replica].elected, 0);
}
