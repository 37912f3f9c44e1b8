//! What each user has lately used, fading with time, and the order of work that follows from it.
//!
//! A user is a team, a tenant or, where nothing else tells, a queue. Its debt grows while its tasks run and halves in
//! each half-life. [`FairShareAccounts`] is the primary's state machine: told the time and which runs began and ended, it gives
//! out writes to the replicated state and an agreed sequence of versions. A [`FairShareRanking`] orders work by one version and
//! names it. A [`RankingReplica`] holds the newest version that reached a node, by updates that may be lost, late or
//! repeated. All arithmetic is in integers; no part performs I/O or reads a clock.
//!
//! - [`settings`]: half-life, weights, caps.
//! - `fade`: powers of two in fixed point, and the weight of a span of time.
//! - [`debt`]: a user's debt as sums by half-life; merging is addition.
//! - `clock`: the agreed time.
//! - `record`: the replicated form.
//! - [`version`], [`ranking`], [`follower`], `log`: versions, the order by one, and how they are told.
//! - [`bounds`]: how wrong an order may be by a version's age.

mod book;
pub mod bounds;
mod clock;
pub mod debt;
mod fade;
pub mod follower;
mod log;
pub mod ranking;
mod record;
pub mod settings;
pub mod version;

pub use book::{FairShareAccounts, UsageCharge, UserUsage};
pub use debt::DecayedUsage;
pub use follower::RankingReplica;
pub use ranking::FairShareRanking;
pub use settings::{FairShareSettings, SettingsError};
pub use version::{RankingUpdate, RankingVersion};
