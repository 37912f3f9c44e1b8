//! What members of the relay tree say to each other.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;

/// One end of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RelayPeer {
    /// The primary, wherever it is now.
    Core,
    /// A member, by its address.
    Member(Arc<str>),
}

/// Rises with each heartbeat of the root and is passed down: who hears a newer one is connected to the root.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RootHeartbeat {
    /// The primary's epoch.
    pub epoch: u64,
    /// Heartbeats of this primary.
    pub count: u64,
}

/// An operator's update that was taken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The version on which it builds.
    pub base: u64,
    /// The version that it makes.
    pub version: u64,
    /// The update as the operator sent it; see [`crate::update::apply`].
    pub update: Arc<RawValue>,
}

/// A message. Answers are messages of their own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RelayMessage {
    /// Down the tree, at regular times and as the first answer to a question.
    Heartbeat {
        /// The sender's version; 0 for none.
        version: u64,
        /// The newest pulse that the sender knows.
        pulse: RootHeartbeat,
        /// The receiver is no child by the sender's roster, and has to ask again within [`super::ADOPTION`].
        adopted: bool,
        /// The sender will not send this version unasked.
        ask: bool,
    },
    /// Down the tree: changes, each on top of the one before.
    Changes(Vec<ConfigurationDelta>),
    /// Down the tree: a whole configuration.
    Whole {
        /// Its version.
        version: u64,
        /// Its text.
        text: Arc<RawValue>,
    },
    /// Up the tree: send me what is newer, and heartbeats.
    Ask {
        /// The version that the sender has; 0 to get the newest whole.
        have: u64,
    },
}

/// The body of a call: messages of one sender, in the order in which they were sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayEnvelope {
    /// The sender.
    pub from: RelayPeer,
    /// Its messages.
    pub messages: Vec<RelayMessage>,
}

/// A message to be sent to each of `to`.
#[derive(Clone, Debug)]
pub struct OutboundMessage {
    /// The receivers.
    pub to: Vec<RelayPeer>,
    /// The message.
    pub message: RelayMessage,
}

impl OutboundMessage {
    /// To a single receiver.
    pub fn one(to: RelayPeer, message: RelayMessage) -> OutboundMessage {
        OutboundMessage {
            to: vec![to],
            message,
        }
    }
}
