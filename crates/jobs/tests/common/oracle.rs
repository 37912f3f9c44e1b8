//! What the rules say of a job, written the slow and plain way: every task with every fact about it.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a unit from outside.
#[derive(Clone, Debug, Default)]
pub struct UnitFacts {
    pub run: u32,
    pub failed: u32,
    pub counted: u32,
    pub done: bool,
    /// Members that occupy a worker.
    pub held: BTreeSet<u32>,
    /// A member of the newest run ended otherwise than done.
    pub broken: bool,
    /// Every checkpoint ever reported.
    pub checkpoints: BTreeSet<String>,
    /// When the newest run was over, by the steady clock.
    pub over_at: Millis,
}

/// What is known of a job from outside.
#[derive(Clone, Debug)]
pub struct JobFacts {
    pub request: JobRequest,
    pub terms: QueuePolicy,
    pub submitted: Millis,
    pub end: Option<JobState>,
    pub ended_at: Millis,
    pub begun: bool,
    pub units: BTreeMap<(u32, u32, u32), UnitFacts>,
}

impl JobFacts {
    pub fn new(request: JobRequest, terms: QueuePolicy, now: Now) -> JobFacts {
        let mut units = BTreeMap::new();
        for iteration in 0..request.repeat_count.max(1) {
            for (step, content) in request.steps.iter().enumerate() {
                let count = if content.gang { 1 } else { content.count };
                for unit in 0..count {
                    units.insert((iteration, step as u32, unit), UnitFacts::default());
                }
            }
        }
        let submitted = now.unix_ms;
        JobFacts {
            request,
            terms,
            submitted,
            end: None,
            ended_at: 0,
            begun: false,
            units,
        }
    }

    pub fn state(&self) -> JobState {
        self.end.unwrap_or(if self.begun {
            JobState::Running
        } else {
            JobState::Pending
        })
    }

    pub fn step(&self, step: u32) -> &StepRequest {
        &self.request.steps[step as usize]
    }

    pub fn due(&self, iteration: u32) -> Millis {
        self.request.start_at_ms + u64::from(iteration) * self.request.interval_ms
    }

    pub fn step_done(&self, iteration: u32, step: u32) -> bool {
        self.units
            .range((iteration, step, 0)..(iteration, step + 1, 0))
            .all(|(_, u)| u.done)
    }

    /// Whether a unit's turn has come, and nothing of it runs.
    pub fn turn(&self, key: (u32, u32, u32), now: Now) -> bool {
        let (iteration, step, _) = key;
        let unit = &self.units[&key];
        let depends_on = &self.step(step).depends_on;
        self.end.is_none()
            && self.due(iteration) <= now.unix_ms
            && depends_on.iter().all(|&on| self.step_done(iteration, on))
            && !unit.done
            && unit.held.is_empty()
    }

    /// Whether a unit may rest between failures.
    pub fn may_rest(&self, key: (u32, u32, u32), now: Now) -> bool {
        let unit = &self.units[&key];
        self.step(key.1).long_running && unit.failed > 1 && now.steady_ms < unit.over_at + 2_000
    }

    pub fn begin(&mut self, key: (u32, u32, u32), started: &[StartedRun]) {
        let members = if self.step(key.1).gang {
            self.step(key.1).count
        } else {
            1
        };
        let has_checkpoints = self.step(key.1).checkpoints;
        let spec = self.request.spec.clone();
        let max_attempts = self.terms.max_attempts;
        let lasts = self.step(key.1).long_running;
        let unit = self.units.get_mut(&key).expect("a unit of the job");
        assert_eq!(started.len() as u32, members, "all members or none");
        assert!(lasts || unit.failed < max_attempts, "BUDGET");
        assert!(!unit.done && unit.held.is_empty(), "TWICE");
        unit.run += 1;
        unit.broken = false;
        for run in started {
            assert_eq!(
                run.run.run, unit.run,
                "run numbers rise by one and are shared"
            );
            assert_eq!(run.spec, spec);
            assert_eq!(
                run.checkpoint, started[0].checkpoint,
                "all bring the same checkpoint"
            );
            assert!(unit.held.insert(run.run.task.index));
        }
        let checkpoint = started[0].checkpoint.to_string();
        let is_own = unit.checkpoints.contains(&checkpoint);
        assert!(
            checkpoint.is_empty() || (has_checkpoints && is_own),
            "UNASKED: {checkpoint:?}"
        );
        self.begun = true;
    }

    /// A run is over; `how` is none if its end was not noted.
    pub fn over(&mut self, key: (u32, u32, u32), index: u32, how: Option<RunEnd>, now: Now) {
        let lasts = self.step(key.1).long_running;
        let unit = self.units.get_mut(&key).expect("a unit of the job");
        assert!(unit.held.remove(&index));
        unit.over_at = now.steady_ms;
        if self.end.is_some() || unit.done {
            return;
        }
        if how == Some(RunEnd::Done) && !lasts {
            unit.done = true;
            if self.units.values().all(|u| u.done) {
                self.finish(JobState::Succeeded, now);
            }
            return;
        }
        unit.broken = true;
        if how == Some(RunEnd::Failed) && unit.counted < unit.run {
            unit.counted = unit.run;
            unit.failed += 1;
            if !lasts && unit.failed >= self.terms.max_attempts {
                self.finish(JobState::Failed, now);
            }
        }
    }

    pub fn finish(&mut self, state: JobState, now: Now) {
        self.end = Some(state);
        self.ended_at = now.steady_ms;
    }

    pub fn holds_runs(&self) -> bool {
        self.units.values().any(|u| !u.held.is_empty())
    }
}
