//! Fixtures for the tests of the decision module: settings of a small site, a dispatcher under test and
//! constructors of events.
#![allow(dead_code)]

use streamusher::interface::{
    Action, AttemptEnd, AttemptOutcome, Class, ClassId, DeduplicationScope, Endpoint, Event, JobId,
    KindId, Micros, Repeatability, Request, Settings, WorkerId, ZoneId,
};
use streamusher::Balancer;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const IDEMPOTENT: u32 = 0;
pub const KEYED_PER_CELL: u32 = 1;
pub const AT_MOST_ONCE: u32 = 2;
pub const KEYED_FLEET_WIDE: u32 = 3;

/// Four classes: idempotent, idempotent by key within a cell, at most once, idempotent by key in the whole fleet.
pub fn settings() -> Settings {
    let class = |repeat| Class {
        repeatability: repeat,
        latency_target_us: 100 * MS,
        latency_target_stretch: 2.0,
        deadline_us: 5 * SECOND,
        ..Class::default()
    };
    let window_us = 2 * SECOND;
    Settings {
        dispatchers: 1,
        batch_interval_us: 4 * MS,
        classes: vec![
            class(Repeatability::Idempotent),
            class(Repeatability::IdempotentByKey {
                scope: DeduplicationScope::Cell,
                window_us,
            }),
            class(Repeatability::AtMostOnce),
            class(Repeatability::IdempotentByKey {
                scope: DeduplicationScope::All,
                window_us,
            }),
        ],
        notifies_start: true,
        may_cancel: true,
        may_duplicate: true,
        max_attempts: 4,
        answer_slack_us: 16 * MS,
        max_retry_after_us: SECOND,
        start_capacity: 0.3,
        warm_up_us: 8 * SECOND,
        overload_multiple: 2.5,
        overload_tolerance_us: 2 * SECOND,
        ..Settings::default()
    }
}

/// `settings()` with latency targets so wide that the dispatcher never gives a job up as hopeless.
pub fn settings_with_wide_targets() -> Settings {
    let mut settings = settings();
    settings
        .classes
        .iter_mut()
        .for_each(|c| c.latency_target_stretch = 1e6);
    settings
}

/// Endpoint of worker `id`: the lowest bit selects the zone and the kind, and each cell has four workers.
pub fn endpoint(id: u32) -> Endpoint {
    Endpoint {
        worker: WorkerId(id),
        zone: ZoneId(id % 2),
        cell: id / 4,
        kind: KindId(id % 2),
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// Dispatcher under test with a simulated clock, and a log of all actions that it returned.
pub struct TestDispatcher {
    pub balancer: Balancer,
    pub now: Micros,
    pub log: Vec<Action>,
}

impl TestDispatcher {
    pub fn new(settings: Settings, workers: u32) -> TestDispatcher {
        let now = 1_000 * SECOND;
        let mut dispatcher = TestDispatcher {
            balancer: Balancer::new(settings, 7, now),
            now,
            log: Vec::new(),
        };
        dispatcher.update_endpoints(true, (0..workers).map(endpoint).collect());
        dispatcher
    }

    /// Handles one event and the end of its batch; returns the actions.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        self.handle_batch(vec![event])
    }

    pub fn handle_batch(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            self.balancer.handle(self.now, event, &mut actions);
        }
        self.balancer
            .handle(self.now, Event::BatchEnd, &mut actions);
        self.log.extend(actions.iter().cloned());
        actions
    }

    pub fn update_endpoints(&mut self, complete: bool, entries: Vec<Endpoint>) -> Vec<Action> {
        self.handle_event(Event::EndpointUpdate {
            complete,
            endpoints: entries,
        })
    }

    pub fn arrive(&mut self, job: u64, class: u32) -> Vec<Action> {
        self.handle_event(arrival(job, class))
    }

    pub fn end_attempt(&mut self, job: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle_event(attempt_ended(
            job,
            attempt,
            outcome,
            outcome == AttemptOutcome::Succeeded,
        ))
    }

    /// Advances the clock by `after` and fires a timer.
    pub fn fire_timer(&mut self, after: Micros, token: u64) -> Vec<Action> {
        self.now += after;
        self.handle_event(Event::Timer { token })
    }
}

pub fn arrival(job: u64, class: u32) -> Event {
    Event::Arrived(Request {
        job: JobId(job),
        class: ClassId(class),
        expires_in_us: 5 * SECOND,
        slots: 1.0,
        ..Request::default()
    })
}

pub fn attempt_ended(job: u64, attempt: u32, outcome: AttemptOutcome, complete: bool) -> Event {
    Event::AttemptEnded(AttemptEnd {
        job: JobId(job),
        attempt,
        outcome,
        is_final: complete,
        report: None,
    })
}

pub fn started(job: u64, attempt: u32) -> Event {
    Event::Started {
        job: JobId(job),
        attempt,
    }
}

/// Workers that jobs are sent to, in the order of the actions.
pub fn sends(actions: &[Action]) -> Vec<u32> {
    let worker = |a: &Action| match a {
        Action::Send { worker, .. } => Some(worker.0),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

pub fn cancels(actions: &[Action]) -> Vec<u32> {
    let attempt = |a: &Action| match a {
        Action::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

pub fn rejected(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

pub fn failed(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Fail { .. }))
        .count()
}
