//! Helpers shared by the tests: sample configurations, a seeded random number generator, the committed
//! records of a store.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod fleet;
mod network;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use streamusher_protocol::store::Write;

/// Seeded random number generator (`SplitMix64`).
pub(crate) struct TestRng(pub(crate) u64);

impl TestRng {
    /// Returns a random number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Returns a random index into a list of this length.
    pub(crate) fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("an index that fits usize")
    }

    /// Returns a random element of `choices`.
    pub(crate) fn one_of<'a, T>(&mut self, choices: &'a [T]) -> &'a T {
        &choices[self.index(choices.len())]
    }
}

/// Returns a route with all fields that operators send.
pub(crate) fn route(name: &str, host: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
        "target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2, "stretch": 2.5
    })
}

/// Returns a service with all fields that operators send.
pub(crate) fn service(name: &str) -> Value {
    json!({
        "name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
        "guards": false
    })
}

/// Returns a configuration with two routes and two services.
pub(crate) fn sample(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [route("r-one", "host.example", "/one/", "cores"), route("r-two", "host.example", "/two/", "scans")],
        "services": [service("cores"), service("scans")],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        }
    })
}

/// Committed records of a store, as replicas hold them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records(pub(crate) BTreeMap<Arc<str>, Arc<str>>);

impl Records {
    /// Commits a batch of writes.
    pub(crate) fn commit(&mut self, writes: Vec<Write>) {
        for Write { key, value } in writes {
            match value {
                Some(value) => self.0.insert(key, value),
                None => self.0.remove(&key),
            };
        }
    }

    /// Recovers the store of a primary that takes over.
    pub(crate) fn recover(&self) -> ConfigurationStore {
        ConfigurationStore::recover(self.0.clone().into_iter()).expect("consistent records")
    }
}

/// Commits a change that must be applied; returns the version that it produced.
pub(crate) fn commit_applied(outcome: ChangeOutcome, records: &mut Records) -> u64 {
    let ChangeOutcome::Applied { version, writes } = outcome else {
        panic!("not applied: {outcome:?}")
    };
    records.commit(writes);
    version
}

/// Commits the rejection of a change that must conflict with the current version; returns the current
/// version.
pub(crate) fn commit_conflict(outcome: ChangeOutcome, records: &mut Records) -> u64 {
    let ChangeOutcome::VersionConflict {
        current_version,
        writes,
    } = outcome
    else {
        panic!("no conflict: {outcome:?}")
    };
    records.commit(writes);
    current_version
}

/// Creates a store that holds `sample(version)`, and its records.
pub(crate) fn store_with(version: u64) -> (ConfigurationStore, Records) {
    let (mut store, mut records) = (ConfigurationStore::new(), Records::default());
    commit_applied(store.replace(0, &sample(version).to_string()), &mut records);
    (store, records)
}

/// Returns the newest configuration of a store as a JSON value.
pub(crate) fn current_configuration(store: &ConfigurationStore) -> Value {
    serde_json::from_str(&store.text().expect("a configuration")).expect("JSON")
}
