//! A second loss at every instant of the repair of a first one. The first loss takes a disk; from then on each message that
//! comes and each change of a disk is an instant, and the second loss is placed after each in a run of its own.
//!
//! Disks are lost again when the guarantee allows it: as many as the tolerance from the moment at which a primary acts by a
//! record that does not count on the first lost disk and whose members then still have a majority; at the latest a fixed time
//! after the first machine, or its successor, has started. Other losses may come at any moment, also of all machines at once.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS};
use rstest::rstest;
use streamusher_coordination::Coordinator;
use streamusher_coordination::DiskId;
use streamusher_protocol::Millis;

/// One in so many instants is run; `SECOND_LOSS_STRIDE=1` runs all.
fn stride() -> usize {
    const STRIDE: usize = 53;
    std::env::var("SECOND_LOSS_STRIDE")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(STRIDE)
}

/// Instants that are looked at: beyond them the repair is over in every shape below.
const INSTANTS: usize = 700;
/// How long the first machine is away.
const AWAY_MS: Millis = 300;
/// How long a machine that is asked to leave may take.
const GRACE_MS: Millis = 6_000;
/// How long the second loss lasts.
const SECOND_MS: Millis = 500;
/// Bytes of each value: snapshots then take many parts.
const VALUE_BYTES: usize = 20_000;

#[derive(Clone, Copy, Debug)]
enum First {
    /// The primary's machine comes back without its disk.
    WipePrimary,
    /// A replica's machine comes back without its disk.
    WipeReplica,
    /// The primary's machine is gone for good; an empty one comes at another address.
    ReplacePrimary,
    /// The primary is asked to leave, and its machine is then replaced.
    RetirePrimary,
    /// A replica is asked to leave, and its machine is then replaced.
    RetireReplica,
    /// A machine that is no replica, where there is one, is gone for good; an empty one comes at another address.
    ReplaceWitness,
    /// Another machine is there first; then the primary is asked to leave and does not come back.
    PlanPrimary,
    /// The same for the last machine.
    PlanLast,
}

impl First {
    fn is_asked_to_leave(self) -> bool {
        matches!(
            self,
            First::RetirePrimary | First::RetireReplica | First::PlanPrimary | First::PlanLast
        )
    }

    /// The successor has had its time before the machine goes.
    fn is_planned(self) -> bool {
        matches!(self, First::PlanPrimary | First::PlanLast)
    }

    fn returns(self) -> bool {
        matches!(self, First::WipePrimary | First::WipeReplica)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    /// Whoever acts, or else the oldest replica left, loses its disk.
    WipeActor,
    /// Another replica than the primary loses its disk.
    WipeReplica,
    /// As `WipeActor`, and all others lose power at the same moment.
    WipeActorAndPower,
    /// All lose power.
    Power,
    /// Whoever acts is killed.
    KillActor,
    /// Whoever acts is cut off.
    CutActor,
    /// Whoever acts is asked to leave.
    LeaveActor,
    /// The members are cut into halves.
    Halves,
}

const SECONDS: [Second; 8] = [
    Second::WipeActor,
    Second::WipeReplica,
    Second::WipeActorAndPower,
    Second::Power,
    Second::KillActor,
    Second::CutActor,
    Second::LeaveActor,
    Second::Halves,
];

impl Second {
    fn takes_a_disk(self) -> bool {
        matches!(
            self,
            Second::WipeActor | Second::WipeReplica | Second::WipeActorAndPower
        )
    }
}

/// A cluster that has just lost a first disk.
struct Scenario {
    cluster: Cluster,
    lost: DiskId,
    back: Option<usize>,
}

impl Scenario {
    fn new(size: usize, tolerance: usize, first: First) -> Scenario {
        let mut cluster = Cluster::calm(size, tolerance, 7);
        cluster.value_bytes = VALUE_BYTES;
        cluster.run(1_000);
        let replicas = cluster.replicas();
        let last = size - 1;
        let victim = match first {
            First::WipePrimary
            | First::ReplacePrimary
            | First::RetirePrimary
            | First::PlanPrimary => replicas[0],
            First::WipeReplica | First::RetireReplica => replicas[1],
            First::ReplaceWitness => (0..size)
                .find(|index| !replicas.contains(index))
                .unwrap_or(last),
            First::PlanLast => last,
        };
        let lost_disk = cluster.id(victim);
        let mut back = Some(victim);
        if !first.returns() {
            back = Some(cluster.add_machine());
        }
        if let Some(successor) = back.take_if(|_| first.is_planned()) {
            cluster.start(successor);
            cluster.run(CATCH_UP_MS);
        }
        if first.is_asked_to_leave() {
            cluster.leave(victim);
            let may_leave = |cluster: &Cluster| {
                cluster.nodes[victim]
                    .process
                    .as_ref()
                    .is_none_or(Coordinator::may_leave)
            };
            cluster.run_until(GRACE_MS, may_leave);
        }
        cluster.wipe(victim);
        if !first.returns() {
            cluster.remove(victim);
        }
        Scenario {
            cluster,
            lost: lost_disk,
            back,
        }
    }

    /// Lets so many instants pass; the first machine comes back meanwhile.
    fn pass(&mut self, instants: usize, since: Millis) {
        for _ in 0..instants {
            self.cluster.run_steps(1, AWAY_MS);
            let is_back = self.cluster.now >= since + AWAY_MS;
            if let Some(back) = self.back.take_if(|_| is_back) {
                self.cluster.start(back);
            }
        }
    }

    /// Whether as many disks as the tolerance may be lost again: a primary acts that does not count on the lost one, enough
    /// members to decide are left then, and one that has its record on disk.
    fn is_made_good(&self) -> bool {
        let actor = self.cluster.actor();
        let Some(record) = actor.and_then(|actor| self.cluster.record(actor)) else {
            return false;
        };
        let sound = record
            .members
            .iter()
            .filter(|member| member.id != self.lost)
            .count();
        let is_majority = sound >= record.majority() + self.cluster.tolerance;
        let disks = self
            .cluster
            .nodes
            .iter()
            .filter_map(|node| node.durable.witness.as_ref());
        let holders = disks
            .filter(|witness| witness.decided.epoch >= record.epoch)
            .count();
        is_majority && holders > self.cluster.tolerance && !record.is_replica(self.lost)
    }

    /// The machine that acts; else one that holds what is committed: a replica by the newest record that is known.
    fn actor_or_replica(&self) -> usize {
        let newest = (0..self.cluster.nodes.len()).filter_map(|index| self.cluster.record(index));
        let newest = newest.max_by_key(|record| record.epoch);
        let is_replica = |index: &usize| {
            newest
                .as_ref()
                .is_some_and(|record| record.is_replica(self.cluster.id(*index)))
        };
        let replica = || (0..self.cluster.nodes.len()).find(is_replica);
        self.cluster.actor().or_else(replica).unwrap_or(0)
    }

    /// The replicas in their order, as many as may be lost, from a place on.
    fn victims(&self, from: usize) -> Vec<usize> {
        let replicas = self.cluster.replicas();
        let most = self.cluster.tolerance;
        let victims: Vec<usize> = replicas.into_iter().skip(from).take(most).collect();
        if victims.is_empty() {
            vec![self.actor_or_replica()]
        } else {
            victims
        }
    }

    fn strike(&mut self, second: Second) {
        let target = self.actor_or_replica();
        let victims = self.victims(usize::from(second == Second::WipeReplica));
        let cluster = &mut self.cluster;
        match second {
            Second::WipeActor | Second::WipeReplica => {
                for index in victims {
                    cluster.wipe(index);
                }
            }
            Second::WipeActorAndPower => {
                for index in victims {
                    cluster.wipe(index);
                }
                cluster.power_loss(0);
            }
            Second::Power => cluster.power_loss(0),
            Second::KillActor => cluster.crash(target),
            Second::CutActor => cluster.cut(&[target]),
            Second::LeaveActor => cluster.leave(target),
            Second::Halves => {
                let half: Vec<usize> = (0..cluster.nodes.len() / 2).collect();
                cluster.cut(&half);
            }
        }
    }

    /// Ends the second loss and checks that all goes on and nothing is lost.
    fn end(mut self) {
        self.cluster.run(SECOND_MS);
        if let Some(back) = self.back {
            self.cluster.start(back);
        }
        self.cluster.settle();
    }
}

/// Plays one pair of losses at one instant; false where the second one is not borne then.
fn play(size: usize, tolerance: usize, first: First, second: Second, instant: usize) -> bool {
    let mut scenario = Scenario::new(size, tolerance, first);
    scenario.cluster.record_event(format!(
        "{size} machines, tolerance {tolerance}: {first:?}, {second:?} after {instant}"
    ));
    let since = scenario.cluster.now;
    scenario.pass(instant, since);
    if second.takes_a_disk() && !scenario.is_made_good() {
        return false;
    }
    scenario.strike(second);
    scenario.end();
    true
}

#[rstest]
fn second_loss_at_any_instant_of_a_repair_loses_nothing(
    #[values((3, 1), (4, 1), (5, 1), (5, 2), (7, 2))] shape: (usize, usize),
    #[values(
        First::WipePrimary,
        First::WipeReplica,
        First::ReplacePrimary,
        First::RetirePrimary,
        First::RetireReplica,
        First::ReplaceWitness,
        First::PlanPrimary,
        First::PlanLast
    )]
    first: First,
) {
    let mut played = 0;
    for second in SECONDS {
        for instant in (0..INSTANTS).step_by(stride()) {
            played += usize::from(play(shape.0, shape.1, first, second, instant));
        }
    }
    println!("{shape:?} {first:?}: {played} pairs of losses");
    assert!(
        played > 5 * INSTANTS / stride(),
        "only {played} pairs were played"
    );
}

/// What operators rely on: the second loss comes at the moment at which the first one does not count any more.
#[rstest]
fn losing_tolerated_disks_after_a_repair_loses_nothing(
    #[values((3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (7, 2), (9, 2))] shape: (usize, usize),
    #[values(
        First::WipePrimary,
        First::WipeReplica,
        First::ReplacePrimary,
        First::ReplaceWitness,
        First::PlanPrimary,
        First::PlanLast
    )]
    first: First,
) {
    for second in SECONDS {
        let mut scenario = Scenario::new(shape.0, shape.1, first);
        scenario.cluster.record_event(format!(
            "{shape:?}: {first:?}, {second:?} once it has caught up"
        ));
        if let Some(back) = scenario.back.take() {
            scenario.cluster.run(AWAY_MS);
            scenario.cluster.start(back);
            scenario.cluster.run(CATCH_UP_MS);
        }
        scenario.strike(second);
        scenario.end();
    }
}
