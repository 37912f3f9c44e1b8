//! Fair share between users: decayed usage of each user, and the order of pending units that follows from it.
//!
//! A user is a team, a tenant or, where nothing else is configured, a queue. Its usage grows while its tasks run and
//! decays to one half in each half-life. Among units of one priority, a unit's submission time is delayed by its user's
//! usage; so whoever has used less goes first, and nobody starves.
//!
//! - [`FairShareAccounts`] is the primary's state machine: from which runs start and finish it makes writes of the
//!   replicated state and a sequence of ranking versions.
//! - [`FairShareRanking`] orders units by one version and names it.
//! - [`RankingReplica`] holds the newest version that reached another node, by updates that may be lost, late or
//!   repeated.
//! - [`max_inversion_ms`] bounds by how much an order may be wrong, by the age of its version.
//!
//! The package performs no I/O and takes the current time as an argument. All arithmetic is in integers, so every
//! machine computes the same. The design is described in `docs/design/share-debt.md`.
//!
//! ```
//! use streamusher_fair_share::{FairShareAccounts, FairShareSettings, UsageCharge};
//! use streamusher_protocol::heartbeat::Resources;
//! use streamusher_protocol::task::RunId;
//!
//! let settings = FairShareSettings::with_half_life(60_000);
//! let mut accounts = FairShareAccounts::new(settings, 1, 0);
//! let run = RunId { task: "5c0e7a21d94b36f8.0.0.0".parse().expect("a task"), run: 1 };
//! let ten_cores = Resources { cpu: 10_000, mem_mb: 0, gpu: 0 };
//!
//! accounts.on_run_started(0, &"scans".into(), run.clone(), &ten_cores);
//! accounts.on_run_finished(30_000, &run, UsageCharge::Full);
//! let writes = accounts.publish_if_due(30_000);
//!
//! assert_eq!(writes.len(), 2, "the user's record and the version's");
//! assert!(accounts.order_key("checks", 1, 100) < accounts.order_key("scans", 1, 100));
//! ```
//!
//! # Modules
//!
//! - [`settings`]: half-life, weights, limits.
//! - `decay`: powers of two in fixed point, and the weight of a span of time.
//! - [`decayed_usage`]: a user's usage as sums by half-life; merging is addition.
//! - `cluster_clock`: the time by which usage decays.
//! - `running_usage`: meters of what runs.
//! - [`accounts`]: charges, refunds, dropped users, new versions.
//! - `stored_state`: the replicated form.
//! - [`version`], `version_history`, [`ranking`], [`ranking_replica`]: versions, the order by one, and how they are
//!   transmitted.
//! - [`inversion_bound`]: how wrong an order may be by a version's age.

pub mod accounts;
mod cluster_clock;
mod decay;
pub mod decayed_usage;
pub mod inversion_bound;
pub mod ranking;
pub mod ranking_replica;
mod running_usage;
pub mod settings;
mod stored_state;
pub mod version;
mod version_history;

pub use accounts::{FairShareAccounts, UsageCharge, UserUsage};
pub use decayed_usage::DecayedUsage;
pub use inversion_bound::max_inversion_ms;
pub use ranking::FairShareRanking;
pub use ranking_replica::{RankingReplica, UpdateOutcome};
pub use settings::{FairShareSettings, SettingsError};
pub use version::{RankingUpdate, RankingVersion, UsageChange};
