//! Seeded search: random jobs, ends, losses, cancels and recoveries against a plain oracle.

mod common;

use common::oracle::JobFacts;
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_jobs::{QueuePolicy, StartedRun};
use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::UnitId;

const QUEUES: [&str; 3] = ["scans", "checks", "prints"];

struct Search {
    world: World,
    random: Random,
    facts: BTreeMap<u64, JobFacts>,
    submitted: u64,
    terms: BTreeMap<String, QueuePolicy>,
    reported: u64,
    /// Newest checkpoint that each run at work reported: workers report it again to a new primary.
    newest: BTreeMap<RunId, String>,
}

fn number_of(id: &streamusher_protocol::task::JobId) -> u64 {
    u64::from_str_radix(id.as_str(), 16).expect("a number")
}

fn key_of(id: &UnitId) -> (u32, u32, u32) {
    (id.step.iteration, id.step.step, id.index.unwrap_or(0))
}

impl Search {
    fn new(seed: u64) -> Search {
        Search {
            world: World::new(),
            random: Random(seed),
            facts: BTreeMap::new(),
            submitted: 0,
            terms: QUEUES.iter().map(|q| (q.to_string(), terms(q))).collect(),
            reported: 0,
            newest: BTreeMap::new(),
        }
    }

    fn random_step(&mut self, index: u32) -> StepRequest {
        let depends_on = (0..index).filter(|_| self.random.chance(40)).collect();
        StepRequest {
            depends_on,
            gang: self.random.chance(30),
            checkpoints: self.random.chance(50),
            long_running: self.random.chance(8),
            ..step(1 + self.random.below(4) as u32)
        }
    }

    fn random_request(&mut self) -> JobRequest {
        let steps = (0..1 + self.random.below(4) as u32)
            .map(|i| self.random_step(i))
            .collect();
        let mut body = JobRequest {
            spec: format!("spec {}", self.submitted).into(),
            ..request(steps)
        };
        if self.random.chance(30) {
            body.repeat_count = 1 + self.random.below(4) as u32;
            body.interval_ms = self.random.below(4_000);
            body.start_at_ms = self.world.now.unix_ms + self.random.below(3_000) - 1_000;
        }
        body
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let number = self.submitted;
        let body = self.random_request();
        let queue = QUEUES[self.random.below(3) as usize];
        let terms = self.terms[queue].clone();
        self.facts.insert(
            number,
            JobFacts::new(body.clone(), terms.clone(), self.world.now),
        );
        self.world.submit_to(number, body, &terms);
    }

    fn submit_again(&mut self) {
        let known: Vec<u64> = self.facts.keys().copied().collect();
        let Some(&number) = self.random.pick(&known) else {
            return;
        };
        self.world
            .submit_to(number, request(vec![step(1)]), &terms("scans"));
        assert!(self.world.last.writes.is_empty());
    }

    fn begin(&mut self) {
        let waiting = self.world.waits();
        let Some(id) = self.random.pick(&waiting).cloned() else {
            return;
        };
        let started: Vec<StartedRun> = self.world.begin(&id);
        let facts = self
            .facts
            .get_mut(&number_of(&id.step.job))
            .expect("a submitted job");
        assert!(facts.turn(key_of(&id), self.world.now), "ORDER: {id:?}");
        facts.begin(key_of(&id), &started);
        for run in started {
            assert!(self.world.book.is_current(&run.run));
            self.newest.insert(run.run, run.checkpoint.to_string());
        }
    }

    fn held(&self) -> Vec<(u64, (u32, u32, u32), RunId)> {
        let mut held = Vec::new();
        for (&number, facts) in &self.facts {
            for (&key, unit) in &facts.units {
                for &index in &unit.held {
                    let run = RunId {
                        task: task(number, key.0, key.1, index),
                        run: unit.run,
                    };
                    held.push((number, key, run));
                }
            }
        }
        held
    }

    fn report(&mut self) {
        let held = self.held();
        let Some((number, key, run)) = self.random.pick(&held).cloned() else {
            return;
        };
        self.reported += 1;
        let text = format!("c{}", self.reported);
        let facts = self.facts.get_mut(&number).expect("a job");
        facts
            .units
            .get_mut(&key)
            .expect("a unit")
            .checkpoints
            .insert(text.clone());
        self.world.book.on_checkpoint(&run, &text);
        self.newest.insert(run, text);
    }

    fn over(&mut self) {
        let held = self.held();
        let Some((number, key, run)) = self.random.pick(&held).cloned() else {
            return;
        };
        let ends = [
            RunEnd::Done,
            RunEnd::Done,
            RunEnd::Done,
            RunEnd::Failed,
            RunEnd::Stopped,
        ];
        let others = [
            RunEnd::LeaseExpired,
            RunEnd::GangBroken,
            RunEnd::GangIncomplete,
            RunEnd::Rejected,
        ];
        let how = match self.random.below(10) {
            0 => None,
            1 => Some(others[self.random.below(4) as usize]),
            _ => Some(ends[self.random.below(5) as usize]),
        };
        match how {
            Some(how) => {
                let checkpoint = self.newest.get(&run).cloned().unwrap_or_default();
                assert!(self.world.end_with(&run, how, &checkpoint));
            }
            None if self.random.chance(50) => self.world.lose(&run),
            None => {
                self.world.book.on_run_withdrawn(self.world.now, &run);
                self.world.take();
            }
        }
        self.newest.remove(&run);
        assert!(!self.world.book.is_current(&run));
        assert!(!self.world.end(&run, RunEnd::Done), "an end counts once");
        let facts = self.facts.get_mut(&number).expect("a job");
        facts.over(key, run.task.index, how, self.world.now);
    }

    fn cancel(&mut self) {
        let known: Vec<u64> = self.facts.keys().copied().collect();
        let Some(&number) = self.random.pick(&known) else {
            return;
        };
        self.world.cancel(number);
        let facts = self.facts.get_mut(&number).expect("a job");
        if facts.end.is_none() {
            facts.finish(JobState::Cancelled, self.world.now);
        }
    }

    fn retune(&mut self) {
        let queue = QUEUES[self.random.below(3) as usize];
        let service: Arc<str> = format!("service {}", self.random.below(3)).into();
        let priority = self.random.below(3) as u32;
        let entry = self.terms.get_mut(queue).expect("a queue");
        (entry.service, entry.priority) = (service, priority);
        let is_removed = self.random.chance(20);
        let terms = self.terms.clone();
        self.world
            .book
            .apply_configuration(&|q| terms.get(q).filter(|_| !is_removed || q != queue).cloned());
        self.world.take();
        for facts in self.facts.values_mut().filter(|f| f.end.is_none()) {
            if !is_removed || &*facts.terms.queue != queue {
                facts.terms = self.terms[&*facts.terms.queue].clone();
            }
        }
    }

    fn pass(&mut self) {
        let span = self.random.below(1_500);
        self.world.pass(span);
        let now = self.world.now;
        self.facts.retain(|&number, facts| {
            let is_old = facts.end.is_some() && !facts.holds_runs();
            let is_gone = is_old && self.world.book.status(&job(number)).is_none();
            assert!(
                !is_gone || now.steady_ms >= facts.ended_at + STATUS_MS,
                "an ended job went too early"
            );
            !is_gone
        });
    }

    fn recover(&mut self) {
        self.world.pass(0);
        let mut recovered = self.world.recovered();
        assert!(
            recovered.last.writes.is_empty(),
            "a recovery changes nothing: {:?}",
            recovered.last.writes
        );
        for (run, checkpoint) in &self.newest {
            recovered.book.on_checkpoint(run, checkpoint);
        }
        assert_eq!(
            recovered.book.assigned_runs(),
            self.world.book.assigned_runs()
        );
        for &number in self.facts.keys() {
            assert_eq!(recovered.status(number), self.world.status(number));
            assert_eq!(
                recovered.book.queue_of(&job(number)),
                self.world.book.queue_of(&job(number))
            );
        }
        for queue in QUEUES {
            assert_eq!(
                recovered.book.pending_count(queue),
                self.world.book.pending_count(queue)
            );
        }
        let rests = |id: &UnitId| {
            self.facts[&number_of(&id.step.job)]
                .step(id.step.step)
                .long_running
        };
        let sure = |w: &World| -> Vec<_> {
            w.ready
                .values()
                .filter(|u| !rests(&u.id))
                .cloned()
                .collect()
        };
        assert_eq!(sure(&recovered), sure(&self.world));
        if self.random.chance(50) {
            recovered.stops = std::mem::take(&mut self.world.stops);
            self.world = recovered;
            for facts in self.facts.values_mut() {
                // A pause begins anew with the recovery.
                facts
                    .units
                    .values_mut()
                    .for_each(|u| u.over_at = self.world.now.steady_ms);
            }
        }
    }

    fn check(&self) {
        let mut waiting = BTreeMap::<&str, u64>::new();
        for (&number, facts) in &self.facts {
            assert_eq!(
                self.world.status(number),
                Some(facts.state()),
                "job {number}"
            );
            if facts.state() == JobState::Pending {
                *waiting.entry(&facts.terms.queue).or_default() += 1;
            }
            self.check_units(number, facts);
            self.check_keys(number, facts);
        }
        for queue in QUEUES {
            assert_eq!(
                self.world.book.pending_count(queue),
                waiting.get(queue).copied().unwrap_or(0)
            );
        }
        let known: BTreeSet<u64> = self
            .world
            .ready
            .keys()
            .map(|id| number_of(&id.step.job))
            .collect();
        assert!(known.iter().all(|number| self.facts.contains_key(number)));
    }

    fn check_units(&self, number: u64, facts: &JobFacts) {
        for (&key, unit) in &facts.units {
            let gang = facts.step(key.1).gang;
            let id = common::unit(number, key.0, key.1, (!gang).then_some(key.2));
            let given = self.world.ready.get(&id);
            let turn = facts.turn(key, self.world.now);
            let is_late = self.released_later(facts, key.0);
            assert!(
                turn || given.is_none(),
                "{id:?} waits before its turn or after its job's end"
            );
            assert!(
                !turn || given.is_some() || is_late || facts.may_rest(key, self.world.now),
                "{id:?} is lost"
            );
            if let Some(given) = given {
                assert_eq!(given.service, facts.terms.service);
                assert_eq!(given.priority, facts.terms.priority);
                let due = facts.due(key.0).max(facts.submitted);
                assert_eq!(given.order, due + facts.terms.target_latency_ms);
            }
            for &index in &unit.held {
                let run = RunId {
                    task: task(number, key.0, key.1, index),
                    run: unit.run,
                };
                let wanted = facts.end.is_none() && !unit.done && !unit.broken;
                assert_eq!(self.world.book.is_current(&run), wanted, "{run:?}");
                let must_stop = !unit.done && !wanted;
                assert!(
                    !must_stop || self.world.stops.contains(&run),
                    "{run:?} is not stopped"
                );
                assert!(
                    !wanted || !self.world.stops.contains(&run),
                    "{run:?} is stopped without cause"
                );
            }
        }
    }

    /// Iterations are released by `advance` and at the submission, and time may have passed since.
    fn released_later(&self, facts: &JobFacts, iteration: u32) -> bool {
        self.world.now.unix_ms < facts.due(iteration)
    }

    fn check_keys(&self, number: u64, facts: &JobFacts) {
        let is_over = facts.end.is_some() && !facts.holds_runs();
        let prefix = format!("task/{}.", job(number));
        let stored = self.world.state.range::<str, _>((
            std::ops::Bound::Included(prefix.as_str()),
            std::ops::Bound::Unbounded,
        ));
        let tasks = stored
            .take_while(|(key, _)| key.starts_with(&prefix))
            .count();
        assert!(
            !is_over || tasks == 0,
            "job {number} is over and has {tasks} tasks stored"
        );
        let record = &self.world.state[&*format!("job/{}", job(number))];
        assert!(
            !is_over || record.len() < 60,
            "the record of an ended job is {record}"
        );
    }

    fn round(&mut self) {
        match self.random.below(100) {
            0..=7 => self.submit(),
            8 => self.submit_again(),
            9..=44 => self.begin(),
            45..=79 => self.over(),
            80..=87 => self.report(),
            88..=89 => self.cancel(),
            90 => self.retune(),
            91..=95 => self.pass(),
            _ => self.recover(),
        }
        self.check();
    }
}

#[rstest]
fn given_any_seed_when_jobs_live_through_anything_then_every_rule_holds(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64,
) {
    for seed in block * 25..block * 25 + 25 {
        let mut search = Search::new(seed);
        for round in 0..400 {
            let context = Context(seed, round);
            search.round();
            drop(context);
        }
    }
}

/// Names the seed when a round panics.
struct Context(u64, u32);

impl Drop for Context {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} failed in round {}", self.0, self.1);
        }
    }
}

#[test]
fn given_a_hundred_thousand_jobs_when_one_more_lives_and_ends_then_it_costs_no_look_at_the_others()
{
    let mut world = World::new();
    for number in 0..100_000 {
        world.submit(number, request(vec![step(1)]));
    }
    assert_eq!(world.book.pending_count("scans"), 100_000);
    // A look at all others in each of these steps would be 2 * 10^10 of them.
    for number in 0..100_000 {
        let id = common::unit(number, 0, 0, Some(0));
        let on = [assignment(task(number, 0, 0, 0), "w")];
        let started = world.book.start_unit(world.now, &id, &on);
        assert!(world
            .book
            .on_run_finished(world.now, &started[0].run, RunEnd::Done, ""));
    }
    assert_eq!(world.book.pending_count("scans"), 0);
    world.ready.clear();
    world.take();
    world.pass(STATUS_MS);
    assert!(world.state.is_empty());
}
