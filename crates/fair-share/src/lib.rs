//! Fair share between users: the decayed usage of each user, and the resulting order of pending units.
//!
//! A user is a team, a tenant or, if nothing else is configured, a queue. Its usage grows while its tasks
//! run, and decays to one half in each half-life. Among units of equal priority, the user's usage delays a
//! unit's submission time. Users with less usage are therefore ordered first, and no user starves.
//!
//! - [`FairShareAccounts`] is the primary's state machine: from the starts and ends of runs it derives writes
//!   of the replicated state and a sequence of ranking versions.
//! - [`FairShareRanking`] orders units by one version and states which one.
//! - [`RankingReplica`] holds the newest version that another node has received, through updates that may be
//!   lost, late or duplicated.
//! - [`max_inversion_ms`] bounds the ordering error as a function of the version's age.
//!
//! The package performs no I/O and takes the current time as an argument. All arithmetic is in integers, so
//! every machine computes the same results. The design is described in `docs/design/share-debt.md`.
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
//! - `decay`: powers of two in fixed point, and the weight of a time span.
//! - [`decayed_usage`]: a user's usage as one sum per half-life; merging is addition.
//! - `cluster_clock`: the time base of the decay.
//! - `running_usage`: metering of running tasks.
//! - [`accounts`]: charges, refunds, dropped users, new versions.
//! - `stored_state`: the replicated form.
//! - [`version`], `version_history`, [`ranking`], [`ranking_replica`]: versions, the order that a version
//!   defines, and their transmission.
//! - [`inversion_bound`]: the ordering error as a function of a version's age.

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
