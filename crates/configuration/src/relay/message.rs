//! Messages between the processes of the relay tree. Their names in JSON are the same in all releases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;

/// Sender or receiver of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RelayPeer {
    /// The primary, on whichever machine it runs.
    #[serde(rename = "Core")]
    Primary,
    /// A member, identified by its address.
    Member(Arc<str>),
}

/// Heartbeat counter of the root, which is passed down the tree: a member that receives a newer one is
/// connected to the root.
///
/// The field order is the order in which heartbeats are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RootHeartbeat {
    /// Epoch of the primary.
    pub epoch: u64,
    /// Number of the heartbeat within the epoch.
    pub count: u64,
}

/// An operator's update that was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Version on which the update is based.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// Version that the update produces.
    pub version: u64,
    /// The update as the operator sent it; see [`crate::apply_update`].
    pub update: Arc<RawValue>,
}

/// A message between two peers. Messages are not acknowledged: an answer is a separate message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Sent down the tree at regular intervals and as the first answer to a request.
    Heartbeat {
        /// Version of the sender; 0 if it has none.
        version: u64,
        /// Newest root heartbeat known to the sender.
        #[serde(rename = "pulse")]
        root_heartbeat: RootHeartbeat,
        /// Whether the receiver is only a temporary child, as it is not a child according to the sender's
        /// membership: it has to renew its request within
        /// [`TEMPORARY_CHILD_TIMEOUT_MS`](super::TEMPORARY_CHILD_TIMEOUT_MS).
        #[serde(rename = "adopted")]
        is_temporary: bool,
        /// Whether the sender sends this version on request only, because it is too long.
        #[serde(rename = "ask")]
        request_required: bool,
    },
    /// Sent down the tree: updates, each of which is based on the version of the one before.
    #[serde(rename = "Changes")]
    Deltas(Vec<ConfigurationDelta>),
    /// Sent down the tree: a whole configuration.
    #[serde(rename = "Whole")]
    Snapshot {
        /// Version of the configuration.
        version: u64,
        /// JSON text of the configuration.
        text: Arc<RawValue>,
    },
    /// Sent up the tree: a request for newer versions and for heartbeats.
    #[serde(rename = "Ask")]
    Request {
        /// Version of the sender; 0 requests a snapshot of the newest version.
        #[serde(rename = "have")]
        known_version: u64,
    },
}

/// Body of an HTTP request: messages of one sender, in the order in which they were sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayEnvelope {
    /// Peer that sends the messages.
    #[serde(rename = "from")]
    pub sender: RelayPeer,
    /// Messages, in the order in which they were sent.
    pub messages: Vec<RelayMessage>,
}

/// A message to be sent to each of its receivers. A message that cannot be delivered is dropped.
#[derive(Clone, Debug)]
pub struct OutboundMessage {
    /// Peers to which the message is sent.
    pub receivers: Vec<RelayPeer>,
    /// The message, which is the same for all receivers.
    pub message: RelayMessage,
}

impl OutboundMessage {
    /// Creates a message to a single receiver.
    pub(super) fn to_peer(receiver: RelayPeer, message: RelayMessage) -> OutboundMessage {
        OutboundMessage {
            receivers: vec![receiver],
            message,
        }
    }
}
