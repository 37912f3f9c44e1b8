//! Configuration store of the primary: decides which changes are applied, and returns the writes for each
//! decision.

use crate::applied_changes::{AppliedChange, AppliedChanges};
use crate::change_id::{ChangeId, ChangeKind, APPLIED_KEY_PREFIX, REJECTED_KEY_PREFIX};
use crate::error::{ConfigurationError, RecordError};
use crate::json::{parse_configuration, JSON_WHITESPACE};
use crate::published::{PublishedConfiguration, PublishedUpdate};
use crate::rejected_changes::RejectedChanges;
use crate::route_table::RouteTable;
use crate::update::apply_update;
use crate::validation::validate;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;
use streamusher_protocol::store::Write;

/// Key of the newest configuration.
pub const CURRENT_KEY: &str = "config/current";

/// Base of the first update, while there is no configuration.
const EMPTY_CONFIGURATION: &str = "{}";

/// Decision on a change, with the HTTP status of its response.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change is applied: 200, once the writes are committed.
    Applied {
        /// Version that the change produced.
        version: u64,
        /// Writes to be committed as one batch.
        writes: Vec<Write>,
    },
    /// The identical change was applied before: 200, once the batch that applied it is committed.
    AlreadyApplied {
        /// Version that the change produced.
        version: u64,
    },
    /// The change is not based on the current version, or was rejected before for that reason: 412, once the
    /// writes are committed.
    VersionConflict {
        /// The current version; 0 if there is none.
        current_version: u64,
        /// Record that keeps the change rejected when its base version becomes current; empty if no new
        /// record is needed.
        writes: Vec<Write>,
    },
    /// The change is neither acknowledged nor rejected: 503. Its base version is so old that the store no
    /// longer knows whether the change was applied.
    HistoryTruncated {
        /// The current version; 0 if there is none.
        current_version: u64,
    },
    /// The change is neither acknowledged nor rejected: 503. It is based on a future version, and no more
    /// rejections of such changes can be recorded ([`MAX_REJECTED_CHANGES`](crate::MAX_REJECTED_CHANGES)).
    RejectionLimitReached {
        /// The current version; 0 if there is none.
        current_version: u64,
    },
    /// The change is invalid: 400.
    Invalid(ConfigurationError),
}

/// The newest configuration, and records of the decisions that must stay the same when a change is repeated.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationStore {
    current: Option<CurrentConfiguration>,
    applied: AppliedChanges,
    rejected: RejectedChanges,
    routes: RouteTable,
}

#[derive(Clone, Debug)]
struct CurrentConfiguration {
    configuration: Arc<Configuration>,
    text: Arc<str>,
    /// Update that produced the configuration; `None` if the whole configuration was replaced, or if the
    /// update is not known.
    update: Option<PublishedUpdate>,
}

impl ConfigurationStore {
    /// Creates a store without a configuration.
    pub fn new() -> ConfigurationStore {
        ConfigurationStore::default()
    }

    /// Recovers a store from the committed records; keys that do not belong to the configuration are skipped.
    ///
    /// The configuration is not validated again: stricter checks of a later release must not discard a
    /// configuration that is in force.
    ///
    /// # Errors
    /// If a record is corrupt, or the records contradict each other.
    pub fn recover(
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<Self, RecordError> {
        let mut store = ConfigurationStore::new();
        for (key, value) in records {
            if &*key == CURRENT_KEY {
                store.recover_current(value)?;
            } else if key.starts_with(APPLIED_KEY_PREFIX) {
                store.applied.recover(key, &value)?;
            } else if key.starts_with(REJECTED_KEY_PREFIX) {
                store.rejected.recover(key, &value)?;
            }
        }
        store.check_recovered()?;
        Ok(store)
    }

    /// Decides on the replacement of the whole configuration, based on `base_version` (0 if there is none).
    pub fn replace(&mut self, base_version: u64, body: &str) -> ChangeOutcome {
        self.decide(ChangeKind::Replace, base_version, body)
    }

    /// Decides on an update of named items, based on `base_version` (0 if there is none).
    pub fn update(&mut self, base_version: u64, body: &str) -> ChangeOutcome {
        self.decide(ChangeKind::Update, base_version, body)
    }

    /// Returns the newest configuration.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref().map(|current| &current.configuration)
    }

    /// Returns the JSON text of the newest configuration.
    pub fn text(&self) -> Option<Arc<str>> {
        self.current.as_ref().map(|current| current.text.clone())
    }

    /// Returns the newest configuration in the form in which the relay tree distributes it.
    pub fn published(&self) -> Option<PublishedConfiguration> {
        let current = self.current.as_ref()?;
        Some(PublishedConfiguration {
            version: current.configuration.version,
            text: current.text.clone(),
            update: current.update.clone(),
        })
    }

    /// Returns the newest version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.current()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns the routes of the newest configuration.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    fn decide(&mut self, kind: ChangeKind, base_version: u64, body: &str) -> ChangeOutcome {
        let id = ChangeId::new(kind, base_version, body);
        let applied = self
            .applied
            .resulting_version(&id, base_version, body)
            .filter(|_| !cfg!(feature = "mutant-repeats"));
        if let Some(version) = applied {
            return ChangeOutcome::AlreadyApplied { version };
        }
        if base_version != self.version() || self.rejected.contains(&id) {
            return self.reject(&id, base_version);
        }
        match self.resulting_configuration(kind, base_version, body) {
            Ok(next) => self.apply(&id, base_version, body, next),
            Err(error) => ChangeOutcome::Invalid(error),
        }
    }

    /// Rejects a change. A copy that arrives later must be rejected as well, so the rejection of a change
    /// based on a future version is recorded.
    fn reject(&mut self, id: &ChangeId, base_version: u64) -> ChangeOutcome {
        let current_version = self.version();
        if base_version < current_version && self.applied.may_have_evicted(base_version) {
            return ChangeOutcome::HistoryTruncated { current_version };
        }
        if base_version <= current_version || cfg!(feature = "mutant-refusals") {
            return ChangeOutcome::VersionConflict {
                current_version,
                writes: Vec::new(),
            };
        }
        match self.rejected.add(id, base_version) {
            Some(writes) => ChangeOutcome::VersionConflict {
                current_version,
                writes,
            },
            None => ChangeOutcome::RejectionLimitReached { current_version },
        }
    }

    /// Returns the configuration that a change produces, validated.
    fn resulting_configuration(
        &self,
        kind: ChangeKind,
        base_version: u64,
        body: &str,
    ) -> Result<CurrentConfiguration, ConfigurationError> {
        let (text, update) = match kind {
            ChangeKind::Replace => (body.trim_matches(JSON_WHITESPACE).into(), None),
            ChangeKind::Update => {
                let base = self.current.as_ref().map(|current| &*current.text);
                let text = apply_update(base.unwrap_or(EMPTY_CONFIGURATION), body)?;
                let update = PublishedUpdate {
                    base_version,
                    text: body.into(),
                };
                (Arc::<str>::from(text), Some(update))
            }
        };
        let configuration = parse_configuration(&text)?;
        validate(&configuration, self.version())?;
        Ok(CurrentConfiguration {
            configuration: Arc::new(configuration),
            text,
            update,
        })
    }

    fn apply(
        &mut self,
        id: &ChangeId,
        base_version: u64,
        body: &str,
        next: CurrentConfiguration,
    ) -> ChangeOutcome {
        let version = next.configuration.version;
        let change = AppliedChange {
            version,
            base_version,
            body_bytes: body.len() as u64,
        };
        let mut writes = self.applied.add(id, change);
        writes.extend(self.rejected.remove_below(version));
        writes.push(Write::set(CURRENT_KEY, next.text.clone()));
        self.set_current(next);
        ChangeOutcome::Applied { version, writes }
    }

    fn set_current(&mut self, next: CurrentConfiguration) {
        self.routes = RouteTable::new(next.configuration.clone());
        self.current = Some(next);
    }

    fn recover_current(&mut self, text: Arc<str>) -> Result<(), RecordError> {
        let configuration = parse_configuration(&text).map_err(|error| RecordError::Corrupt {
            key: CURRENT_KEY.to_owned(),
            cause: error.to_string(),
        })?;
        self.set_current(CurrentConfiguration {
            configuration: Arc::new(configuration),
            text,
            update: None,
        });
        Ok(())
    }

    fn check_recovered(&self) -> Result<(), RecordError> {
        let current_version = self.version();
        match self.applied.newest() {
            Some((key, version)) if version > current_version => {
                Err(RecordError::NewerThanConfiguration {
                    key: key.to_string(),
                    version,
                    current_version,
                })
            }
            _ => Ok(()),
        }
    }
}
