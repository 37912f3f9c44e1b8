//! The primary's end of the relay tree for the time of one primary: its root, and the members' leases.

use super::member_leases::MemberLeases;
use super::message::{ConfigurationDelta, OutboundMessage, RelayEnvelope};
use super::root::RelayRoot;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_protocol::internal::{GateLeaseRequest, GateLeaseResponse};
use streamusher_protocol::Millis;

/// A configuration that is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: Arc<str>,
    /// Where an operator's update made it: the version on which that builds, and the update.
    pub update: Option<(u64, Arc<str>)>,
}

/// Root and leases of one primary.
#[derive(Clone, Debug)]
pub struct ConfigurationPublisher {
    root: RelayRoot,
    leases: MemberLeases,
}

impl ConfigurationPublisher {
    /// That of a primary that begins now.
    pub fn new(epoch: u64, now: Millis) -> ConfigurationPublisher {
        ConfigurationPublisher {
            root: RelayRoot::new(epoch, now),
            leases: MemberLeases::new(epoch, now),
        }
    }

    /// The version that was last published; 0 for none.
    pub fn version(&self) -> u64 {
        self.root.version()
    }

    /// The root of the tree.
    pub fn root(&self) -> &RelayRoot {
        &self.root
    }

    /// The leases of the members.
    pub fn leases(&self) -> &MemberLeases {
        &self.leases
    }

    /// Renews a lease.
    pub fn lease(&mut self, now: Millis, lease: &GateLeaseRequest) -> GateLeaseResponse {
        self.leases.renew(now, &lease.address);
        let configuration_version = self.version();
        let Some(roster) = self.leases.roster() else {
            return GateLeaseResponse {
                configuration_version,
                ..GateLeaseResponse::default()
            };
        };
        let is_known = lease.membership_version == roster.version;
        let members = (!is_known).then(|| roster.members.clone());
        GateLeaseResponse {
            configuration_version,
            membership_version: roster.version,
            members,
        }
    }

    /// Publishes a committed configuration. One whose text is no JSON was never committed, and is passed over.
    pub fn publish(&mut self, published: &Published) -> Vec<OutboundMessage> {
        let Some(text) = raw(&published.text) else {
            return Vec::new();
        };
        let version = published.version;
        match published
            .update
            .as_ref()
            .and_then(|(base, update)| Some((*base, raw(update)?)))
        {
            Some((base, update)) => self.root.publish_change(
                ConfigurationDelta {
                    base,
                    version,
                    update,
                },
                text,
            ),
            None => self.root.publish(version, text),
        }
    }

    /// Takes messages of a member.
    pub fn receive(&mut self, now: Millis, envelope: RelayEnvelope) -> Vec<OutboundMessage> {
        let from = envelope.from;
        let messages = envelope.messages.into_iter();
        messages
            .flat_map(|message| self.root.receive(now, &from, message))
            .collect()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<OutboundMessage> {
        if let Some(roster) = self.leases.tick(now) {
            self.root.set_roster(roster);
        }
        self.root.tick(now)
    }
}

fn raw(text: &str) -> Option<Arc<RawValue>> {
    RawValue::from_string(text.to_owned()).ok().map(Arc::from)
}
