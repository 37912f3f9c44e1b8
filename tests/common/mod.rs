//! Shared by the tests: a small site, one dispatcher and short words for events.
#![allow(dead_code)]

use streamusher::interface::{
    Action, AttemptEnd, AttemptOutcome, Class, ClassId, DeduplicationScope, Endpoint, Event, JobId,
    KindId, Micros, Repeatability, Request, Settings, WorkerId, ZoneId,
};
use streamusher::Balancer;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const FREE: u32 = 0;
pub const KEYED: u32 = 1;
pub const ONCE: u32 = 2;
pub const KEYED_ALL: u32 = 3;

/// Four classes: free, keyed within a cell, at most once, keyed over all.
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

/// The same with aims so wide that nothing is ever hopeless.
pub fn patient() -> Settings {
    let mut set = settings();
    set.classes
        .iter_mut()
        .for_each(|c| c.latency_target_stretch = 1e6);
    set
}

/// Worker `id`: zone by its lowest bit, cells of four, two kinds.
pub fn entry(id: u32) -> Endpoint {
    Endpoint {
        worker: WorkerId(id),
        zone: ZoneId(id % 2),
        cell: id / 4,
        kind: KindId(id % 2),
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// A dispatcher under test and all that it has been seen to do.
pub struct Desk {
    pub balancer: Balancer,
    pub now: Micros,
    pub log: Vec<Action>,
}

impl Desk {
    pub fn new(settings: Settings, workers: u32) -> Desk {
        let now = 1_000 * SECOND;
        let mut desk = Desk {
            balancer: Balancer::new(settings, 7, now),
            now,
            log: Vec::new(),
        };
        desk.list(true, (0..workers).map(entry).collect());
        desk
    }

    /// Hands over one event and the end of its batch; returns what was done about it.
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        self.batch(vec![event])
    }

    pub fn batch(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut out = Vec::new();
        for event in events {
            self.balancer.handle(self.now, event, &mut out);
        }
        self.balancer.handle(self.now, Event::BatchEnd, &mut out);
        self.log.extend(out.iter().cloned());
        out
    }

    pub fn list(&mut self, complete: bool, entries: Vec<Endpoint>) -> Vec<Action> {
        self.give(Event::EndpointUpdate {
            complete,
            endpoints: entries,
        })
    }

    pub fn arrive(&mut self, job: u64, class: u32) -> Vec<Action> {
        self.give(arrival(job, class))
    }

    pub fn end(&mut self, job: u64, attempt: u32, code: AttemptOutcome) -> Vec<Action> {
        self.give(ended(job, attempt, code, code == AttemptOutcome::Succeeded))
    }

    /// The timers of this job that are due by now, as they were asked for.
    pub fn wake(&mut self, after: Micros, token: u64) -> Vec<Action> {
        self.now += after;
        self.give(Event::Timer { token })
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

pub fn ended(job: u64, attempt: u32, code: AttemptOutcome, complete: bool) -> Event {
    Event::AttemptEnded(AttemptEnd {
        job: JobId(job),
        attempt,
        outcome: code,
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

/// Workers sent to, in order.
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

pub fn refused(actions: &[Action]) -> usize {
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
