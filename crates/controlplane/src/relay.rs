//! The primary's end of the relay tree at work: leases of gates, and what goes down the tree.

use streamusher_configuration::relay::{
    ConfigurationPublisher, OutboundMessage, Published, RelayEnvelope, RelayMessage, RelayPeer,
};
use streamusher_protocol::internal::{GateLeaseRequest, GateLeaseResponse, RELAY_PATH};
use streamusher_protocol::Millis;
use streamusher_runtime::http::Outbox;

/// Root and leases while this machine is the primary, and the queues to the members.
pub struct Relay {
    reign: Option<(u64, ConfigurationPublisher)>,
    outbox: Outbox<RelayMessage>,
}

impl Default for Relay {
    fn default() -> Relay {
        Relay {
            reign: None,
            outbox: Outbox::new(RELAY_PATH, body_of),
        }
    }
}

impl Relay {
    /// Takes note of the epoch of which this machine is the primary, none for none, and does what is due.
    pub fn tick(&mut self, now: Millis, epoch: Option<u64>) {
        match self.reign_of(now, epoch) {
            Some(distribution) => {
                let sends = distribution.tick(now);
                self.send(sends);
            }
            None => self.reign = None,
        }
    }

    /// Publishes a configuration that is committed in this epoch.
    pub fn publish(&mut self, now: Millis, epoch: u64, published: &Published) {
        if let Some(distribution) = self.reign_of(now, Some(epoch)) {
            let sends = distribution.publish(published);
            self.send(sends);
        }
    }

    /// Renews a gate's lease.
    pub fn lease(
        &mut self,
        now: Millis,
        epoch: u64,
        lease: &GateLeaseRequest,
    ) -> GateLeaseResponse {
        self.reign_of(now, Some(epoch))
            .map(|reign| reign.lease(now, lease))
            .unwrap_or_default()
    }

    /// Takes messages of a member.
    pub fn receive(&mut self, now: Millis, epoch: u64, envelope: RelayEnvelope) {
        if let Some(distribution) = self.reign_of(now, Some(epoch)) {
            let sends = distribution.receive(now, envelope);
            self.send(sends);
        }
    }

    /// State for operators.
    pub fn status(&self) -> serde_json::Value {
        let Some((_, distribution)) = &self.reign else {
            return serde_json::Value::Null;
        };
        let children: Vec<&RelayPeer> = distribution.root().receivers().collect();
        serde_json::json!({
            "published": distribution.version(),
            "roster": distribution.leases().roster(),
            "told": children,
        })
    }

    fn reign_of(&mut self, now: Millis, epoch: Option<u64>) -> Option<&mut ConfigurationPublisher> {
        let epoch = epoch?;
        if self.reign.as_ref().is_none_or(|(of, _)| *of != epoch) {
            self.reign = Some((epoch, ConfigurationPublisher::new(epoch, now)));
        }
        self.reign.as_mut().map(|(_, distribution)| distribution)
    }

    fn send(&mut self, sends: Vec<OutboundMessage>) {
        for send in sends {
            for to in send.to {
                if let RelayPeer::Member(address) = to {
                    self.outbox.send(&address, send.message.clone());
                }
            }
        }
    }
}

fn body_of(messages: Vec<RelayMessage>) -> Vec<u8> {
    serde_json::to_vec(&RelayEnvelope {
        from: RelayPeer::Core,
        messages,
    })
    .unwrap_or_default()
}
