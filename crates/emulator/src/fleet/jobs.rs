//! Jobs that the emulated clients hand in.

use crate::catalog::KnownJob;
use crate::clock::UNIX_START;
use crate::random::Random;
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::Millis;

/// Host of all queues.
pub(crate) const HOST: &str = "queues.example";

/// Kinds of jobs; each has its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Quick,
    Log,
    Gang,
    Lasting,
    Image,
    Timed,
    Hedged,
    Spread,
}

const ORDINARY: [Kind; 12] = [
    Kind::Quick,
    Kind::Quick,
    Kind::Quick,
    Kind::Quick,
    Kind::Log,
    Kind::Log,
    Kind::Gang,
    Kind::Gang,
    Kind::Image,
    Kind::Timed,
    Kind::Hedged,
    Kind::Spread,
];

impl Kind {
    /// A kind of the ordinary traffic.
    pub(crate) fn draw(random: &mut Random) -> Kind {
        if random.chance(0.06) {
            return Kind::Lasting;
        }
        random.pick(&ORDINARY).copied().unwrap_or(Kind::Quick)
    }

    /// The prefix of its queue.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Kind::Quick | Kind::Timed | Kind::Hedged => "/quick/",
            Kind::Log | Kind::Spread => "/log/",
            Kind::Gang => "/gang/",
            Kind::Lasting => "/lasting/",
            Kind::Image => "/image/",
        }
    }
}

/// Prefix, service, priority and attempts of the queues that are always there.
pub(crate) const QUEUES: [(&str, &str, u32, u32); 5] = [
    ("/quick/", "alpha", 0, 3),
    ("/log/", "alpha", 1, 2),
    ("/gang/", "beta", 0, 2),
    ("/lasting/", "alpha", 1, 2),
    ("/image/", "beta", 2, 3),
];

fn step(count: u32, cpu: u64, mem_mb: u64, gpu: u64, work_ms: Millis) -> StepRequest {
    let resources = Resources { cpu, mem_mb, gpu };
    StepRequest {
        count,
        resources,
        estimated_ms: work_ms,
        ..StepRequest::default()
    }
}

/// Draws a job for a queue.
pub(crate) fn draw(random: &mut Random, kind: Kind, prefix: Arc<str>, now: Millis) -> KnownJob {
    let mut request = JobRequest {
        spec: format!("{kind:?} {}", random.word()).into(),
        ..JobRequest::default()
    };
    request.steps = steps(random, kind);
    if kind == Kind::Timed {
        request.repeat_count = random.between(1, 3) as u32;
        request.start_at_ms = UNIX_START + now + random.between(500, 3_000);
        request.interval_ms = random.between(400, 1_500);
    }
    // The guess is rough.
    let work_ms: Vec<Millis> = request
        .steps
        .iter()
        .map(|s| s.estimated_ms * random.between(80, 120) / 100)
        .collect();
    let own_failures = if random.chance(0.1) { 1 } else { 0 };
    KnownJob {
        request: Arc::new(request),
        host: HOST.into(),
        prefix,
        work_ms,
        work_of_tasks: Vec::new(),
        own_failures,
        failing_once: BTreeSet::new(),
        submission: None,
    }
}

fn steps(random: &mut Random, kind: Kind) -> Vec<StepRequest> {
    match kind {
        Kind::Quick => {
            let first = step(
                random.between(2, 6) as u32,
                240,
                256,
                0,
                random.between(300, 800),
            );
            let second = StepRequest {
                depends_on: vec![0],
                ..step(2, 240, 256, 0, 400)
            };
            if random.chance(0.4) {
                vec![first, second]
            } else {
                vec![first]
            }
        }
        Kind::Log => {
            let work = random.between(1_500, 5_000);
            let long = StepRequest {
                checkpoints: true,
                ..step(random.between(3, 10) as u32, 520, 512, 0, work)
            };
            vec![
                long,
                StepRequest {
                    depends_on: vec![0],
                    checkpoints: true,
                    ..step(3, 520, 512, 0, 1_000)
                },
            ]
        }
        Kind::Gang => {
            let gpu = random.between(2, 6);
            let gang = step(2, 15_000, 8_000, gpu, random.between(2_000, 5_000));
            vec![StepRequest {
                gang: true,
                same_rack: true,
                checkpoints: random.chance(0.7),
                ..gang
            }]
        }
        Kind::Lasting => {
            vec![StepRequest {
                long_running: true,
                ..step(random.between(1, 3) as u32, 300, 128, 0, 500)
            }]
        }
        Kind::Image => {
            let rack: Arc<str> = format!("r{}", random.below(2)).into();
            let near = StepRequest {
                affinity: Some(rack),
                ..step(random.between(1, 5) as u32, 2_800, 2_000, 1, 2_000)
            };
            vec![near]
        }
        Kind::Timed => vec![step(2, 240, 128, 0, 400)],
        Kind::Hedged => vec![StepRequest {
            hedged: true,
            ..step(3, 300, 128, 0, 600)
        }],
        Kind::Spread => {
            let spread = StepRequest {
                anti_affinity: 1,
                ..step(2, 500, 128, 0, 900)
            };
            let chosen = StepRequest {
                node_selector: Some("a".into()),
                ..step(2, 500, 128, 0, 700)
            };
            vec![spread, chosen]
        }
    }
}
