//! The primary's side of the relay tree for the term of one primary: the root and the members' leases.

use super::member_leases::MemberLeases;
use super::message::{ConfigurationDelta, OutboundMessage, RelayEnvelope};
use super::root::RelayRoot;
use crate::published::{PublishedConfiguration, PublishedUpdate};
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::internal::{GateLeaseRequest, GateLeaseResponse};
use streamusher_protocol::Millis;

/// Root of the relay tree and members' leases of one primary.
#[derive(Clone, Debug)]
pub struct ConfigurationPublisher {
    root: RelayRoot,
    leases: MemberLeases,
}

impl ConfigurationPublisher {
    /// Creates the publisher of a primary that was elected in `epoch`.
    pub fn new(epoch: u64, now: Millis) -> ConfigurationPublisher {
        ConfigurationPublisher {
            root: RelayRoot::new(epoch, now),
            leases: MemberLeases::new(epoch, now),
        }
    }

    /// Returns the version that was published last; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.root.version()
    }

    /// Returns the root of the relay tree.
    pub fn root(&self) -> &RelayRoot {
        &self.root
    }

    /// Returns the leases of the members.
    pub fn leases(&self) -> &MemberLeases {
        &self.leases
    }

    /// Renews the lease of a member. The response contains the members only if the request names another
    /// membership version than the newest one.
    pub fn renew_lease(&mut self, now: Millis, request: &GateLeaseRequest) -> GateLeaseResponse {
        self.leases.renew(now, &request.address);
        let configuration_version = self.version();
        let Some(membership) = self.leases.membership() else {
            return GateLeaseResponse {
                configuration_version,
                ..GateLeaseResponse::default()
            };
        };
        let is_known = request.membership_version == membership.version;
        GateLeaseResponse {
            configuration_version,
            membership_version: membership.version,
            members: (!is_known).then(|| membership.members.clone()),
        }
    }

    /// Publishes a committed configuration. A text that is not JSON was never committed, and is ignored.
    pub fn publish(&mut self, published: &PublishedConfiguration) -> Vec<OutboundMessage> {
        let Some(text) = raw_json(&published.text) else {
            return Vec::new();
        };
        let version = published.version;
        let delta = published
            .update
            .as_ref()
            .and_then(|update| to_delta(version, update));
        match delta {
            Some(delta) => self.root.publish_update(delta, text),
            None => self.root.publish(version, text),
        }
    }

    /// Handles the messages of a member; returns the answers.
    pub fn on_envelope(&mut self, now: Millis, envelope: RelayEnvelope) -> Vec<OutboundMessage> {
        let RelayEnvelope { sender, messages } = envelope;
        let mut answers = Vec::new();
        for message in &messages {
            answers.extend(self.root.on_message(now, &sender, message));
        }
        answers
    }

    /// Removes expired leases, and returns the heartbeats that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<OutboundMessage> {
        if let Some(membership) = self.leases.tick(now) {
            self.root.set_membership(membership);
        }
        self.root.tick(now)
    }
}

/// Converts an update to the form in which it is sent down the tree; `None` if its text is not JSON.
fn to_delta(version: u64, update: &PublishedUpdate) -> Option<ConfigurationDelta> {
    Some(ConfigurationDelta {
        base_version: update.base_version,
        version,
        update: raw_json(&update.text)?,
    })
}

fn raw_json(text: &str) -> Option<Arc<RawValue>> {
    RawValue::from_string(text.to_owned()).ok().map(Arc::from)
}
