//! CONFIG and the acknowledgement of orders: what operators and clients are answered by which configuration.

use super::{Checker, Rule};
use crate::catalog::Catalog;
use std::sync::Arc;
use streamusher_protocol::config::{Configuration, Route};
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// From the moment a worker saw the effect of a version until nobody may act by an older one.
const ROLLBACK_SLACK_MS: Millis = 250;

/// An operator's order as it was sent.
#[derive(Clone, Debug)]
pub struct SentOrder {
    /// The version on which it builds.
    pub base: u64,
    /// The configuration that it makes; none where it is invalid.
    pub result: Option<Arc<Configuration>>,
}

#[derive(Clone, Debug)]
struct OrderRecord {
    order: SentOrder,
    sent: Millis,
    acknowledged: Option<Millis>,
    refused: bool,
    late: bool,
}

impl OrderRecord {
    /// The configuration, unless it certainly is not in force.
    fn candidate(&self) -> Option<&Arc<Configuration>> {
        let result = self.order.result.as_ref()?;
        (self.acknowledged.is_some() || !self.refused).then_some(result)
    }

    fn version(&self) -> u64 {
        self.order
            .result
            .as_ref()
            .map_or(0, |result| result.version)
    }
}

/// All orders of a day.
#[derive(Debug, Default)]
pub(crate) struct Configurations {
    orders: Vec<OrderRecord>,
    /// Versions of which workers saw an effect, and when.
    effects: Vec<(Millis, u64)>,
}

impl Configurations {
    fn candidates(&self) -> impl Iterator<Item = &Arc<Configuration>> {
        self.orders.iter().filter_map(OrderRecord::candidate)
    }

    fn routes<'a>(&'a self, host: &'a str, prefix: &'a str) -> impl Iterator<Item = &'a Route> {
        let all = self
            .candidates()
            .flat_map(|configuration| configuration.routes.iter());
        all.filter(move |route| &*route.host == host && &*route.path_prefix == prefix)
    }

    pub(crate) fn may_run(&self, host: &str, prefix: &str, service: &str) -> bool {
        self.routes(host, prefix)
            .any(|route| &*route.service == service)
    }

    pub(crate) fn most_attempts(&self, catalog: &Catalog, job: &JobId) -> u32 {
        let Some(job) = catalog.job(job) else {
            return u32::MAX;
        };
        self.routes(&job.host, &job.prefix)
            .map(|route| route.max_attempts)
            .max()
            .unwrap_or(u32::MAX)
    }

    pub(crate) fn fewest_attempts(&self, host: &str, prefix: &str) -> u32 {
        self.routes(host, prefix)
            .map(|route| route.max_attempts)
            .min()
            .unwrap_or(0)
    }

    /// The service of a queue in the newest acknowledged configuration, if no newer one may be in force.
    pub(crate) fn newest_service(&self, host: &str, prefix: &str) -> Option<Arc<str>> {
        let newest = self
            .orders
            .iter()
            .filter(|o| o.candidate().is_some())
            .max_by_key(|order| order.version())?;
        newest.acknowledged?;
        let routes = &newest.order.result.as_ref()?.routes;
        routes
            .iter()
            .find(|r| &*r.host == host && &*r.path_prefix == prefix)
            .map(|r| r.service.clone())
    }

    fn newest_acknowledged(&self, by: Millis) -> Option<u64> {
        let acknowledged = self
            .orders
            .iter()
            .filter(|order| order.acknowledged.is_some_and(|at| at <= by));
        acknowledged.map(OrderRecord::version).max()
    }

    /// Notes that a worker was sent work of a queue, which tells that some versions are in force.
    fn see_effect(&mut self, now: Millis, host: &str, prefix: &str, service: &str) {
        let allows = |configuration: &&Arc<Configuration>| {
            let mut routes = configuration.routes.iter();
            routes.any(|r| &*r.host == host && &*r.path_prefix == prefix && &*r.service == service)
        };
        let oldest = self
            .candidates()
            .filter(allows)
            .map(|configuration| configuration.version)
            .min();
        let known = self.effects.last().map_or(0, |(_, version)| *version);
        if let Some(version) = oldest.filter(|version| *version > known) {
            self.effects.push((now, version));
        }
    }

    /// The oldest version by which a request sent at this time may be handled.
    fn floor(&self, sent: Millis, apply_ms: Millis) -> u64 {
        let acknowledged = self
            .newest_acknowledged(sent.saturating_sub(apply_ms))
            .unwrap_or(0);
        let seen = self
            .effects
            .iter()
            .filter(|(at, _)| at + ROLLBACK_SLACK_MS < sent)
            .map(|(_, version)| *version);
        acknowledged.max(seen.max().unwrap_or(0))
    }
}

impl Checker {
    /// An operator sends an order for the first time; the number is used in its answers.
    pub fn order_sent(&mut self, now: Millis, order: SentOrder) -> usize {
        let record = OrderRecord {
            order,
            sent: now,
            acknowledged: None,
            refused: false,
            late: false,
        };
        self.configuration.orders.push(record);
        self.configuration.orders.len() - 1
    }

    /// An order was answered.
    pub fn order_answered(&mut self, now: Millis, number: usize, status: u16) {
        let Some(record) = self.configuration.orders.get(number).cloned() else {
            return;
        };
        match status {
            200 => self.order_acknowledged(now, number, &record),
            400 | 409 | 412 | 413 | 422 => {
                self.configuration.orders[number].refused = true;
                if record.acknowledged.is_some() {
                    let text =
                        format!("order {number}, already acknowledged, is refused with {status}");
                    self.breach(now, Rule::Config, text);
                }
            }
            _ => {}
        }
    }

    fn order_acknowledged(&mut self, now: Millis, number: usize, record: &OrderRecord) {
        if record.order.result.is_none() {
            self.breach(
                now,
                Rule::Config,
                format!("invalid order {number} is acknowledged"),
            );
        }
        if record.refused && record.acknowledged.is_none() {
            self.breach(
                now,
                Rule::Config,
                format!("order {number} is acknowledged after it was refused"),
            );
        }
        let base = record.order.base;
        let others = self.configuration.orders.iter().enumerate();
        let taken = |(other, o): (usize, &OrderRecord)| {
            let same_base = other != number && o.order.base == base && o.acknowledged.is_some();
            same_base.then_some(other)
        };
        if let Some(other) = others.into_iter().find_map(taken) {
            let text =
                format!("orders {number} and {other} on version {base} are both acknowledged");
            self.breach(now, Rule::Config, text);
        }
        self.configuration.orders[number]
            .acknowledged
            .get_or_insert(now);
    }

    /// Orders that are still without an acknowledgement; `calm_since` is none while something is troubled.
    pub fn check_acknowledgements(&mut self, now: Millis, calm_since: Option<Millis>) {
        let Some(calm_since) = calm_since else { return };
        let limit = self.bounds.ack_timeout_ms;
        let newest = self.configuration.newest_acknowledged(now).unwrap_or(0);
        let mut late = Vec::new();
        for (number, record) in self.configuration.orders.iter_mut().enumerate() {
            let open =
                record.order.result.is_some() && record.acknowledged.is_none() && !record.refused;
            let current = record.order.base == newest;
            if open && current && !record.late && now > record.sent.max(calm_since) + limit {
                record.late = true;
                late.push(number);
            }
        }
        for number in late {
            self.breach(
                now,
                Rule::Acks,
                format!("order {number} has no acknowledgement after {limit} ms of calm"),
            );
        }
    }

    /// The configuration was read, at any machine, by a call sent at `sent`: whatever was acknowledged before is in it.
    pub fn configuration_read(&mut self, now: Millis, sent: Millis, body: &str) {
        let Ok(read) = serde_json::from_str::<Configuration>(body) else {
            self.breach(
                now,
                Rule::Config,
                "what was read is no configuration".into(),
            );
            return;
        };
        let newest = self.configuration.newest_acknowledged(sent).unwrap_or(0);
        if read.version < newest {
            let text = format!(
                "version {} is read, {newest} was acknowledged before",
                read.version
            );
            self.breach(now, Rule::Config, text);
        }
        let read = sorted(&read);
        let sent = self
            .configuration
            .candidates()
            .any(|candidate| sorted(candidate) == read);
        if !sent {
            let text = format!(
                "version {} is read, which was not sent so or was refused",
                read.version
            );
            self.breach(now, Rule::Config, text);
        }
    }

    /// The configuration could not be read at the end of the day.
    pub fn configuration_missing(&mut self, now: Millis) {
        if self.configuration.newest_acknowledged(now).is_some() {
            self.breach(
                now,
                Rule::Config,
                "the configuration cannot be read at the end".into(),
            );
        }
    }

    /// A client's POST was answered by a gate in touch.
    pub fn request_handled(
        &mut self,
        now: Millis,
        host: &str,
        prefix: &str,
        sent: Millis,
        status: u16,
    ) {
        let floor = self.configuration.floor(sent, self.bounds.config_apply_ms);
        if floor == 0 {
            return;
        }
        let has = |configuration: &Arc<Configuration>| {
            configuration
                .routes
                .iter()
                .any(|r| &*r.host == host && &*r.path_prefix == prefix)
        };
        let possible: Vec<bool> = self
            .configuration
            .candidates()
            .filter(|c| c.version >= floor)
            .map(has)
            .collect();
        if status == 404 && possible.iter().all(|there| *there) {
            self.breach(
                now,
                Rule::Config,
                format!("{host}{prefix} is answered 404, but is there since {floor}"),
            );
        }
        if (200..300).contains(&status) && !possible.contains(&true) {
            self.breach(
                now,
                Rule::Config,
                format!("{host}{prefix} is served, but was dropped by {floor}"),
            );
        }
    }

    /// Whether a configuration that may be in force lacks a queue.
    pub fn may_be_dropped(&self, host: &str, prefix: &str) -> bool {
        let newest = self
            .configuration
            .newest_acknowledged(Millis::MAX)
            .unwrap_or(0);
        let lacks = |configuration: &Arc<Configuration>| {
            !configuration
                .routes
                .iter()
                .any(|r| &*r.host == host && &*r.path_prefix == prefix)
        };
        self.configuration
            .candidates()
            .filter(|c| c.version >= newest)
            .any(lacks)
    }

    /// A worker began work of a queue.
    pub fn effect_seen(&mut self, now: Millis, host: &str, prefix: &str, service: &str) {
        self.configuration.see_effect(now, host, prefix, service);
    }
}

fn sorted(configuration: &Configuration) -> Configuration {
    let mut sorted = configuration.clone();
    sorted.routes.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
    sorted
}
