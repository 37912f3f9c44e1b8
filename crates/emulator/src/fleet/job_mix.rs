//! The regular traffic: its permanent queues, and the jobs that clients draw for them.

use crate::clock::UNIX_START_MS;
use crate::random::Random;
use crate::submitted_jobs::SubmittedJob;
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::Millis;

/// Host of all queues.
pub(crate) const HOST: &str = "queues.example";

/// Share of the jobs whose tasks run until they are cancelled.
const LONG_RUNNING_SHARE: f64 = 0.06;
/// Share of the jobs whose tasks fail once.
const FAILING_ONCE_SHARE: f64 = 0.1;

/// A queue of a configuration.
pub(crate) struct Queue<'a> {
    pub(crate) prefix: &'a str,
    pub(crate) service: &'a str,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u32,
    pub(crate) max_attempts: u32,
}

const fn queue(
    prefix: &'static str,
    service: &'static str,
    priority: u32,
    max_attempts: u32,
) -> Queue<'static> {
    Queue {
        prefix,
        service,
        priority,
        max_attempts,
    }
}

/// The queues that exist throughout a simulation.
pub(crate) const QUEUES: [Queue<'static>; 5] = [
    queue("/quick/", "alpha", 0, 3),
    queue("/log/", "alpha", 1, 2),
    queue("/gang/", "beta", 0, 2),
    queue("/lasting/", "alpha", 1, 2),
    queue("/image/", "beta", 2, 3),
];

/// Kinds of jobs, each of which belongs to one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    /// Short tasks, in one or two steps.
    Quick,
    /// Long tasks with checkpoints, in two steps.
    Log,
    /// A gang with accelerators.
    Gang,
    /// Tasks that run until they are cancelled.
    LongRunning,
    /// Tasks near their data.
    Image,
    /// Short tasks, repeated on a schedule.
    Timed,
    /// Tasks that may have a speculative second run.
    Hedged,
    /// Tasks with anti-affinity, and tasks that require workers with a certain label.
    Spread,
}

/// Relative frequency of each kind among the jobs that are not long-running.
const REGULAR_KINDS: [JobKind; 12] = [
    JobKind::Quick,
    JobKind::Quick,
    JobKind::Quick,
    JobKind::Quick,
    JobKind::Log,
    JobKind::Log,
    JobKind::Gang,
    JobKind::Gang,
    JobKind::Image,
    JobKind::Timed,
    JobKind::Hedged,
    JobKind::Spread,
];

impl JobKind {
    /// Draws a kind of the regular traffic.
    pub(crate) fn draw(random: &mut Random) -> JobKind {
        if random.chance(LONG_RUNNING_SHARE) {
            return JobKind::LongRunning;
        }
        let kind = random.pick(&REGULAR_KINDS).copied();
        kind.unwrap_or(JobKind::Quick)
    }

    /// Path prefix of the queue for this kind of job.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            JobKind::Quick | JobKind::Timed | JobKind::Hedged => "/quick/",
            JobKind::Log | JobKind::Spread => "/log/",
            JobKind::Gang => "/gang/",
            JobKind::LongRunning => "/lasting/",
            JobKind::Image => "/image/",
        }
    }

    /// First word of a job's spec. It is part of what is sent and stored, and therefore of the recorded
    /// digests.
    fn spec_name(self) -> &'static str {
        match self {
            JobKind::Quick => "Quick",
            JobKind::Log => "Log",
            JobKind::Gang => "Gang",
            JobKind::LongRunning => "Lasting",
            JobKind::Image => "Image",
            JobKind::Timed => "Timed",
            JobKind::Hedged => "Hedged",
            JobKind::Spread => "Spread",
        }
    }

    fn draw_steps(self, random: &mut Random) -> Vec<StepRequest> {
        match self {
            JobKind::Quick => quick_steps(random),
            JobKind::Log => log_steps(random),
            JobKind::Gang => vec![gang_step(random)],
            JobKind::LongRunning => {
                let count = random.between_u32(1, 3);
                vec![StepRequest {
                    long_running: true,
                    ..step(count, resources(300, 128, 0), 500)
                }]
            }
            JobKind::Image => {
                let rack: Arc<str> = format!("r{}", random.below(2)).into();
                let count = random.between_u32(1, 5);
                vec![StepRequest {
                    affinity: Some(rack),
                    ..step(count, resources(2_800, 2_000, 1), 2_000)
                }]
            }
            JobKind::Timed => vec![step(2, resources(240, 128, 0), 400)],
            JobKind::Hedged => vec![StepRequest {
                hedged: true,
                ..step(3, resources(300, 128, 0), 600)
            }],
            JobKind::Spread => spread_steps(),
        }
    }
}

const fn resources(cpu: u64, mem_mb: u64, gpu: u64) -> Resources {
    Resources { cpu, mem_mb, gpu }
}

fn step(count: u32, resources: Resources, estimated_ms: Millis) -> StepRequest {
    StepRequest {
        count,
        resources,
        estimated_ms,
        ..StepRequest::default()
    }
}

fn quick_steps(random: &mut Random) -> Vec<StepRequest> {
    let count = random.between_u32(2, 6);
    let work_ms = random.between(300, 800);
    let first = step(count, resources(240, 256, 0), work_ms);
    if !random.chance(0.4) {
        return vec![first];
    }
    let second = StepRequest {
        depends_on: vec![0],
        ..step(2, resources(240, 256, 0), 400)
    };
    vec![first, second]
}

fn log_steps(random: &mut Random) -> Vec<StepRequest> {
    let work_ms = random.between(1_500, 5_000);
    let count = random.between_u32(3, 10);
    let long = StepRequest {
        checkpoints: true,
        ..step(count, resources(520, 512, 0), work_ms)
    };
    let summary = StepRequest {
        depends_on: vec![0],
        checkpoints: true,
        ..step(3, resources(520, 512, 0), 1_000)
    };
    vec![long, summary]
}

fn gang_step(random: &mut Random) -> StepRequest {
    let gpu = random.between(2, 6);
    let work_ms = random.between(2_000, 5_000);
    StepRequest {
        gang: true,
        same_rack: true,
        checkpoints: random.chance(0.7),
        ..step(2, resources(15_000, 8_000, gpu), work_ms)
    }
}

fn spread_steps() -> Vec<StepRequest> {
    let apart = StepRequest {
        anti_affinity: 1,
        ..step(2, resources(500, 128, 0), 900)
    };
    let selecting = StepRequest {
        node_selector: Some("a".into()),
        ..step(2, resources(500, 128, 0), 700)
    };
    vec![apart, selecting]
}

/// Draws a job of a kind for a queue.
pub(crate) fn draw_job(
    random: &mut Random,
    kind: JobKind,
    prefix: Arc<str>,
    now: Millis,
) -> SubmittedJob {
    let mut request = JobRequest {
        spec: format!("{} {}", kind.spec_name(), random.next_u64()).into(),
        ..JobRequest::default()
    };
    request.steps = kind.draw_steps(random);
    if kind == JobKind::Timed {
        request.repeat_count = random.between_u32(1, 3);
        request.start_at_ms = UNIX_START_MS + now + random.between(500, 3_000);
        request.interval_ms = random.between(400, 1_500);
    }
    // The actual work differs from the client's estimate by up to 20 percent.
    let steps = request.steps.iter();
    let step_work_ms = steps.map(|step| step.estimated_ms * random.between(80, 120) / 100);
    let step_work_ms = step_work_ms.collect();
    let failing_runs = u32::from(random.chance(FAILING_ONCE_SHARE));
    SubmittedJob {
        request: Arc::new(request),
        host: HOST.into(),
        prefix,
        step_work_ms,
        task_work_ms: Vec::new(),
        failing_runs,
        failing_once: BTreeSet::new(),
        submission: None,
    }
}
