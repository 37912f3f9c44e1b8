//! Rule CONFIG, and rule ACKS for changes, on the configuration by which operators and clients are answered.

use super::configurations::{has_queue, ChangeRecord, SentChange};
use super::state::Checker;
use super::violation::Rule;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;
use streamusher_protocol::Millis;

/// Response of a reachable gate to the submission of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueResponse<'a> {
    /// Host of the queue.
    pub(crate) host: &'a str,
    /// Path prefix of the queue.
    pub(crate) prefix: &'a str,
    /// Time at which the request was sent.
    pub(crate) sent_at: Millis,
    /// HTTP status of the response.
    pub(crate) status: u16,
}

impl Checker {
    /// Records a change that an operator sends for the first time. Returns the number under which its
    /// responses are reported.
    pub(crate) fn on_change_sent(&mut self, now: Millis, change: SentChange) -> usize {
        let record = ChangeRecord {
            change,
            sent_at: now,
            acknowledged_at: None,
            rejected: false,
            late: false,
        };
        self.configurations.changes.push(record);
        self.configurations.changes.len() - 1
    }

    /// Handles the response to a change.
    pub(crate) fn on_change_response(&mut self, now: Millis, number: usize, status: u16) {
        let Some(record) = self.configurations.changes.get(number).cloned() else {
            return;
        };
        match status {
            200 => self.on_change_acknowledged(now, number, &record),
            400 | 409 | 412 | 413 | 422 => {
                self.configurations.changes[number].rejected = true;
                if record.acknowledged_at.is_some() {
                    let text =
                        format!("change {number} was rejected with status {status} after it was acknowledged");
                    self.report(now, Rule::Config, text);
                }
            }
            _ => {}
        }
    }

    fn on_change_acknowledged(&mut self, now: Millis, number: usize, record: &ChangeRecord) {
        if record.change.result.is_none() {
            let text = format!("invalid change {number} was acknowledged");
            self.report(now, Rule::Config, text);
        }
        if record.rejected && record.acknowledged_at.is_none() {
            let text = format!("change {number} was acknowledged after it was rejected");
            self.report(now, Rule::Config, text);
        }
        let base = record.change.base;
        let is_conflicting = |(other, change): &(usize, &ChangeRecord)| {
            *other != number && change.change.base == base && change.acknowledged_at.is_some()
        };
        let mut changes = self.configurations.changes.iter().enumerate();
        if let Some((other, _)) = changes.find(is_conflicting) {
            let text = format!(
                "changes {number} and {other}, both based on version {base}, were acknowledged"
            );
            self.report(now, Rule::Config, text);
        }
        let record = &mut self.configurations.changes[number];
        record.acknowledged_at.get_or_insert(now);
    }

    /// Reports changes that are not acknowledged in time. There have been no faults since `stable_since`;
    /// `None` while there are faults.
    pub(crate) fn check_acknowledgements(&mut self, now: Millis, stable_since: Option<Millis>) {
        let Some(stable_since) = stable_since else {
            return;
        };
        let limit_ms = self.limits.ack_timeout_ms;
        let newest = self.configurations.newest_acknowledged(now).unwrap_or(0);
        let mut late = Vec::new();
        for (number, record) in self.configurations.changes.iter_mut().enumerate() {
            let is_open = record.change.result.is_some()
                && record.acknowledged_at.is_none()
                && !record.rejected;
            let is_current = record.change.base == newest;
            let due = record.sent_at.max(stable_since) + limit_ms;
            if is_open && is_current && !record.late && now > due {
                record.late = true;
                late.push(number);
            }
        }
        for number in late {
            let text = format!(
                "change {number} has no acknowledgement after {limit_ms} ms without faults"
            );
            self.report(now, Rule::Acks, text);
        }
    }

    /// Handles a configuration read from any machine by a call sent at `sent_at`. It must include every
    /// change acknowledged before.
    pub(crate) fn on_configuration_read(&mut self, now: Millis, sent_at: Millis, body: &str) {
        let Ok(read) = serde_json::from_str::<Configuration>(body) else {
            self.report(
                now,
                Rule::Config,
                "the response to a configuration read is not a valid configuration".into(),
            );
            return;
        };
        let version = read.version;
        let newest = self
            .configurations
            .newest_acknowledged(sent_at)
            .unwrap_or(0);
        if version < newest {
            let text = format!(
                "configuration version {version} was read after version {newest} was acknowledged"
            );
            self.report(now, Rule::Config, text);
        }
        let read = sorted(&read);
        let was_sent = self
            .configurations
            .candidates()
            .any(|sent| sorted(sent) == read);
        if !was_sent {
            let text = format!(
                "configuration version {version} was read, but was never sent or was rejected"
            );
            self.report(now, Rule::Config, text);
        }
    }

    /// Handles a failure to read the configuration at the end of the simulation.
    pub(crate) fn on_configuration_unreadable(&mut self, now: Millis) {
        if self.configurations.newest_acknowledged(now).is_some() {
            let text = "the configuration cannot be read at the end of the simulation".into();
            self.report(now, Rule::Config, text);
        }
    }

    /// Handles the response of a reachable gate to the submission of a job.
    pub(crate) fn on_queue_response(&mut self, now: Millis, response: QueueResponse<'_>) {
        let QueueResponse {
            host,
            prefix,
            sent_at,
            status,
        } = response;
        let oldest = self
            .configurations
            .oldest_allowed(sent_at, self.limits.config_apply_ms);
        if oldest == 0 {
            return;
        }
        let candidates = self.configurations.candidates();
        let possible = candidates.filter(|configuration| configuration.version >= oldest);
        let has_queue: Vec<bool> = possible
            .map(|configuration| has_queue(configuration, host, prefix))
            .collect();
        if status == 404 && has_queue.iter().all(|has_queue| *has_queue) {
            let text = format!(
                "{host}{prefix} was answered with status 404, but exists since version {oldest}"
            );
            self.report(now, Rule::Config, text);
        }
        if (200..300).contains(&status) && !has_queue.contains(&true) {
            let text = format!("{host}{prefix} was served, but version {oldest} had removed it");
            self.report(now, Rule::Config, text);
        }
    }

    /// Whether a configuration that may be in effect lacks a queue.
    pub(crate) fn may_lack_queue(&self, host: &str, prefix: &str) -> bool {
        let newest = self
            .configurations
            .newest_acknowledged(Millis::MAX)
            .unwrap_or(0);
        let lacks_queue = |configuration: &Arc<Configuration>| {
            configuration.version >= newest && !has_queue(configuration, host, prefix)
        };
        self.configurations.candidates().any(lacks_queue)
    }
}

fn sorted(configuration: &Configuration) -> Configuration {
    let mut sorted = configuration.clone();
    sorted.routes.sort_by(|a, b| a.name.cmp(&b.name));
    sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
    sorted
}
