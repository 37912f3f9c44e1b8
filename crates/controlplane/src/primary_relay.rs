//! The primary's end of the relay tree: leases of gates, and configurations sent down the tree.

use serde_json::{json, Value};
use streamusher_configuration::relay::{
    ConfigurationPublisher, OutboundMessage, RelayEnvelope, RelayMessage, RelayPeer,
};
use streamusher_configuration::PublishedConfiguration;
use streamusher_protocol::internal::{GateLeaseRequest, GateLeaseResponse, RELAY_PATH};
use streamusher_protocol::Millis;
use streamusher_runtime::http::Outbox;

/// The configuration publisher for one term of the primary.
struct TermPublisher {
    /// The epoch in which the primary was elected.
    epoch: u64,
    publisher: ConfigurationPublisher,
}

/// The publisher while this machine is the acting primary, and the outbound queues to the tree's members.
pub(crate) struct PrimaryRelay {
    /// `None` while this machine is not the acting primary.
    current: Option<TermPublisher>,
    outbox: Outbox<RelayMessage>,
}

impl Default for PrimaryRelay {
    fn default() -> PrimaryRelay {
        PrimaryRelay {
            current: None,
            outbox: Outbox::new(RELAY_PATH, encode_envelope),
        }
    }
}

impl PrimaryRelay {
    /// Advances to the current time. `acting_epoch` is the epoch in which this machine was elected, or `None`
    /// if it is not the acting primary.
    pub(crate) fn tick(&mut self, now: Millis, acting_epoch: Option<u64>) {
        let Some(epoch) = acting_epoch else {
            self.current = None;
            return;
        };
        let messages = self.publisher(now, epoch).tick(now);
        self.send(messages);
    }

    /// Publishes a configuration that was committed in the term of `epoch`.
    pub(crate) fn publish(
        &mut self,
        now: Millis,
        epoch: u64,
        configuration: &PublishedConfiguration,
    ) {
        let messages = self.publisher(now, epoch).publish(configuration);
        self.send(messages);
    }

    /// Renews a gate's lease.
    pub(crate) fn renew_lease(
        &mut self,
        now: Millis,
        epoch: u64,
        lease: &GateLeaseRequest,
    ) -> GateLeaseResponse {
        self.publisher(now, epoch).renew_lease(now, lease)
    }

    /// Handles messages from a member of the relay tree.
    pub(crate) fn receive(&mut self, now: Millis, epoch: u64, envelope: RelayEnvelope) {
        let messages = self.publisher(now, epoch).on_envelope(now, envelope);
        self.send(messages);
    }

    /// Status for operators as JSON; null while this machine is not the acting primary.
    pub(crate) fn status(&self) -> Value {
        let Some(TermPublisher { publisher, .. }) = &self.current else {
            return Value::Null;
        };
        let children: Vec<&RelayPeer> = publisher.root().receivers().collect();
        json!({
            "published": publisher.version(),
            "roster": publisher.leases().membership(),
            "told": children,
        })
    }

    /// Returns the publisher of the term that began in `epoch`, creating one for a new term.
    fn publisher(&mut self, now: Millis, epoch: u64) -> &mut ConfigurationPublisher {
        let current = self
            .current
            .take()
            .filter(|current| current.epoch == epoch)
            .unwrap_or_else(|| TermPublisher {
                epoch,
                publisher: ConfigurationPublisher::new(epoch, now),
            });
        &mut self.current.insert(current).publisher
    }

    fn send(&mut self, messages: Vec<OutboundMessage>) {
        for outbound in messages {
            for receiver in outbound.receivers {
                if let RelayPeer::Member(address) = receiver {
                    self.outbox.send(&address, outbound.message.clone());
                }
            }
        }
    }
}

fn encode_envelope(messages: Vec<RelayMessage>) -> Vec<u8> {
    let envelope = RelayEnvelope {
        sender: RelayPeer::Primary,
        messages,
    };
    serde_json::to_vec(&envelope).unwrap_or_default()
}
