//! Configurations on their way to the relay tree: one may be published only when it is committed. Pure.

use std::collections::VecDeque;
use streamusher_configuration::PublishedConfiguration;

#[derive(Debug)]
struct PendingConfiguration {
    /// The batch that holds it.
    sequence: u64,
    configuration: PublishedConfiguration,
}

/// Configurations of one term that are not published yet, in the order of their versions.
#[derive(Debug, Default)]
pub struct PendingConfigurations {
    /// The newest version seen.
    newest_version: u64,
    uncommitted: VecDeque<PendingConfiguration>,
    committed: Vec<PublishedConfiguration>,
}

impl PendingConfigurations {
    /// Records that `version` is the newest after batch `sequence`. `newest` is called only where that is a new version.
    pub fn observe(
        &mut self,
        sequence: u64,
        version: u64,
        newest: impl FnOnce() -> Option<PublishedConfiguration>,
    ) {
        if version <= self.newest_version {
            return;
        }
        self.newest_version = version;
        if let Some(configuration) = newest() {
            self.uncommitted.push_back(PendingConfiguration {
                sequence,
                configuration,
            });
        }
    }

    /// Whether a configuration waits for its commit.
    pub fn has_uncommitted(&self) -> bool {
        !self.uncommitted.is_empty()
    }

    /// Records that all batches up to `sequence` are committed.
    pub fn on_committed(&mut self, sequence: u64) {
        while let Some(pending) = self
            .uncommitted
            .pop_front_if(|pending| pending.sequence <= sequence)
        {
            self.committed.push(pending.configuration);
        }
    }

    /// Whether a configuration was committed since the last [`PendingConfigurations::take_committed`].
    pub fn has_committed(&self) -> bool {
        !self.committed.is_empty()
    }

    /// The configurations that were committed since the last call.
    pub fn take_committed(&mut self) -> Vec<PublishedConfiguration> {
        std::mem::take(&mut self.committed)
    }
}
