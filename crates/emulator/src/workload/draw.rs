//! Draws random jobs of a class. The order of the draws determines the workload of a seed and must stay
//! stable.

use super::model::{Class, LogNormalSize, Workload};
use crate::cast::{index_u32, whole, whole_u32};
use crate::clock::UNIX_START_MS;
use crate::random::Random;
use crate::submitted_jobs::{Submission, SubmittedJob};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::Millis;

/// Upper bound of a drawn size, as a multiple of its mean.
const MAX_TIMES_MEAN: f64 = 5.0;
/// Maximum number of tasks of a step.
const MAX_TASKS: f64 = 200.0;
/// Maximum number of consecutive steps of a job.
const MAX_STEPS: f64 = 5.0;
/// Time from the submission of a timed job to its first iteration.
const TIMED_AHEAD_MS: Millis = 2_000;
/// Number of iterations of a timed job.
const TIMED_ITERATIONS: u32 = 4;
/// Time between consecutive iterations of a timed job.
const TIMED_INTERVAL_MS: Millis = 3_000;

impl LogNormalSize {
    fn draw(self, random: &mut Random) -> f64 {
        self.mean * random.log_normal(self.deviation).min(MAX_TIMES_MEAN)
    }
}

/// Request and actual work of the tasks of a step.
struct DrawnStep {
    request: StepRequest,
    /// Actual work of each task, in milliseconds.
    work_ms: f64,
}

/// Actual work of the tasks of a job.
#[derive(Default)]
struct DrawnWork {
    step_work_ms: Vec<Millis>,
    task_work_ms: Vec<Vec<Millis>>,
    failing_once: BTreeSet<(u32, u32)>,
}

impl DrawnWork {
    /// Draws the actual work of a step's tasks, and which of them fail once.
    fn add_step(&mut self, class: &Class, random: &mut Random, drawn: &DrawnStep) {
        let step = index_u32(self.step_work_ms.len());
        let deviation = if drawn.request.gang {
            0.0
        } else {
            class.work_deviation
        };
        let tasks = 0..drawn.request.count;
        let work_ms = tasks.clone().map(|_| {
            let work_ms = drawn.work_ms * random.log_normal(deviation);
            whole(work_ms.max(1.0))
        });
        self.task_work_ms.push(work_ms.collect());
        for index in tasks {
            if random.chance(class.failure_rate) {
                self.failing_once.insert((step, index));
            }
        }
        self.step_work_ms.push(whole(drawn.work_ms));
    }
}

/// Draws a job of a class, submitted now.
pub(crate) fn draw_job(
    workload: &Workload,
    class_index: usize,
    random: &mut Random,
    now: Millis,
    host: &str,
) -> SubmittedJob {
    let class = &workload.classes[class_index];
    let steps = class.steps.draw(random).round().clamp(1.0, MAX_STEPS);
    let mut request = JobRequest {
        spec: format!("{} {}", class.name, random.next_u64()).into(),
        ..JobRequest::default()
    };
    let mut work = DrawnWork::default();
    for step in 0..whole_u32(steps) {
        let mut drawn = draw_step(workload, class, random);
        drawn.request.depends_on = step.checked_sub(1).into_iter().collect();
        work.add_step(class, random, &drawn);
        request.steps.push(drawn.request);
    }
    if random.chance(class.traits.timed) {
        request.repeat_count = TIMED_ITERATIONS;
        request.start_at_ms = UNIX_START_MS + now + TIMED_AHEAD_MS;
        request.interval_ms = TIMED_INTERVAL_MS;
    }
    SubmittedJob {
        request: Arc::new(request),
        host: host.into(),
        prefix: queue_prefix(class).into(),
        step_work_ms: work.step_work_ms,
        task_work_ms: work.task_work_ms,
        failing_once: work.failing_once,
        failing_runs: 0,
        submission: Some(Submission {
            class: class_index,
            sent_at: now,
        }),
    }
}

/// Path prefix of the queue of a class.
pub(crate) fn queue_prefix(class: &Class) -> String {
    format!("/{}/", class.name)
}

fn draw_step(workload: &Workload, class: &Class, random: &mut Random) -> DrawnStep {
    let traits = &class.traits;
    let work_ms = class.work_ms.draw(random).max(1.0);
    let has_affinity = random.chance(traits.affinity);
    let request = StepRequest {
        count: whole_u32(class.width.draw(random).round().clamp(1.0, MAX_TASKS)),
        resources: draw_resources(class, random),
        estimated_ms: whole((work_ms * random.log_normal(class.estimate_deviation)).max(1.0)),
        gang: traits.gang,
        same_rack: traits.gang && random.chance(traits.same_rack),
        long_running: traits.long_running,
        anti_affinity: u32::from(random.chance(traits.anti_affinity)),
        affinity: draw_affinity(workload, class, random, has_affinity),
        node_selector: draw_node_selector(workload, class, random),
        checkpoints: random.chance(traits.checkpoints),
        hedged: !traits.gang && !traits.long_running && random.chance(traits.hedged),
        ..StepRequest::default()
    };
    DrawnStep { request, work_ms }
}

fn draw_resources(class: &Class, random: &mut Random) -> Resources {
    Resources {
        cpu: whole(class.cpu.draw(random).max(1.0)),
        mem_mb: class.mem_mb,
        gpu: random.pick(&class.gpus).copied().unwrap_or(0),
    }
}

fn draw_affinity(
    workload: &Workload,
    class: &Class,
    random: &mut Random,
    has_affinity: bool,
) -> Option<Arc<str>> {
    let group = workload.group_of(class.service).filter(|_| has_affinity)?;
    Some(group.draw_rack(random))
}

fn draw_node_selector(workload: &Workload, class: &Class, random: &mut Random) -> Option<Arc<str>> {
    let group = workload.group_of(class.service)?;
    if !random.chance(class.traits.node_selector) {
        return None;
    }
    let kind = random.pick(&group.kinds)?;
    Some((*kind).into())
}
