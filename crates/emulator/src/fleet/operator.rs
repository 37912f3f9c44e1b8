//! Operators: they send configurations, change them, race, err, and repeat what got no clear answer.

use super::calls::{Asked, Caller, Outcome};
use super::event::Event;
use super::jobs::{HOST, QUEUES};
use super::setup::SERVICES;
use super::Fleet;
use crate::checker::configuration::SentOrder;
use crate::network::MachineId;
use crate::random::Random;
use crate::workload::{prefix, Workload};
use serde_json::json;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::config::{Configuration, Limits, Route, Service};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;
use streamusher_scheduler::{OperatorRequest, OperatorRequestKind, OperatorResponse};

/// How long an operator waits for an answer.
const PATIENCE_MS: Millis = 1_000;
/// The longest pause between two tries.
const LONGEST_PAUSE_MS: Millis = 800;
/// Redirects that are followed.
const MOST_REDIRECTS: u32 = 2;
/// Between two readings of the configuration during the day.
const READ_EVERY_MS: Millis = 350;
/// When the first configuration is sent.
const FIRST_AT_MS: Millis = 600;

/// What an operator does.
#[derive(Debug)]
pub(crate) enum OperatorEvent {
    /// Sends the first configuration.
    First,
    /// Reads the configuration; the last time at the end of the day.
    Read { last: bool },
    /// Sends an order again.
    Send { attempt: usize },
    /// Makes one of several changes.
    Change,
}

#[derive(Clone, Debug)]
struct Attempt {
    kind: OperatorRequestKind,
    /// The order's number at the checker; none for a reading.
    number: Option<usize>,
    last_reading: bool,
    base: Option<u64>,
    body: Arc<str>,
    result: Option<Arc<Configuration>>,
    tries: u32,
    redirects: u32,
    done: bool,
}

/// All operators of a day.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    known: Option<Arc<Configuration>>,
    attempts: Vec<Attempt>,
    extra: Vec<Arc<str>>,
    /// Answers are lost until then.
    pub(crate) answers_lost_until: Millis,
    /// Copies of orders are held up for so long at most, until then.
    pub(crate) held_up: Option<(Millis, Millis)>,
}

impl Operator {
    /// The prefix of a queue that was added, removed, or never was.
    pub(crate) fn some_extra_prefix(&self, random: &mut Random) -> Option<Arc<str>> {
        if random.chance(0.1) {
            return Some("/never/".into());
        }
        random.pick(&self.extra).cloned()
    }

    /// Version that was acknowledged last.
    pub(crate) fn version(&self) -> u64 {
        self.known.as_ref().map_or(0, |known| known.version)
    }
}

fn route(name: &str, prefix: &str, service: &str, priority: u32, max_attempts: u32) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        path_prefix: prefix.into(),
        timeout_ms: 3_000,
        target_latency_ms: 3_000,
        priority,
        service: service.into(),
        max_attempts,
        stretch: 3.0,
        other: [("kind".to_string(), json!("unsafe"))]
            .into_iter()
            .collect(),
    }
}

fn configuration_of(workload: &Workload) -> Configuration {
    let routes = workload.classes.iter().map(|class| Route {
        target_latency_ms: class.target_latency_ms,
        stretch: class.stretch,
        ..route(
            class.name,
            &prefix(class),
            class.service,
            class.priority,
            class.max_attempts,
        )
    });
    Configuration {
        routes: routes.collect(),
        services: workload.services().iter().map(service).collect(),
        ..first_configuration()
    }
}

fn service(name: &&str) -> Service {
    Service {
        name: (*name).into(),
        health_path: "/health".into(),
        ..Service::default()
    }
}

fn first_configuration() -> Configuration {
    let routes = QUEUES.iter().map(|(prefix, service, priority, attempts)| {
        route(
            &format!("r-{}", prefix.trim_matches('/')),
            prefix,
            service,
            *priority,
            *attempts,
        )
    });
    Configuration {
        version: 1,
        routes: routes.collect(),
        services: SERVICES.iter().map(service).collect(),
        limits: Limits::default(),
        other: serde_json::Map::new(),
    }
}

impl Fleet {
    pub(crate) fn plan_operator(&mut self) {
        self.queue
            .push(FIRST_AT_MS, Event::Operator(OperatorEvent::First));
        let end = self.setup.traffic_until + self.setup.bounds.finish_ms;
        self.queue
            .push(end, Event::Operator(OperatorEvent::Read { last: true }));
        let mut at = FIRST_AT_MS;
        while at < end {
            self.queue
                .push(at, Event::Operator(OperatorEvent::Read { last: false }));
            at += READ_EVERY_MS;
        }
    }

    pub(crate) fn operator_event(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::First => {
                let first = self
                    .workload
                    .as_deref()
                    .map_or_else(first_configuration, configuration_of);
                let first = Arc::new(first);
                let body = serde_json::to_string(&*first).unwrap_or_default();
                self.order(OperatorRequestKind::Replace, 0, body, Some(first));
            }
            OperatorEvent::Read { last } => self.read_configuration(last),
            OperatorEvent::Send { attempt } => self.send_order(attempt, None),
            OperatorEvent::Change => self.change_configuration(None),
        }
    }

    fn order(
        &mut self,
        kind: OperatorRequestKind,
        base: u64,
        body: String,
        result: Option<Arc<Configuration>>,
    ) {
        // The same change on the same version is the same order, whoever sends it.
        if self
            .operator
            .attempts
            .iter()
            .any(|sent| sent.base == Some(base) && *sent.body == *body)
        {
            return;
        }
        let sent = SentOrder {
            base,
            result: result.clone(),
        };
        let number = Some(self.checker.order_sent(self.now, sent));
        self.trace(|| format!("operator {kind:?} {number:?} on {base}: {body}"));
        self.attempt(Attempt {
            kind,
            number,
            last_reading: false,
            base: Some(base),
            body: body.into(),
            result,
            tries: 0,
            redirects: 0,
            done: false,
        });
    }

    pub(crate) fn read_configuration(&mut self, last: bool) {
        self.attempt(Attempt {
            kind: OperatorRequestKind::Read,
            number: None,
            last_reading: last,
            base: None,
            body: "".into(),
            result: None,
            tries: 0,
            redirects: 0,
            done: false,
        });
    }

    fn attempt(&mut self, attempt: Attempt) {
        self.operator.attempts.push(attempt);
        self.send_order(self.operator.attempts.len() - 1, None);
    }

    fn send_order(&mut self, number: usize, to: Option<MachineId>) {
        let cores = self.cores();
        let any = cores[self.random.below(cores.len())];
        let attempt = &mut self.operator.attempts[number];
        if attempt.done {
            return;
        }
        attempt.tries += 1;
        let order = OperatorRequest {
            kind: attempt.kind,
            base: attempt.base,
            body: attempt.body.clone(),
        };
        let caller = Caller::Operator {
            attempt: number,
            sent: self.now,
        };
        let to = to.unwrap_or(any);
        if let Some((most_ms, _)) = self.operator.held_up.filter(|(_, until)| self.now < *until) {
            let delay = self.random.between(100, most_ms);
            self.hold_up_copy(
                to,
                Asked::Primary(Box::new(ControlRequest::Operator(order.clone()))),
                delay,
            );
        }
        self.call(
            caller,
            to,
            Asked::Primary(Box::new(ControlRequest::Operator(order))),
            PATIENCE_MS,
        );
    }

    pub(crate) fn operator_answered(&mut self, sent: Millis, attempt: usize, outcome: Outcome) {
        if self.operator.attempts[attempt].done {
            return;
        }
        match outcome {
            Outcome::Operator(reply) if reply.status < 500 => {
                self.order_answered(sent, attempt, &reply)
            }
            Outcome::NotPrimary(view) => self.redirected(attempt, view.primary),
            _ => self.retry(attempt),
        }
    }

    fn redirected(&mut self, attempt: usize, primary: Option<CoreAddress>) {
        let to = primary.and_then(|address| self.machine_at(&address.control));
        let state = &mut self.operator.attempts[attempt];
        match to {
            Some(to) if state.redirects < MOST_REDIRECTS => {
                state.redirects += 1;
                self.send_order(attempt, Some(to));
            }
            _ => self.retry(attempt),
        }
    }

    fn retry(&mut self, attempt: usize) {
        let over = self.end.saturating_sub(600);
        let state = &mut self.operator.attempts[attempt];
        state.redirects = 0;
        if state.last_reading && self.now > over {
            state.done = true;
            self.checker.configuration_missing(self.now);
            return;
        }
        let pause = (50 << state.tries.min(5)).min(LONGEST_PAUSE_MS);
        self.queue.push(
            self.now + pause,
            Event::Operator(OperatorEvent::Send { attempt }),
        );
    }

    fn order_answered(&mut self, sent: Millis, attempt: usize, reply: &OperatorResponse) {
        let state = self.operator.attempts[attempt].clone();
        self.trace(|| {
            format!(
                "operator {:?} {:?} answered {} {}",
                state.kind, state.number, reply.status, reply.body
            )
        });
        self.operator.attempts[attempt].done = true;
        match state.number {
            None if reply.status == 200 => {
                self.checker.configuration_read(self.now, sent, &reply.body);
                if let Ok(read) = serde_json::from_str::<Configuration>(&reply.body) {
                    self.learn_configuration(Arc::new(read));
                }
            }
            None => {
                self.operator.attempts[attempt].done = false;
                self.retry(attempt);
            }
            Some(number) => {
                self.checker.order_answered(self.now, number, reply.status);
                match (reply.status, state.result) {
                    (200, Some(result)) => self.learn_configuration(result),
                    (409 | 412, _) => self.read_configuration(false),
                    _ => {}
                }
            }
        }
    }

    fn learn_configuration(&mut self, newer: Arc<Configuration>) {
        if newer.version > self.operator.version() {
            self.operator.known = Some(newer);
        }
    }

    /// An operator changes something.
    pub(crate) fn change_configuration(&mut self, version_step: Option<u64>) {
        let Some(known) = self.operator.known.clone() else {
            return;
        };
        let step = version_step.unwrap_or_else(|| self.random.between(1, 4));
        let mut next = (*known).clone();
        next.version += step;
        let (kind, body) = match self.random.below(4) {
            0 => {
                self.retune_some_route(&mut next);
                (
                    OperatorRequestKind::Replace,
                    serde_json::to_string(&next).unwrap_or_default(),
                )
            }
            1 => {
                let route = self.retune_some_route(&mut next);
                (
                    OperatorRequestKind::Update,
                    json!({"version": next.version, "upsert": {"routes": [route]}}).to_string(),
                )
            }
            2 if next.routes.len() > QUEUES.len() => {
                let removed = next.routes.pop().map(|route| route.name);
                (
                    OperatorRequestKind::Update,
                    json!({"version": next.version, "remove": {"routes": [removed]}}).to_string(),
                )
            }
            _ => {
                let route = self.add_route(&mut next);
                (
                    OperatorRequestKind::Update,
                    json!({"version": next.version, "upsert": {"routes": [route]}}).to_string(),
                )
            }
        };
        self.order(kind, known.version, body, Some(Arc::new(next)));
    }

    fn retune_some_route(&mut self, next: &mut Configuration) -> Route {
        let index = self.random.below(next.routes.len());
        next.routes[index].timeout_ms = self.random.between(2_000, 4_000);
        next.routes[index].clone()
    }

    fn add_route(&mut self, next: &mut Configuration) -> Route {
        let number = self.operator.extra.len() + 1;
        let prefix: Arc<str> = format!("/extra-{number}/").into();
        self.operator.extra.push(prefix.clone());
        let service = SERVICES[number % SERVICES.len()];
        let added = route(&format!("r-extra-{number}"), &prefix, service, 1, 2);
        next.routes.push(added.clone());
        added
    }

    /// One change after another.
    pub(crate) fn many_changes(&mut self, count: usize, gap_ms: Millis) {
        for index in 0..count {
            let at = self.now + gap_ms * index as Millis;
            self.queue.push(at, Event::Operator(OperatorEvent::Change));
        }
    }

    /// A change, and one that builds on it before it is answered.
    pub(crate) fn chain(&mut self) {
        let Some(known) = self.operator.known.clone() else {
            return;
        };
        let mut first = (*known).clone();
        first.version += 1;
        let route = self.retune_some_route(&mut first);
        let mut second = first.clone();
        second.version += 1;
        self.add_route(&mut second);
        // Whole, as another operator may have made another version of that number.
        let later = serde_json::to_string(&second).unwrap_or_default();
        self.order(
            OperatorRequestKind::Replace,
            first.version,
            later,
            Some(Arc::new(second)),
        );
        let sooner = json!({"version": first.version, "upsert": {"routes": [route]}}).to_string();
        self.order(
            OperatorRequestKind::Update,
            known.version,
            sooner,
            Some(Arc::new(first)),
        );
    }

    /// Two operators change the same version, perhaps under the same number.
    pub(crate) fn race(&mut self) {
        let step = self.random.chance(0.5).then_some(1);
        self.change_configuration(step);
        self.change_configuration(step);
    }

    /// An invalid change is sent.
    pub(crate) fn bad_change(&mut self) {
        let Some(known) = self.operator.known.clone() else {
            return;
        };
        let base = known.version;
        let mut next = (*known).clone();
        next.version += 1;
        match self.random.below(5) {
            0 => next.routes[0].service = "nobody".into(),
            1 => next.routes[0].timeout_ms = 0,
            2 => next.version = base,
            3 => next.routes[1].path_prefix = next.routes[0].path_prefix.clone(),
            _ => {
                let whole = serde_json::to_string(&next).unwrap_or_default();
                let cut = whole[..whole.len() / 2].to_string();
                self.order(OperatorRequestKind::Replace, base, cut, None);
                return;
            }
        }
        let body = serde_json::to_string(&next).unwrap_or_default();
        self.order(OperatorRequestKind::Replace, base, body, None);
    }
}
