//! Arithmetic on amounts of room: multiples, shares of a capacity.

use streamusher_protocol::heartbeat::Resources;

/// The kinds of room, as numbers that shares are taken of: cpu, memory, accelerators.
pub(crate) type Amounts = [f64; 3];

pub(crate) fn amounts(resources: &Resources) -> Amounts {
    [
        resources.cpu as f64,
        resources.mem_mb as f64,
        resources.gpu as f64,
    ]
}

/// What so many tasks take together.
pub(crate) fn times(resources: &Resources, count: u64) -> Resources {
    Resources {
        cpu: resources.cpu.saturating_mul(count),
        mem_mb: resources.mem_mb.saturating_mul(count),
        gpu: resources.gpu.saturating_mul(count),
    }
}

/// The largest share of a capacity that is taken, over all kinds of room. 0 of 0 is no share.
pub(crate) fn dominant_share(taken: &Resources, capacity: &Resources) -> f64 {
    let pairs = amounts(taken).into_iter().zip(amounts(capacity));
    pairs
        .filter(|(taken, _)| *taken > 0.0)
        .map(|(taken, all)| taken / all.max(0.5))
        .fold(0.0, f64::max)
}
