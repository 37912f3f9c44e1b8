//! Messages between the members of the relay tree. The names in their JSON are those of all releases.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;

/// One end of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RelayPeer {
    /// The primary, on whichever machine it is.
    #[serde(rename = "Core")]
    Primary,
    /// A member, by its address.
    Member(Arc<str>),
}

/// Rises with each heartbeat of the root and is passed down: a member that receives a newer one is connected to the root.
///
/// The order of the fields is that in which heartbeats are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RootHeartbeat {
    /// The primary's epoch.
    pub epoch: u64,
    /// Number of the heartbeat within the epoch.
    pub count: u64,
}

/// An operator's update that was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The version on which it builds.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// The version that it makes.
    pub version: u64,
    /// The update as the operator sent it; see [`crate::apply_update`].
    pub update: Arc<RawValue>,
}

/// A message. Messages are not acknowledged: an answer is a message of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Down the tree, at regular intervals and as the first answer to a request.
    Heartbeat {
        /// The sender's version; 0 for none.
        version: u64,
        /// The newest heartbeat of the root that the sender knows.
        #[serde(rename = "pulse")]
        root_heartbeat: RootHeartbeat,
        /// The receiver is not a child by the sender's membership: it has to renew its request within
        /// [`TEMPORARY_CHILD_TIMEOUT_MS`](super::TEMPORARY_CHILD_TIMEOUT_MS).
        #[serde(rename = "adopted")]
        is_temporary: bool,
        /// The sender will not send this version without a request, as it is too long.
        #[serde(rename = "ask")]
        request_required: bool,
    },
    /// Down the tree: updates, each of which builds on the one before.
    #[serde(rename = "Changes")]
    Deltas(Vec<ConfigurationDelta>),
    /// Down the tree: a whole configuration.
    #[serde(rename = "Whole")]
    Snapshot {
        /// Its version.
        version: u64,
        /// Its JSON text.
        text: Arc<RawValue>,
    },
    /// Up the tree: a request for what is newer, and for heartbeats.
    #[serde(rename = "Ask")]
    Request {
        /// The version that the sender has; 0 to get a snapshot of the newest one.
        #[serde(rename = "have")]
        known_version: u64,
    },
}

/// The body of an HTTP request: messages of one sender, in the order in which they were sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayEnvelope {
    /// The sender.
    #[serde(rename = "from")]
    pub sender: RelayPeer,
    /// Its messages.
    pub messages: Vec<RelayMessage>,
}

/// A message to be sent to each of its receivers. One that cannot be delivered is dropped.
#[derive(Clone, Debug)]
pub struct OutboundMessage {
    /// The receivers.
    pub receivers: Vec<RelayPeer>,
    /// The message.
    pub message: RelayMessage,
}

impl OutboundMessage {
    /// A message to a single receiver.
    pub(super) fn to_peer(receiver: RelayPeer, message: RelayMessage) -> OutboundMessage {
        OutboundMessage {
            receivers: vec![receiver],
            message,
        }
    }
}
