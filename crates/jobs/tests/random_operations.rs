//! Random submissions, run ends, losses, cancellations and recoveries from fixed seeds, compared with a simple
//! model of each job.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod common;

use common::model::{JobModel, UnitKey};
use common::{job_id, policy, request, step, task_id, unit_id, Harness, Random, RETENTION_MS};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_jobs::QueuePolicy;
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
use streamusher_protocol::task::{JobId, RunEnd, RunId};
use streamusher_protocol::unit::{Unit, UnitId};

const QUEUES: [&str; 3] = ["scans", "checks", "prints"];
const ROUNDS_PER_SEED: u32 = 400;
/// Limit of the length of an ended job's record, which holds only the final state.
const MAX_ENDED_RECORD_BYTES: usize = 60;

/// A run that occupies a worker, according to the model.
#[derive(Clone)]
struct AssignedRun {
    job: u64,
    unit: UnitKey,
    run: RunId,
}

struct Simulation {
    harness: Harness,
    random: Random,
    jobs: BTreeMap<u64, JobModel>,
    submitted: u64,
    policies: BTreeMap<String, QueuePolicy>,
    reported_checkpoints: u64,
    /// Newest checkpoint reported by each assigned run. Workers report it again to a new primary.
    newest_checkpoints: BTreeMap<RunId, String>,
}

fn job_number(id: &JobId) -> u64 {
    u64::from_str_radix(id.as_str(), 16).expect("a number")
}

fn unit_key(id: &UnitId) -> UnitKey {
    UnitKey {
        iteration: id.step.iteration,
        step: id.step.step,
        unit: id.index.unwrap_or(0),
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            harness: Harness::new(),
            random: Random(seed),
            jobs: BTreeMap::new(),
            submitted: 0,
            policies: QUEUES
                .iter()
                .map(|queue| ((*queue).to_owned(), policy(queue)))
                .collect(),
            reported_checkpoints: 0,
            newest_checkpoints: BTreeMap::new(),
        }
    }

    fn random_queue(&mut self) -> &'static str {
        self.random.pick(&QUEUES).expect("there are queues")
    }

    fn random_job(&mut self) -> Option<u64> {
        let known: Vec<u64> = self.jobs.keys().copied().collect();
        self.random.pick(&known).copied()
    }

    fn random_step(&mut self, index: u32) -> StepRequest {
        let depends_on = (0..index).filter(|_| self.random.chance(40)).collect();
        StepRequest {
            depends_on,
            gang: self.random.chance(30),
            checkpoints: self.random.chance(50),
            long_running: self.random.chance(8),
            ..step(1 + self.random.below_u32(4))
        }
    }

    fn random_request(&mut self) -> JobRequest {
        let steps = (0..=self.random.below_u32(4))
            .map(|index| self.random_step(index))
            .collect();
        let mut body = JobRequest {
            spec: format!("spec {}", self.submitted).into(),
            ..request(steps)
        };
        if self.random.chance(30) {
            body.repeat_count = 1 + self.random.below_u32(4);
            body.interval_ms = self.random.below(4_000);
            body.start_at_ms = self.harness.now.unix_ms + self.random.below(3_000) - 1_000;
        }
        body
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let number = self.submitted;
        let body = self.random_request();
        let queue = self.random_queue();
        let policy = self.policies[queue].clone();
        self.jobs.insert(
            number,
            JobModel::new(body.clone(), policy.clone(), self.harness.now),
        );
        self.harness.submit_with(number, body, &policy);
    }

    fn submit_again(&mut self) {
        let Some(number) = self.random_job() else {
            return;
        };
        self.harness
            .submit_with(number, request(vec![step(1)]), &policy("scans"));
        assert!(self.harness.last_changes.writes.is_empty());
    }

    fn start(&mut self) {
        let ready = self.harness.ready_ids();
        let Some(id) = self.random.pick(&ready).cloned() else {
            return;
        };
        let started = self.harness.start(&id);
        let job = self
            .jobs
            .get_mut(&job_number(&id.step.job))
            .expect("a submitted job");
        assert!(
            job.may_run(unit_key(&id), self.harness.now),
            "{id:?} was ready before it may run"
        );
        job.on_started(unit_key(&id), &started);
        for run in started {
            assert!(self.harness.table.is_current(&run.run));
            self.newest_checkpoints
                .insert(run.run, run.checkpoint.to_string());
        }
    }

    fn assigned_runs(&self) -> Vec<AssignedRun> {
        let mut assigned = Vec::new();
        for (&number, job) in &self.jobs {
            for (&key, unit) in &job.units {
                for &index in &unit.assigned_tasks {
                    let run = RunId {
                        task: task_id(number, key.iteration, key.step, index),
                        run: unit.run,
                    };
                    assigned.push(AssignedRun {
                        job: number,
                        unit: key,
                        run,
                    });
                }
            }
        }
        assigned
    }

    fn random_run(&mut self) -> Option<AssignedRun> {
        let assigned = self.assigned_runs();
        self.random.pick(&assigned).cloned()
    }

    fn report_checkpoint(&mut self) {
        let Some(AssignedRun { job, unit, run }) = self.random_run() else {
            return;
        };
        self.reported_checkpoints += 1;
        let checkpoint = format!("c{}", self.reported_checkpoints);
        let job = self.jobs.get_mut(&job).expect("a job");
        job.units
            .get_mut(&unit)
            .expect("a unit")
            .checkpoints
            .insert(checkpoint.clone());
        self.harness.table.on_checkpoint(&run, &checkpoint);
        self.newest_checkpoints.insert(run, checkpoint);
    }

    /// Random end of a run; `None` for an end that no worker reports.
    fn random_end(&mut self) -> Option<RunEnd> {
        let usual = [
            RunEnd::Done,
            RunEnd::Done,
            RunEnd::Done,
            RunEnd::Failed,
            RunEnd::Stopped,
        ];
        let rare = [
            RunEnd::LeaseExpired,
            RunEnd::GangBroken,
            RunEnd::GangIncomplete,
            RunEnd::Rejected,
        ];
        match self.random.below(10) {
            0 => None,
            1 => self.random.pick(&rare).copied(),
            _ => self.random.pick(&usual).copied(),
        }
    }

    fn end_run(&mut self) {
        let Some(AssignedRun { job, unit, run }) = self.random_run() else {
            return;
        };
        let end = self.random_end();
        match end {
            Some(end) => {
                let checkpoint = self.newest_checkpoints.get(&run).cloned();
                let checkpoint = checkpoint.unwrap_or_default();
                assert!(self.harness.finish_with_checkpoint(&run, end, &checkpoint));
            }
            None if self.random.chance(50) => self.harness.lose(&run),
            None => {
                let now = self.harness.now;
                self.harness.table.on_run_withdrawn(now, &run);
                self.harness.take_changes();
            }
        }
        self.newest_checkpoints.remove(&run);
        assert!(!self.harness.table.is_current(&run));
        assert!(
            !self.harness.finish(&run, RunEnd::Done),
            "the end of a run is accepted only once"
        );
        let job = self.jobs.get_mut(&job).expect("a job");
        job.on_run_over(unit, run.task.index, end, self.harness.now);
    }

    fn cancel(&mut self) {
        let Some(number) = self.random_job() else {
            return;
        };
        self.harness.cancel(number);
        let job = self.jobs.get_mut(&number).expect("a job");
        if job.final_state.is_none() {
            job.finish(JobState::Cancelled, self.harness.now);
        }
    }

    fn change_configuration(&mut self) {
        let queue = self.random_queue();
        let service: Arc<str> = format!("service {}", self.random.below(3)).into();
        let priority = self.random.below_u32(3);
        let entry = self.policies.get_mut(queue).expect("a queue");
        (entry.service, entry.priority) = (service, priority);
        let is_removed = self.random.chance(20);
        let policies = self.policies.clone();
        self.harness.table.apply_configuration(&|name| {
            policies
                .get(name)
                .filter(|_| !is_removed || name != queue)
                .cloned()
        });
        self.harness.take_changes();
        for job in self.jobs.values_mut() {
            let keeps_policy = is_removed && &*job.policy.queue == queue;
            if job.final_state.is_none() && !keeps_policy {
                job.policy = self.policies[&*job.policy.queue].clone();
            }
        }
    }

    fn advance(&mut self) {
        let duration_ms = self.random.below(1_500);
        self.harness.advance(duration_ms);
        let now = self.harness.now;
        self.jobs.retain(|&number, job| {
            let is_over = job.final_state.is_some() && !job.has_assigned_runs();
            let is_dropped = is_over && self.harness.table.status(&job_id(number)).is_none();
            assert!(
                !is_dropped || now.steady_ms >= job.ended_at_ms + RETENTION_MS,
                "an ended job was removed before its retention was over"
            );
            !is_dropped
        });
    }

    fn recover(&mut self) {
        self.harness.advance(0);
        let mut recovered = self.harness.recovered();
        assert!(
            recovered.last_changes.writes.is_empty(),
            "a recovery must not write records: {:?}",
            recovered.last_changes.writes
        );
        for (run, checkpoint) in &self.newest_checkpoints {
            recovered.table.on_checkpoint(run, checkpoint);
        }
        self.check_recovered(&recovered);
        if self.random.chance(50) {
            recovered.stopped_runs = std::mem::take(&mut self.harness.stopped_runs);
            self.harness = recovered;
            // A recovery restarts backoffs.
            let units = self
                .jobs
                .values_mut()
                .flat_map(|job| job.units.values_mut());
            for unit in units {
                unit.last_run_ended_at_ms = self.harness.now.steady_ms;
            }
        }
    }

    fn check_recovered(&self, recovered: &Harness) {
        assert_eq!(
            recovered.table.assigned_runs(),
            self.harness.table.assigned_runs()
        );
        for &number in self.jobs.keys() {
            assert_eq!(recovered.status(number), self.harness.status(number));
            assert_eq!(
                recovered.table.queue_of(&job_id(number)),
                self.harness.table.queue_of(&job_id(number))
            );
        }
        for queue in QUEUES {
            assert_eq!(
                recovered.table.pending_count(queue),
                self.harness.table.pending_count(queue)
            );
        }
        assert_eq!(
            self.ready_without_backoff(recovered),
            self.ready_without_backoff(&self.harness)
        );
    }

    /// Ready units of steps that never back off.
    fn ready_without_backoff(&self, harness: &Harness) -> Vec<Unit> {
        let backs_off = |id: &UnitId| {
            self.jobs[&job_number(&id.step.job)]
                .step(id.step.step)
                .long_running
        };
        harness
            .ready_units
            .values()
            .filter(|unit| !backs_off(&unit.id))
            .cloned()
            .collect()
    }

    fn check(&self) {
        let mut pending = BTreeMap::<&str, u64>::new();
        for (&number, job) in &self.jobs {
            assert_eq!(
                self.harness.status(number),
                Some(job.state()),
                "job {number}"
            );
            if job.state() == JobState::Pending {
                *pending.entry(&job.policy.queue).or_default() += 1;
            }
            self.check_units(number, job);
            self.check_keys(number, job);
        }
        for queue in QUEUES {
            assert_eq!(
                self.harness.table.pending_count(queue),
                pending.get(queue).copied().unwrap_or(0)
            );
        }
        let known: BTreeSet<u64> = self
            .harness
            .ready_units
            .keys()
            .map(|id| job_number(&id.step.job))
            .collect();
        assert!(known.iter().all(|number| self.jobs.contains_key(number)));
    }

    fn check_units(&self, number: u64, job: &JobModel) {
        for &key in job.units.keys() {
            self.check_readiness(number, job, key);
            self.check_runs(number, job, key);
        }
    }

    fn check_readiness(&self, number: u64, job: &JobModel, key: UnitKey) {
        let gang = job.step(key.step).gang;
        let id = unit_id(number, key.iteration, key.step, (!gang).then_some(key.unit));
        let ready = self.harness.ready_units.get(&id);
        let may_run = job.may_run(key, self.harness.now);
        let is_before_due_time = self.is_before_due_time(job, key.iteration);
        assert!(
            may_run || ready.is_none(),
            "{id:?} is ready before it may run or after its job ended"
        );
        assert!(
            !may_run
                || ready.is_some()
                || is_before_due_time
                || job.may_back_off(key, self.harness.now),
            "{id:?} may run and is not ready"
        );
        if let Some(ready) = ready {
            assert_eq!(ready.service, job.policy.service);
            assert_eq!(ready.priority, job.policy.priority);
            let due_unix_ms = job.due_unix_ms(key.iteration).max(job.submitted_unix_ms);
            assert_eq!(ready.order, due_unix_ms + job.policy.target_latency_ms);
        }
    }

    fn check_runs(&self, number: u64, job: &JobModel, key: UnitKey) {
        let unit = &job.units[&key];
        for &index in &unit.assigned_tasks {
            let run = RunId {
                task: task_id(number, key.iteration, key.step, index),
                run: unit.run,
            };
            let accepts_result = job.final_state.is_none() && !unit.is_done && !unit.is_broken;
            assert_eq!(
                self.harness.table.is_current(&run),
                accepts_result,
                "{run:?}"
            );
            let must_stop = !unit.is_done && !accepts_result;
            let is_stopped = self.harness.stopped_runs.contains(&run);
            assert!(!must_stop || is_stopped, "{run:?} is not being stopped");
            assert!(
                !accepts_result || !is_stopped,
                "{run:?} is being stopped although its result is accepted"
            );
        }
    }

    /// Whether the system clock is before the due time of an iteration. An iteration that is due may be
    /// unreleased, because only `tick` and the submission release iterations.
    fn is_before_due_time(&self, job: &JobModel, iteration: u32) -> bool {
        self.harness.now.unix_ms < job.due_unix_ms(iteration)
    }

    fn check_keys(&self, number: u64, job: &JobModel) {
        let is_over = job.final_state.is_some() && !job.has_assigned_runs();
        let prefix = format!("task/{}.", job_id(number));
        let stored = self.harness.state.range::<str, _>((
            std::ops::Bound::Included(prefix.as_str()),
            std::ops::Bound::Unbounded,
        ));
        let tasks = stored
            .take_while(|(key, _)| key.starts_with(&prefix))
            .count();
        assert!(
            !is_over || tasks == 0,
            "job {number} is over and {tasks} records of its tasks are left"
        );
        let record = &self.harness.state[&*format!("job/{}", job_id(number))];
        assert!(
            !is_over || record.len() < MAX_ENDED_RECORD_BYTES,
            "the record of an ended job is {record}"
        );
    }

    fn run_round(&mut self) {
        match self.random.below(100) {
            0..=7 => self.submit(),
            8 => self.submit_again(),
            9..=44 => self.start(),
            45..=79 => self.end_run(),
            80..=87 => self.report_checkpoint(),
            88..=89 => self.cancel(),
            90 => self.change_configuration(),
            91..=95 => self.advance(),
            _ => self.recover(),
        }
        self.check();
    }
}

#[rstest]
fn random_operations_keep_all_invariants(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 25..block * 25 + 25 {
        let mut simulation = Simulation::new(seed);
        for round in 0..ROUNDS_PER_SEED {
            let context = Context { seed, round };
            simulation.run_round();
            drop(context);
        }
    }
}

/// Prints the seed and the round if a round panics.
struct Context {
    seed: u64,
    round: u32,
}

impl Drop for Context {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} failed in round {}", self.seed, self.round);
        }
    }
}
