//! What the dispatchers of one fleet share, as pure state machines: they take the current time and the datagrams that
//! came, and return those that are to be sent. They open no socket, read no clock, and draw random numbers from a seed.
//!
//! - [`incarnation`]: a member's name, and which of its processes.
//! - [`membership`]: which members there are, by name and incarnation (SWIM with suspicion, the `foca` crate).
//! - [`usage`], [`usage_counters`]: what is counted, in grow-only counters that converge at every member;
//!   [`usage_totals`] are their sums.
//! - [`quota`]: quotas over the whole fleet, divided into shares that members lend to each other for a time.
//! - [`allowance`]: where the data path acquires units of a quota, with one atomic exchange.
//! - [`outlier`]: members' observations of workers, and when they are believed.
//! - [`datagram`]: what goes over the wire, under a MAC.
//! - [`node`]: one member, all of these together, with its [`settings`], its [`status`] for operators, and in [`outbox`]
//!   what it wants sent.
//!
//! The program around it calls [`FleetNode::receive`](node::FleetNode::receive) for each datagram and
//! [`FleetNode::tick`](node::FleetNode::tick) when its deadline has come, and sends what waits after both:
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
//! // The share comes in once an earlier incarnation's loans must have ended.
//! assert!(!allowance.try_acquire(0));
//! for second in 1..=5 {
//!     node.tick(second * SECOND, (1_790_000_000 + second) * SECOND);
//! }
//! assert!(allowance.try_acquire(5 * SECOND));
//! ```
//!
//! The bounds and how they are proved stand in `docs/design/shared-state.md`.

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
