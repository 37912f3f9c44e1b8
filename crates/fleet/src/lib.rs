//! State shared by the dispatchers of one fleet, as pure state machines: they take the current time and
//! received datagrams as arguments and return the datagrams to send. They open no socket, read no clock, and
//! draw random numbers from a seed.
//!
//! - [`incarnation`]: a member's name and the number of its current process.
//! - [`membership`]: the known members, by name and incarnation (SWIM with suspicion, the `foca` crate).
//! - [`usage`], [`usage_counters`]: usage metrics in grow-only counters that converge at every member;
//!   [`usage_totals`] holds their sums.
//! - [`quota`]: quotas over the whole fleet, divided into shares that members lend to each other under
//!   leases.
//! - [`allowance`]: the data path's side of a quota, which acquires units with one atomic exchange.
//! - [`outlier`]: members' observations of workers, and the rules for ejecting a worker based on them.
//! - [`datagram`]: the wire format, authenticated by a MAC.
//! - [`node`]: one member, which combines all of these, with its [`settings`], its [`status`] for operators,
//!   and its outbound datagrams in [`outbox`].
//!
//! The embedding program calls [`FleetNode::receive`](node::FleetNode::receive) for each datagram and
//! [`FleetNode::tick`](node::FleetNode::tick) when its deadline is reached, and sends the outbound datagrams
//! after both:
//!
//! ```
//! use std::sync::Arc;
//! use streamusher_fleet::node::FleetNode;
//! use streamusher_fleet::quota::{Quota, QuotaTerms};
//! use streamusher_fleet::settings::FleetSettings;
//! use streamusher_fleet::Incarnation;
//!
//! const SECOND: u64 = 1_000_000;
//! let terms = Arc::new(QuotaTerms {
//!     member_names: vec![Arc::from("a")],
//!     quotas: vec![Quota { name: Arc::from("tenant-1"), units: 2 }],
//!     unlent_floor: 1,
//!     lease: 2 * SECOND,
//!     max_use: SECOND,
//!     margin: 50_000,
//! });
//! let settings = FleetSettings {
//!     local: Incarnation::new("a", 1_790_000_000 * SECOND),
//!     address: "127.0.0.1:7000".parse().unwrap(),
//!     join_addresses: vec!["127.0.0.1:7001".parse().unwrap()],
//!     key: [7; 32],
//!     seed: 1,
//!     gossip_interval: SECOND / 5,
//!     required_copies: 0,
//!     terms,
//!     forget_after: 600 * SECOND,
//!     period: 3_600 * SECOND,
//! };
//! let allowance = Arc::default();
//! let mut node = FleetNode::new(settings, vec![Arc::clone(&allowance)], 0, 1_790_000_000 * SECOND);
//!
//! node.tick(0, 1_790_000_000 * SECOND);
//! let outbound = node.take_outbound();
//! assert_eq!(outbound[0].to, "127.0.0.1:7001".parse().unwrap());
//!
//! // The member receives its share once the loans of an earlier incarnation must have ended.
//! assert!(!allowance.try_acquire(0));
//! for second in 1..=5 {
//!     node.tick(second * SECOND, (1_790_000_000 + second) * SECOND);
//! }
//! assert!(allowance.try_acquire(5 * SECOND));
//! ```
//!
//! The bounds and their proofs are in `docs/design/shared-state.md`.

pub mod allowance;
pub mod datagram;
pub mod incarnation;
pub mod membership;
pub mod node;
pub mod outbox;
pub mod outlier;
mod peers;
pub mod quota;
mod replication;
pub mod settings;
pub mod status;
pub mod usage;
pub mod usage_counters;
pub mod usage_totals;

pub use incarnation::{Incarnation, Micros};
