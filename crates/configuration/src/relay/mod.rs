//! The relay tree: how the newest configuration reaches every process of the data plane.
//!
//! The primary ([`RelayRoot`]) tells [`FAN_OUT`] members, each of these ([`RelayNode`]) as many more. Whoever has the same
//! roster computes the same tree ([`tree::Tree`]). A change goes down as the operator's update, or whole where the receiver
//! lacks its base. Three means make up for dead, frozen and cut members:
//!
//! - Each member sends heartbeats to its children, with its version and the newest [`RootHeartbeat`] of the root that it knows. Who
//!   hears nothing for [`SILENCE`], or no newer pulse for [`STALL`], asks its ancestors one after the other, the core last.
//! - Whoever is asked adopts the caller: it sends it heartbeats and updates too, until a heartbeat of its own parent ends that.
//! - Who hears of a version that does not come asks for it.
//!
//! Members are those that renew a lease at the primary ([`MemberLeases`]); its answers bring them the roster. [`ConfigurationPublisher`] joins
//! root and leases for the time of one primary.
//!
//! Versions only rise within a life. Everything is told the time; nothing here draws random numbers or does I/O.

pub mod member_leases;
pub mod message;
pub mod node;
mod parent_selection;
pub mod publisher;
mod receivers;
pub mod root;
pub mod tree;
mod update_log;

pub use member_leases::MemberLeases;
pub use message::{
    ConfigurationDelta, OutboundMessage, RelayEnvelope, RelayMessage, RelayPeer, RootHeartbeat,
};
pub use node::{RelayActions, RelayNode};
pub use publisher::{ConfigurationPublisher, Published};
pub use root::RelayRoot;
pub use tree::{RelayMembership, Tree};

use streamusher_protocol::Millis;

/// Children of a member: four levels reach 4,680 members, and a member's heartbeats stay at 40 a second.
pub const FAN_OUT: usize = 8;

/// Between two heartbeats to a child.
pub const HEARTBEAT_INTERVAL: Millis = 200;

/// Without any heartbeat for so long, a member looks for another sender: three intervals, so that one may be late.
pub const SILENCE: Millis = 600;

/// Without a newer pulse for so long, a member looks for another sender: its own one is cut off itself. More than
/// [`SILENCE`], so that a member leaves it to its parent to mend what lies above.
pub const STALL: Millis = 1_200;

/// How long an ancestor may take to answer a question before the next one is asked.
pub const ASK_TIMEOUT: Millis = 150;

/// First pause once all ancestors were asked in vain; it doubles up to [`LONGEST_PAUSE`].
pub const FIRST_PAUSE: Millis = 250;

/// Longest pause between two rounds of questions: members ask the core so often while it has no primary.
pub const LONGEST_PAUSE: Millis = 1_000;

/// How long a version that was heard of may be on its way before it is asked for.
pub const UNDERWAY: Millis = 100;

/// Between two questions for the same version: a whole configuration takes its time, and is not to be sent twice.
pub const LACK_RETRY: Millis = 500;

/// How long a caller stays adopted after its last question.
pub const ADOPTION: Millis = 2_500;

/// Between two questions of an adopted member, which renew its adoption.
pub const RENEWAL: Millis = 1_000;

/// Heartbeats whose pulse is further behind come from a member that is cut off, and count for nothing.
pub const STALE_BEATS: u64 = 5;

/// A whole configuration up to this size is sent on at once; of a longer one only word is sent, and who lacks it asks.
pub const PUSHED_BYTES: usize = 65_536;

/// Changes kept for those that lack some; together no longer than the whole configuration.
pub const KEPT_CHANGES: usize = 16;

/// Between two renewals of a member's lease.
pub const LEASE_RENEWAL: Millis = 1_000;

/// A member whose lease was not renewed for so long leaves the roster: three renewals, so that two may be lost.
pub const LEASE: Millis = 3_000;

/// A new primary waits so long before its first roster, so that every member has renewed its lease and the tree is not
/// built anew for each: a renewal's time, and time to find the primary.
pub const GATHERING: Millis = 1_500;

/// Between two rosters: members that come and go together make one change.
pub const ROSTER_INTERVAL: Millis = 250;
