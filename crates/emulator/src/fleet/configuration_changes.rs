//! Configurations sent by operators: the first one, and valid and invalid changes drawn at random.

use super::job_mix::{Queue, HOST, QUEUES};
use super::settings::SERVICES;
use crate::random::Random;
use crate::workload::{queue_prefix, Workload};
use serde_json::json;
use std::sync::Arc;
use streamusher_protocol::config::{Configuration, Limits, Route, Service};
use streamusher_protocol::Millis;
use streamusher_scheduler::OperatorRequestKind;

const ROUTE_TIMEOUT_MS: Millis = 3_000;
const TARGET_LATENCY_MS: Millis = 3_000;
const STRETCH: f64 = 3.0;
const ADDED_QUEUE_PRIORITY: u32 = 1;
const ADDED_QUEUE_MAX_ATTEMPTS: u32 = 2;
/// Largest increment from one configuration version to the next.
const MAX_VERSION_STEP: u64 = 4;

/// A change request that is not sent yet.
pub(crate) struct ChangeDraft {
    pub(crate) kind: OperatorRequestKind,
    /// Configuration version on which the change builds.
    pub(crate) base: u64,
    pub(crate) body: String,
    /// Configuration that results from the change; `None` if the change is invalid.
    pub(crate) result: Option<Arc<Configuration>>,
}

impl ChangeDraft {
    /// Creates a draft that replaces the whole configuration.
    fn replace(base: u64, next: Configuration) -> ChangeDraft {
        ChangeDraft {
            kind: OperatorRequestKind::Replace,
            base,
            body: serde_json::to_string(&next).unwrap_or_default(),
            result: Some(Arc::new(next)),
        }
    }

    /// Creates a draft that adds or replaces a route.
    fn upsert(base: u64, next: Configuration, route: &Route) -> ChangeDraft {
        let body = json!({"version": next.version, "upsert": {"routes": [route]}});
        ChangeDraft {
            kind: OperatorRequestKind::Update,
            base,
            body: body.to_string(),
            result: Some(Arc::new(next)),
        }
    }

    /// Creates a draft that removes a route.
    fn remove(base: u64, next: Configuration, route: Option<&Arc<str>>) -> ChangeDraft {
        let body = json!({"version": next.version, "remove": {"routes": [route]}});
        ChangeDraft {
            kind: OperatorRequestKind::Update,
            base,
            body: body.to_string(),
            result: Some(Arc::new(next)),
        }
    }

    /// Creates a draft that replaces the whole configuration with one that must be rejected.
    fn invalid(base: u64, body: String) -> ChangeDraft {
        ChangeDraft {
            kind: OperatorRequestKind::Replace,
            base,
            body,
            result: None,
        }
    }
}

/// Returns the draft that installs the first configuration.
pub(crate) fn first_configuration(workload: Option<&Workload>) -> ChangeDraft {
    let first = workload.map_or_else(regular_configuration, workload_configuration);
    ChangeDraft::replace(0, first)
}

fn regular_configuration() -> Configuration {
    let route = |queue: &Queue<'_>| {
        let name = format!("r-{}", queue.prefix.trim_matches('/'));
        route(&name, queue)
    };
    Configuration {
        version: 1,
        routes: QUEUES.iter().map(route).collect(),
        services: SERVICES.iter().map(|name| service(name)).collect(),
        limits: Limits::default(),
        other: serde_json::Map::new(),
    }
}

fn workload_configuration(workload: &Workload) -> Configuration {
    let routes = workload.classes.iter().map(|class| {
        let queue = Queue {
            prefix: &queue_prefix(class),
            service: class.service,
            priority: class.priority,
            max_attempts: class.max_attempts,
        };
        Route {
            target_latency_ms: class.target_latency_ms,
            stretch: class.stretch,
            ..route(class.name, &queue)
        }
    });
    Configuration {
        routes: routes.collect(),
        services: workload.services().into_iter().map(service).collect(),
        ..regular_configuration()
    }
}

fn route(name: &str, queue: &Queue<'_>) -> Route {
    let kind = ("kind".to_string(), json!("unsafe"));
    Route {
        name: name.into(),
        host: HOST.into(),
        path_prefix: queue.prefix.into(),
        timeout_ms: ROUTE_TIMEOUT_MS,
        target_latency_ms: TARGET_LATENCY_MS,
        priority: queue.priority,
        service: queue.service.into(),
        max_attempts: queue.max_attempts,
        stretch: STRETCH,
        other: [kind].into_iter().collect(),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        health_path: "/health".into(),
        ..Service::default()
    }
}

/// Draws changes of a configuration.
#[derive(Debug, Default)]
pub(crate) struct ChangeGenerator {
    /// Prefixes of all queues that this generator has added.
    added_queues: Vec<Arc<str>>,
}

impl ChangeGenerator {
    /// Prefixes of all queues that this generator has added.
    pub(crate) fn added_queues(&self) -> &[Arc<str>] {
        &self.added_queues
    }

    /// Draws a valid change. Its version increases by `version_step`, or by a drawn number if that is `None`.
    pub(crate) fn change(
        &mut self,
        random: &mut Random,
        known: &Configuration,
        version_step: Option<u64>,
    ) -> ChangeDraft {
        let step = version_step.unwrap_or_else(|| random.between(1, MAX_VERSION_STEP));
        let mut next = known.clone();
        next.version += step;
        match random.below(4) {
            0 => {
                change_some_route(random, &mut next);
                ChangeDraft::replace(known.version, next)
            }
            1 => {
                let route = change_some_route(random, &mut next);
                ChangeDraft::upsert(known.version, next, &route)
            }
            2 if next.routes.len() > QUEUES.len() => {
                let removed = next.routes.pop().map(|route| route.name);
                ChangeDraft::remove(known.version, next, removed.as_ref())
            }
            _ => {
                let route = self.add_queue(&mut next);
                ChangeDraft::upsert(known.version, next, &route)
            }
        }
    }

    /// Draws a change, and a second change that builds on it.
    pub(crate) fn chain(
        &mut self,
        random: &mut Random,
        known: &Configuration,
    ) -> (ChangeDraft, ChangeDraft) {
        let mut first = known.clone();
        first.version += 1;
        let route = change_some_route(random, &mut first);
        let mut second = first.clone();
        second.version += 1;
        self.add_queue(&mut second);
        // The second change replaces the whole configuration, since another operator may have created a
        // different configuration with the same version number.
        let second = ChangeDraft::replace(first.version, second);
        let first = ChangeDraft::upsert(known.version, first, &route);
        (first, second)
    }

    /// Draws a change that must be rejected.
    pub(crate) fn invalid(random: &mut Random, known: &Configuration) -> ChangeDraft {
        let base = known.version;
        let mut next = known.clone();
        next.version += 1;
        match random.below(5) {
            0 => next.routes[0].service = "nobody".into(),
            1 => next.routes[0].timeout_ms = 0,
            2 => next.version = base,
            3 => next.routes[1].path_prefix = next.routes[0].path_prefix.clone(),
            _ => {
                let whole = serde_json::to_string(&next).unwrap_or_default();
                let truncated = whole[..whole.len() / 2].to_string();
                return ChangeDraft::invalid(base, truncated);
            }
        }
        let body = serde_json::to_string(&next).unwrap_or_default();
        ChangeDraft::invalid(base, body)
    }

    fn add_queue(&mut self, next: &mut Configuration) -> Route {
        let number = self.added_queues.len() + 1;
        let prefix = format!("/extra-{number}/");
        self.added_queues.push(prefix.as_str().into());
        let queue = Queue {
            prefix: &prefix,
            service: SERVICES[number % SERVICES.len()],
            priority: ADDED_QUEUE_PRIORITY,
            max_attempts: ADDED_QUEUE_MAX_ATTEMPTS,
        };
        let added = route(&format!("r-extra-{number}"), &queue);
        next.routes.push(added.clone());
        added
    }
}

fn change_some_route(random: &mut Random, next: &mut Configuration) -> Route {
    let index = random.below(next.routes.len());
    next.routes[index].timeout_ms = random.between(2_000, 4_000);
    next.routes[index].clone()
}
