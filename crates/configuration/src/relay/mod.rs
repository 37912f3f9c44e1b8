//! Relay tree, which distributes the newest configuration to every process of the data plane.
//!
//! The primary ([`RelayRoot`]) sends to [`FAN_OUT`] members, and each member ([`RelayNode`]) sends to as many
//! more. Processes with the same membership compute the same tree ([`RelayTree`]). A change is sent down the
//! tree as the operator's update, or as the whole configuration if the receiver lacks the base version of the
//! update. Three mechanisms compensate for members that have failed, are frozen or are partitioned:
//!
//! - Each member sends heartbeats to its children, with its version and the newest [`RootHeartbeat`] that it
//!   has received. A member that receives no heartbeat for [`HEARTBEAT_TIMEOUT_MS`], or no newer root
//!   heartbeat for [`ROOT_TIMEOUT_MS`], sends requests to its ancestors one after the other, the primary
//!   last.
//! - A member that answers a request becomes the requester's temporary parent: it also sends heartbeats and
//!   updates to the requester, until the requester receives heartbeats from its own parent and stops renewing
//!   the request.
//! - A member that learns of a newer version and does not receive it requests it.
//!
//! The members are the processes that renew a lease at the primary ([`MemberLeases`]); the responses to lease
//! requests carry the membership. [`ConfigurationPublisher`] combines the root and the leases for the term of
//! one primary.
//!
//! Invariant: the version of a member only increases during the lifetime of its process. The state machines
//! take the current time as an argument, use no random numbers and perform no I/O: they return the messages
//! to be sent.
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
