//! Consistent hashing: maps the key of a request's subject to its preferred workers.

use super::Worker;
use crate::interface::WorkerId;

/// Points of each worker on the ring, enough to distribute keys about evenly.
const POINTS_PER_WORKER: usize = 8;

/// A consistent-hash ring of workers, equal at every dispatcher with the same worker list.
pub(super) struct HashRing {
    points: Vec<(u64, WorkerId)>,
}

impl HashRing {
    pub(super) fn new(members: &[WorkerId], workers: &[Worker]) -> HashRing {
        let points_of = |&member: &WorkerId| {
            let hash = workers[member.index()].endpoint.hash;
            (0..POINTS_PER_WORKER as u64).map(move |point| (mix(hash, point), member))
        };
        let mut points: Vec<_> = members.iter().flat_map(points_of).collect();
        points.sort_unstable();
        HashRing { points }
    }

    /// The first `count` distinct workers that follow a key on the ring.
    pub(super) fn successors(&self, key: u64, count: usize) -> Vec<WorkerId> {
        let hash = mix(key, 0);
        let start = self.points.partition_point(|point| point.0 < hash);
        let (before, after) = self.points.split_at(start);
        let mut successors = Vec::with_capacity(count);
        for &(_, worker) in after.iter().chain(before).take(POINTS_PER_WORKER * count) {
            if successors.len() < count && !successors.contains(&worker) {
                successors.push(worker);
            }
        }
        successors
    }
}

/// Mixes two numbers into one (the finalizer of splitmix64).
fn mix(value: u64, salt: u64) -> u64 {
    let increment = salt.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut mixed = value.wrapping_add(increment);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
