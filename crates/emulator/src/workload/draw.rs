//! Jobs drawn from a class.

use super::{Class, Spread, Workload};
use crate::catalog::{KnownJob, Submission};
use crate::clock::UNIX_START;
use crate::random::Random;
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::Millis;

/// Sizes are at most so many times their mean.
const MOST_TIMES_MEAN: f64 = 5.0;
/// Widest step and longest chain.
const MOST_TASKS: f64 = 200.0;
const MOST_STEPS: f64 = 5.0;
/// How far ahead a timed job is handed in, how often it runs, and in what steps of time.
const TIMED_AHEAD_MS: Millis = 2_000;
const TIMES: u32 = 4;
const TIMED_EVERY_MS: Millis = 3_000;

impl Spread {
    fn draw(self, random: &mut Random) -> f64 {
        self.mean * random.log_normal(self.deviation).min(MOST_TIMES_MEAN)
    }
}

/// A job of a class, handed in now.
pub fn draw_job(
    workload: &Workload,
    class: usize,
    random: &mut Random,
    now: Millis,
    host: &str,
) -> KnownJob {
    let shape = &workload.classes[class];
    let steps = shape.steps.draw(random).round().clamp(1.0, MOST_STEPS) as usize;
    let mut request = JobRequest {
        spec: format!("{} {}", shape.name, random.word()).into(),
        ..JobRequest::default()
    };
    let mut work_ms = Vec::new();
    let mut work_of_tasks = Vec::new();
    let mut failing_once = BTreeSet::new();
    for step in 0..steps {
        let (mut drawn, own_ms) = draw_step(workload, shape, random);
        drawn.depends_on = step
            .checked_sub(1)
            .map(|before| before as u32)
            .into_iter()
            .collect();
        let uneven = if drawn.gang { 0.0 } else { shape.uneven };
        let tasks =
            (0..drawn.count).map(|_| (own_ms * random.log_normal(uneven)).max(1.0) as Millis);
        work_of_tasks.push(tasks.collect());
        for index in (0..drawn.count).filter(|_| random.chance(shape.failing)) {
            failing_once.insert((step as u32, index));
        }
        work_ms.push(own_ms as Millis);
        request.steps.push(drawn);
    }
    if random.chance(shape.traits.timed) {
        request.repeat_count = TIMES;
        request.start_at_ms = UNIX_START + now + TIMED_AHEAD_MS;
        request.interval_ms = TIMED_EVERY_MS;
    }
    KnownJob {
        request: Arc::new(request),
        host: host.into(),
        prefix: prefix(shape).into(),
        work_ms,
        work_of_tasks,
        failing_once,
        own_failures: 0,
        submission: Some(Submission { class, at: now }),
    }
}

/// The path prefix of a class's queue.
pub(crate) fn prefix(class: &Class) -> String {
    format!("/{}/", class.name)
}

fn draw_step(workload: &Workload, class: &Class, random: &mut Random) -> (StepRequest, f64) {
    let traits = &class.traits;
    let own_ms = class.work_ms.draw(random).max(1.0);
    let group = workload
        .groups
        .iter()
        .find(|group| group.service == class.service);
    let near = random.chance(traits.near);
    let step = StepRequest {
        count: class.width.draw(random).round().clamp(1.0, MOST_TASKS) as u32,
        resources: Resources {
            cpu: class.cpu.draw(random).max(1.0) as u64,
            mem_mb: class.mem_mb,
            gpu: random.pick(&class.gpus).copied().unwrap_or(0),
        },
        estimated_ms: (own_ms * random.log_normal(class.estimate_off)).max(1.0) as Millis,
        gang: traits.gang,
        same_rack: traits.gang && random.chance(traits.same_rack),
        long_running: traits.lasting,
        anti_affinity: u32::from(random.chance(traits.apart)),
        affinity: group.filter(|_| near).map(|group| group.some_rack(random)),
        node_selector: group
            .filter(|_| random.chance(traits.selects))
            .and_then(|group| {
                let kind = random.pick(&group.kinds)?;
                Some((*kind).into())
            }),
        checkpoints: random.chance(traits.checkpoints),
        hedged: !traits.gang && !traits.lasting && random.chance(traits.hedged),
        ..StepRequest::default()
    };
    (step, own_ms)
}
