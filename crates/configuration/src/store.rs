//! The primary's configuration: takes or refuses changes, and says what to write for those it takes.

use crate::applied_changes::{order_key, AppliedChange, AppliedChanges, ChangeKind, ORDER_PREFIX};
use crate::error::{ConfigurationError, RecordError};
use crate::json::{parse_configuration, WHITE_SPACE};
use crate::rejected_changes::{RejectedChanges, REFUSAL_PREFIX};
use crate::relay::Published;
use crate::route_table::RouteTable;
use crate::update;
use crate::validation::check;
use std::sync::Arc;
use streamusher_protocol::config::Configuration;
use streamusher_protocol::store::Write;

/// Key of the newest configuration.
pub const CURRENT_KEY: &str = "config/current";

/// What became of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// It was taken: 200, once the writes are committed.
    Taken {
        /// The version that it made.
        version: u64,
        /// To be committed as one batch.
        writes: Vec<Write>,
    },
    /// This exact order was taken before: 200, once the batch that took it is committed.
    Again {
        /// The version that it made.
        version: u64,
    },
    /// It builds on another version than the current one: 412, once the writes are committed.
    Stale {
        /// The current version; 0 for none.
        current: u64,
        /// What keeps it refused when the version on which it builds becomes current.
        writes: Vec<Write>,
    },
    /// It builds on a version so old that it is no longer known whether it was taken, or on one to come while too many such
    /// orders are kept: 503, as it is neither acknowledged nor refused.
    Undecided {
        /// The current version; 0 for none.
        current: u64,
    },
    /// It is invalid: 400.
    Invalid(ConfigurationError),
}

/// The newest configuration and the orders that were taken.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationStore {
    current: Option<Current>,
    /// The version on which the current one builds and the update that made it, where it was an update.
    update: Option<(u64, Arc<str>)>,
    orders: AppliedChanges,
    refusals: RejectedChanges,
    routes: RouteTable,
}

#[derive(Clone, Debug)]
struct Current {
    configuration: Arc<Configuration>,
    text: Arc<str>,
}

impl ConfigurationStore {
    /// One without any configuration.
    pub fn new() -> ConfigurationStore {
        ConfigurationStore::default()
    }

    /// Takes over the stored records; keys that are not the configuration's are passed over.
    ///
    /// A configuration that was taken is not checked anew: stricter checks of a later release must not lose it.
    ///
    /// # Errors
    /// Where a record is damaged, or the records do not belong together.
    pub fn recover(
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<Self, RecordError> {
        let mut store = ConfigurationStore::new();
        for (key, value) in records {
            if &*key == CURRENT_KEY {
                store.recover_current(value)?;
            } else if key.starts_with(ORDER_PREFIX) {
                store.orders.recover(key, &value)?;
            } else if key.starts_with(REFUSAL_PREFIX) {
                store.refusals.recover(key, &value)?;
            }
        }
        store.check_recovered()?;
        Ok(store)
    }

    /// Takes a whole configuration that builds on version `base`.
    pub fn replace(&mut self, base: u64, body: &str) -> ChangeOutcome {
        self.order(ChangeKind::Replace, base, body)
    }

    /// Takes a change of named items that builds on version `base`.
    pub fn update(&mut self, base: u64, body: &str) -> ChangeOutcome {
        self.order(ChangeKind::Update, base, body)
    }

    /// The newest configuration.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref().map(|current| &current.configuration)
    }

    /// The newest configuration in full, as JSON.
    pub fn read(&self) -> Option<Arc<str>> {
        self.current.as_ref().map(|current| current.text.clone())
    }

    /// The newest configuration as the relay tree distributes it.
    pub fn newest(&self) -> Option<Published> {
        let current = self.current.as_ref()?;
        let version = current.configuration.version;
        Some(Published {
            version,
            text: current.text.clone(),
            update: self.update.clone(),
        })
    }

    /// The newest version; 0 for none.
    pub fn version(&self) -> u64 {
        self.current()
            .map_or(0, |configuration| configuration.version)
    }

    /// The newest configuration's routes.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    fn order(&mut self, kind: ChangeKind, base: u64, body: &str) -> ChangeOutcome {
        let key = order_key(kind, base, body);
        let known = self
            .orders
            .find(&key, base, body)
            .filter(|_| !cfg!(feature = "mutant-repeats"));
        if let Some(version) = known {
            return ChangeOutcome::Again { version };
        }
        let current = self.version();
        if base != current || self.refusals.contains(&key) {
            return self.refuse(&key, base, current);
        }
        match self.result_of(kind, body) {
            Ok(next) => {
                self.update = (kind == ChangeKind::Update).then(|| (base, body.into()));
                self.take(key, base, body, next)
            }
            Err(error) => ChangeOutcome::Invalid(error),
        }
    }

    /// Refuses an order that does not build on the current version. A repeat that comes late must be refused as well, so one
    /// that builds on a version to come is remembered.
    fn refuse(&mut self, order: &str, base: u64, current: u64) -> ChangeOutcome {
        if base < current && self.orders.may_have_forgotten(base) {
            return ChangeOutcome::Undecided { current };
        }
        if base <= current || cfg!(feature = "mutant-refusals") {
            return ChangeOutcome::Stale {
                current,
                writes: Vec::new(),
            };
        }
        match self.refusals.refuse(order, base) {
            Some(writes) => ChangeOutcome::Stale { current, writes },
            None => ChangeOutcome::Undecided { current },
        }
    }

    /// The configuration that an order makes, checked.
    fn result_of(&self, kind: ChangeKind, body: &str) -> Result<Current, ConfigurationError> {
        let text: Arc<str> = match kind {
            ChangeKind::Replace => body.trim_matches(WHITE_SPACE).into(),
            ChangeKind::Update => {
                let base = self.current.as_ref().map_or("{}", |current| &current.text);
                update::apply(base, body)?.into()
            }
        };
        let configuration = parse_configuration(&text)?;
        check(&configuration, self.version())?;
        Ok(Current {
            configuration: Arc::new(configuration),
            text,
        })
    }

    fn take(&mut self, key: Arc<str>, base: u64, body: &str, next: Current) -> ChangeOutcome {
        let version = next.configuration.version;
        let order = AppliedChange {
            version,
            base,
            length: body.len() as u64,
        };
        let mut writes = self.orders.take(key, order);
        writes.extend(self.refusals.forget_below(version));
        writes.push(Write::set(CURRENT_KEY, next.text.clone()));
        self.set_current(next);
        ChangeOutcome::Taken { version, writes }
    }

    fn set_current(&mut self, next: Current) {
        self.routes = RouteTable::new(next.configuration.clone());
        self.current = Some(next);
    }

    fn recover_current(&mut self, text: Arc<str>) -> Result<(), RecordError> {
        let damaged = |error: ConfigurationError| RecordError::Damaged {
            key: CURRENT_KEY.to_owned(),
            cause: error.to_string(),
        };
        let configuration = parse_configuration(&text).map_err(damaged)?;
        self.set_current(Current {
            configuration: Arc::new(configuration),
            text,
        });
        Ok(())
    }

    fn check_recovered(&self) -> Result<(), RecordError> {
        let current = self.version();
        match self.orders.newest() {
            Some((key, version)) if version > current => Err(RecordError::TooNew {
                key: key.to_string(),
                version,
                current,
            }),
            _ => Ok(()),
        }
    }
}
