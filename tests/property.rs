//! Random valid sequences of events, checked against an independent statement of the rules. Worker speed is
//! not modelled: the outcome and time of each attempt come from a seeded generator.

mod common;
use common::{
    attempt_ended, endpoint, settings, settings_with_wide_targets, started, KEYED_PER_CELL, SECOND,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use streamusher::interface::{
    Action, AttemptEnd, AttemptOutcome, ClassId, DeduplicationScope, Endpoint, EndpointState,
    Event, JobId, KindId, LoadReport, Micros, Repeatability, Request, Settings, TenantId, WorkerId,
    ZoneId,
};
use streamusher::Balancer;

struct TrackedAttempt {
    worker: u32,
    sent_at: Micros,
    outcome: Option<AttemptOutcome>,
    is_started: bool,
    cancelled: bool,
}

struct TrackedJob {
    class: usize,
    deadline: Micros,
    answered_at: Option<Micros>,
    sent: Vec<TrackedAttempt>,
}

struct Checker {
    settings: Settings,
    states: Vec<EndpointState>,
    jobs: BTreeMap<u64, TrackedJob>,
    timers: BTreeMap<(Micros, u64), u64>,
    sends: usize,
    answers: usize,
    digest: Sha256,
}

/// Encodes an action as numbers, so that the digest does not depend on names.
fn encode(action: &Action) -> [u64; 3] {
    match action {
        Action::Send { job, worker } => [1, job.0, worker.0.into()],
        Action::Cancel { job, attempt } => [2, job.0, u64::from(*attempt)],
        Action::Reject {
            job,
            retry_after_us,
        } => [3, job.0, *retry_after_us],
        Action::Fail { job } => [4, job.0, 0],
        Action::Schedule { delay_us, token } => [5, *delay_us, *token],
        Action::Probe { worker } => [6, worker.0.into(), 0],
        Action::Subscribe => [7, 0, 0],
    }
}

impl Checker {
    fn check_actions(&mut self, now: Micros, actions: Vec<Action>, timer_count: &mut u64) {
        for action in actions {
            self.digest.update(now.to_be_bytes());
            encode(&action)
                .iter()
                .for_each(|number| self.digest.update(number.to_be_bytes()));
            match action {
                Action::Schedule { delay_us, token } => {
                    *timer_count += 1;
                    self.timers.insert((now + delay_us, *timer_count), token);
                }
                Action::Probe { worker } => {
                    assert!(
                        self.settings.reports_only_on_probe
                            && (worker.0 as usize) < self.states.len()
                    )
                }
                Action::Subscribe => assert!(self.settings.discovery_must_be_polled),
                Action::Send { job, worker } => self.send(now, job.0, worker.0),
                Action::Cancel { job, attempt } => {
                    assert!(self.settings.may_cancel);
                    self.jobs.get_mut(&job.0).unwrap().sent[attempt as usize].cancelled = true;
                }
                Action::Reject { job, .. } => {
                    let job_state = &self.jobs[&job.0];
                    let never_ran_anywhere = job_state
                        .sent
                        .iter()
                        .all(|s| s.outcome.is_some_and(|e| never_ran(&self.settings, e)));
                    match self.settings.classes[job_state.class].repeatability {
                        Repeatability::Idempotent
                        | Repeatability::IdempotentByKey {
                            scope: DeduplicationScope::All,
                            ..
                        } => {}
                        _ => assert!(never_ran_anywhere, "rejected a job that may have run"),
                    }
                    self.finish(now, job.0);
                }
                Action::Fail { job } => self.finish(now, job.0),
            }
        }
    }

    fn finish(&mut self, now: Micros, job: u64) {
        let job_state = self.jobs.get_mut(&job).unwrap();
        assert!(job_state.answered_at.is_none(), "answered twice");
        assert!(
            now <= job_state.deadline + self.settings.answer_slack_us,
            "answered too late"
        );
        job_state.answered_at = Some(now);
        self.answers += 1;
    }

    fn send(&mut self, now: Micros, job: u64, worker: u32) {
        self.sends += 1;
        let job_state = self.jobs.get_mut(&job).unwrap();
        assert!(job_state.answered_at.is_none(), "sent after the answer");
        assert!(now < job_state.deadline);
        assert_eq!(
            self.states[worker as usize],
            EndpointState::Ready,
            "sent to a worker that is draining or gone"
        );
        assert!((job_state.sent.len() as u32) < self.settings.max_attempts);
        // In this test a worker's zone and kind are its number modulo 2 and 3.
        let class = &self.settings.classes[job_state.class];
        let zones = class
            .permitted_zones
            .iter()
            .flatten()
            .map(|z| z.0)
            .collect::<Vec<_>>();
        assert!(
            zones.is_empty() || zones.contains(&(worker % 2)),
            "sent to a zone that is not permitted"
        );
        let kinds = class
            .permitted_kinds
            .iter()
            .flatten()
            .map(|k| k.0)
            .collect::<Vec<_>>();
        assert!(
            kinds.is_empty() || kinds.contains(&(worker % 3)),
            "sent to a kind that is not permitted"
        );
        assert!(
            self.settings.may_duplicate || job_state.sent.iter().all(|s| s.outcome.is_some()),
            "two attempts in flight"
        );
        let possible_runs: Vec<&TrackedAttempt> = job_state
            .sent
            .iter()
            .filter(|s| !s.outcome.is_some_and(|e| never_ran(&self.settings, e)))
            .collect();
        match self.settings.classes[job_state.class].repeatability {
            Repeatability::Idempotent => {}
            Repeatability::AtMostOnce => assert!(possible_runs.is_empty(), "may have run twice"),
            Repeatability::IdempotentByKey { scope, window_us } => {
                if let Some(first) = possible_runs.first() {
                    assert!(
                        now <= first.sent_at + window_us,
                        "sent past the deduplication window"
                    );
                    match scope {
                        DeduplicationScope::All => {}
                        DeduplicationScope::Zone => assert_eq!(first.worker % 2, worker % 2),
                        DeduplicationScope::Cell => assert_eq!(first.worker / 4, worker / 4),
                    }
                }
            }
        }
        job_state.sent.push(TrackedAttempt {
            worker,
            sent_at: now,
            outcome: None,
            is_started: false,
            cancelled: false,
        });
    }
}

fn never_ran(settings: &Settings, outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    ) || (outcome == AttemptOutcome::Shed && !settings.shed_may_have_run)
}

/// Digest of all actions for the seeds of the test below. A change of policy replaces it and states so in its
/// commit.
const RECORDED_DIGEST: &str = "2392b04bf7d0ec7e";

fn run_sequence(seed: u64) -> (usize, usize, Sha256) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sequence_settings = settings_with_wide_targets();
    sequence_settings.notifies_start = rng.random();
    sequence_settings.may_cancel = rng.random_bool(0.8);
    sequence_settings.may_duplicate = rng.random_bool(0.8);
    sequence_settings.max_attempts = rng.random_range(1..7);
    sequence_settings.discovery_must_be_polled = rng.random();
    sequence_settings.reports_only_on_probe = rng.random_bool(0.3);
    sequence_settings.shed_may_have_run = rng.random();
    for class in &mut sequence_settings.classes {
        class.permitted_zones = rng
            .random_bool(0.3)
            .then(|| vec![ZoneId(rng.random_range(0..2))]);
        class.permitted_kinds = rng
            .random_bool(0.3)
            .then(|| vec![KindId(rng.random_range(0..3)), KindId(1)]);
    }
    if let Repeatability::IdempotentByKey { scope, .. } =
        &mut sequence_settings.classes[KEYED_PER_CELL as usize].repeatability
    {
        *scope = if rng.random() {
            DeduplicationScope::Zone
        } else {
            DeduplicationScope::Cell
        };
    }
    let tick = sequence_settings.batch_interval_us;
    let worker_count = rng.random_range(1..20u32);
    let mut now = 1_000 * SECOND;
    let mut balancer = Balancer::new(sequence_settings.clone(), seed, now);
    let states = vec![EndpointState::Gone; worker_count as usize];
    let mut checker = Checker {
        settings: sequence_settings,
        states,
        jobs: BTreeMap::new(),
        timers: BTreeMap::new(),
        sends: 0,
        answers: 0,
        digest: Sha256::default(),
    };
    let (mut timer_count, mut next_job) = (0, 0);
    let mut started_at = vec![0; worker_count as usize];
    let mut is_first_list = true;
    let end_of_arrivals = now + 20 * SECOND;
    while now < end_of_arrivals + 8 * SECOND {
        let mut events = Vec::new();
        if is_first_list || rng.random_bool(0.01) {
            let complete = is_first_list || rng.random_bool(0.3);
            let mut entries = Vec::new();
            for id in 0..worker_count {
                let index = id as usize;
                if !is_first_list && complete && rng.random_bool(0.1) {
                    checker.states[index] = EndpointState::Gone; // no longer listed
                    continue;
                }
                if !is_first_list && !complete && rng.random_bool(0.7) {
                    continue;
                }
                checker.states[index] = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                ][rng.random_range(0..4)];
                if rng.random_bool(0.1) {
                    started_at[index] = now - rng.random_range(0..20) * SECOND;
                }
                entries.push(Endpoint {
                    state: checker.states[index],
                    started_at_us: started_at[index],
                    kind: KindId(id % 3),
                    ..endpoint(id)
                });
            }
            is_first_list = false;
            events.push(Event::EndpointUpdate {
                complete,
                endpoints: entries,
            });
        }
        if rng.random_bool(0.01) {
            events.push(Event::DiscoveryFailed);
        }
        // `states` reflects all list updates of the batch, so these are handled first and the checks hold for
        // the rest.
        let mut actions = Vec::new();
        for event in events.drain(..) {
            balancer.handle(now, event, &mut actions);
        }
        checker.check_actions(now, std::mem::take(&mut actions), &mut timer_count);

        let due: Vec<_> = checker
            .timers
            .range(..=(now, u64::MAX))
            .map(|(k, v)| (*k, *v))
            .collect();
        for (key, token) in due {
            checker.timers.remove(&key);
            balancer.handle(now, Event::Timer { token }, &mut actions);
            checker.check_actions(now, std::mem::take(&mut actions), &mut timer_count);
        }
        if now < end_of_arrivals && rng.random_bool(0.2) {
            next_job += 1;
            let class = rng.random_range(0..4u32);
            let wait = rng.random_range(0..3 * SECOND);
            checker.jobs.insert(
                next_job,
                TrackedJob {
                    class: class as usize,
                    deadline: now + wait,
                    answered_at: None,
                    sent: Vec::new(),
                },
            );
            let request = Request {
                job: JobId(next_job),
                class: ClassId(class),
                expires_in_us: wait,
                ..Request::default()
            };
            balancer.handle(now, Event::Arrived(request), &mut actions);
            checker.check_actions(now, std::mem::take(&mut actions), &mut timer_count);
        }
        let open: Vec<u64> = checker.jobs.keys().copied().collect();
        for id in open {
            let count = checker.jobs[&id].sent.len();
            for number in 0..count {
                let job_state = checker.jobs.get_mut(&id).unwrap();
                let (deadline, is_over) = (job_state.deadline, job_state.answered_at.is_some());
                let attempt = &mut job_state.sent[number];
                if attempt.outcome.is_some() {
                    continue;
                }
                if !attempt.is_started && rng.random_bool(0.2) {
                    attempt.is_started = true;
                    balancer.handle(now, started(id, number as u32), &mut actions);
                    checker.check_actions(now, std::mem::take(&mut actions), &mut timer_count);
                    continue;
                }
                let outcome = match () {
                    _ if now >= deadline => AttemptOutcome::TimedOut,
                    _ if attempt.cancelled && rng.random() => AttemptOutcome::Cancelled,
                    _ if rng.random_bool(0.03) => [
                        AttemptOutcome::Succeeded,
                        AttemptOutcome::WorkerError,
                        AttemptOutcome::Shed,
                        AttemptOutcome::ConnectFailed,
                        AttemptOutcome::ConnectionLost,
                    ][rng.random_range(0..5)],
                    _ => continue,
                };
                attempt.outcome = Some(outcome);
                let is_final = is_over || outcome == AttemptOutcome::Succeeded;
                if outcome == AttemptOutcome::Succeeded && !is_over {
                    job_state.answered_at = Some(now);
                    checker.answers += 1;
                }
                balancer.handle(
                    now,
                    attempt_ended(id, number as u32, outcome, is_final),
                    &mut actions,
                );
                checker.check_actions(now, std::mem::take(&mut actions), &mut timer_count);
            }
            let job_state = checker.jobs.get_mut(&id).unwrap();
            if job_state.answered_at.is_none()
                && now >= job_state.deadline + checker.settings.answer_slack_us
            {
                panic!("request {id} was not answered in time");
            }
            if job_state.answered_at.is_some() && job_state.sent.iter().all(|s| s.outcome.is_some())
            {
                checker.jobs.remove(&id);
            }
        }
        balancer.handle(now, Event::BatchEnd, &mut actions);
        checker.check_actions(now, std::mem::take(&mut actions), &mut timer_count);
        if rng.random_bool(0.0005) {
            // Restart after a kill: the new dispatcher owes and knows nothing of the old one's jobs.
            balancer = Balancer::new(checker.settings.clone(), seed + now, now);
            checker.jobs.clear();
            checker.timers.clear();
            is_first_list = true;
        }
        now += tick;
    }
    assert!(
        checker
            .jobs
            .values()
            .all(|job_state| job_state.answered_at.is_some()),
        "all jobs are answered in the end"
    );
    (checker.sends, checker.answers, checker.digest)
}

#[test]
fn random_sequences_obey_the_rules() {
    let (mut sends, mut answers) = (0, 0);
    let mut all = Sha256::default();
    for seed in 0..60 {
        let (sequence_sends, sequence_answers, digest) = run_sequence(seed);
        sends += sequence_sends;
        answers += sequence_answers;
        all.update(digest.finalize());
    }
    let digest: String = all.finalize()[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(
        digest, RECORDED_DIGEST,
        "decisions differ from the recorded ones; a change of names alone does not alter them"
    );
    assert!(
        sends > 20_000 && answers > 20_000,
        "{sends} sends, {answers} answers: too few to be meaningful"
    );
}

/// Guards against panics on any events in any order, identifiers out of range and invalid settings.
#[test]
fn arbitrary_events_and_settings_cause_no_panic() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut arbitrary_settings = if seed % 3 == 0 {
            Settings::default()
        } else {
            settings()
        };
        if seed % 2 == 0 {
            arbitrary_settings.batch_interval_us = 0;
            arbitrary_settings.warm_up_us = 0;
            arbitrary_settings.max_discovery_interval_us = 0;
            arbitrary_settings.max_attempts = rng.random_range(0..2);
            arbitrary_settings.start_capacity = f64::NAN;
            arbitrary_settings.discovery_must_be_polled = true;
        }
        let mut balancer = Balancer::new(arbitrary_settings, seed, rng.random());
        let mut actions = Vec::new();
        for _ in 0..300 {
            let now: Micros = rng.random();
            let job = JobId([rng.random_range(0..6), rng.random()][rng.random_range(0..2)]);
            let attempt = rng.random_range(0..4);
            let worker = WorkerId(rng.random_range(0..5));
            let report = Some(LoadReport {
                free_slots: Some(f64::NAN),
                waiting: Some(-1.0),
                ..LoadReport::default()
            });
            let outcomes = [
                AttemptOutcome::Succeeded,
                AttemptOutcome::Shed,
                AttemptOutcome::WorkerError,
                AttemptOutcome::Cancelled,
                AttemptOutcome::TimedOut,
            ];
            let outcome = outcomes[rng.random_range(0..5)];
            let endpoint_update = Endpoint {
                worker,
                weight: [0.0, -1.0, f64::NAN, 1.0][rng.random_range(0..4)],
                started_at_us: rng.random(),
                ..endpoint(0)
            };
            let event = match rng.random_range(0..12) {
                0 => Event::EndpointUpdate {
                    complete: rng.random(),
                    endpoints: vec![endpoint_update],
                },
                1 => Event::DiscoveryFailed,
                2..=4 => Event::Arrived(Request {
                    free_quota_share: (rng.random_range(0..10) == 0)
                        .then(|| rng.random_range(0..3) as f64 / 2.0),
                    job,
                    class: ClassId(rng.random_range(0..6)),
                    tenant: Some(TenantId(rng.random_range(0..3))),
                    expires_in_us: rng.random(),
                    expected_work_us: Some(rng.random()),
                    slots: f64::NAN,
                    affinity_key: rng.random::<bool>().then(|| rng.random()),
                }),
                5 => Event::Started { job, attempt },
                6 => Event::Progress {
                    job,
                    attempt,
                    done: f64::NAN,
                },
                7 => Event::StreamBegan { job, attempt },
                8 => Event::AttemptEnded(AttemptEnd {
                    job,
                    attempt,
                    outcome,
                    is_final: rng.random(),
                    report,
                }),
                9 => Event::ClientGone { job },
                10 => Event::Timer {
                    token: [job.0, u64::MAX, u64::MAX - 1][rng.random_range(0..3)],
                },
                _ => Event::ProbeEnded {
                    worker,
                    answered: rng.random(),
                    report,
                },
            };
            balancer.handle(now, event, &mut actions);
            balancer.handle(now, Event::BatchEnd, &mut actions);
        }
    }
}
