//! The relay tree: how the newest configuration reaches every process of the data plane.
//!
//! The primary ([`RelayRoot`]) sends to [`FAN_OUT`] members, and each of these ([`RelayNode`]) to as many more. Processes
//! with the same membership compute the same tree ([`RelayTree`]). A change goes down as the operator's update, or as the
//! whole configuration where the receiver lacks the version on which the update builds. Three mechanisms make up for members
//! that are dead, frozen or partitioned:
//!
//! - Each member sends heartbeats to its children, with its version and the newest [`RootHeartbeat`] that it knows. A member
//!   that receives none for [`HEARTBEAT_TIMEOUT_MS`], or no newer root heartbeat for [`ROOT_TIMEOUT_MS`], sends requests to
//!   its ancestors one after the other, the primary last.
//! - A member that answers a request becomes the requester's temporary parent: it sends it heartbeats and updates too, until
//!   the requester hears from its own parent and lets this lapse.
//! - A member that learns of a newer version and does not receive it requests it.
//!
//! The members are the processes that renew a lease at the primary ([`MemberLeases`]); its responses carry the membership.
//! [`ConfigurationPublisher`] joins root and leases for the time of one primary.
//!
//! Invariant: a member's version only rises as long as its process lives. The state machines take the current time as an
//! argument, draw no random numbers and do no I/O: messages to send are returned.
//!
//! ```
//! use std::sync::Arc;
//! use streamusher_configuration::relay::{RelayMembership, RelayNode, RelayPeer, RelayRoot};
//!
//! let address: Arc<str> = "10.0.0.1:7381".into();
//! let membership = RelayMembership { version: 1, members: vec![address.clone()] };
//! let (mut root, mut node) = (RelayRoot::new(1, 0), RelayNode::new(address, 0));
//! root.set_membership(&membership);
//! node.set_membership(0, &membership);
//!
//! let text = serde_json::from_str(r#"{"version": 5}"#).unwrap();
//! for outbound in root.publish(5, text) {
//!     let actions = node.on_message(10, &RelayPeer::Primary, outbound.message);
//!     assert_eq!(actions.configuration.unwrap().version, 5);
//! }
//! assert_eq!(node.version(), 5);
//! ```

mod address_hash;
mod ancestor_search;
mod distributor;
mod member_leases;
mod membership;
mod message;
mod missing_version;
mod node;
mod parent_selection;
mod parsed_configuration;
mod publisher;
mod receivers;
mod root;
mod temporary_parent;
mod timing;
mod tree;
mod update_log;

pub use member_leases::MemberLeases;
pub use membership::RelayMembership;
pub use message::{
    ConfigurationDelta, OutboundMessage, RelayEnvelope, RelayMessage, RelayPeer, RootHeartbeat,
};
pub use node::{RelayActions, RelayNode};
pub use publisher::ConfigurationPublisher;
pub use root::RelayRoot;
pub use timing::{
    DELIVERY_GRACE_MS, HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, LEASE_MS,
    LEASE_RENEWAL_INTERVAL_MS, MAX_SEARCH_BACKOFF_MS, MEMBERSHIP_INTERVAL_MS,
    MEMBERSHIP_WARM_UP_MS, MIN_SEARCH_BACKOFF_MS, REQUEST_TIMEOUT_MS, ROOT_TIMEOUT_MS,
    TEMPORARY_CHILD_TIMEOUT_MS, TEMPORARY_PARENT_RENEWAL_INTERVAL_MS, VERSION_RETRY_INTERVAL_MS,
};
pub use tree::{RelayTree, FAN_OUT};
