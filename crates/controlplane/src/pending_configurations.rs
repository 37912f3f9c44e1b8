//! Configurations to publish to the relay tree. A configuration is published only after its commit. This
//! module is a pure state machine.

use std::collections::VecDeque;
use streamusher_configuration::PublishedConfiguration;

#[derive(Debug)]
struct PendingConfiguration {
    /// Sequence of the batch that contains the configuration.
    sequence: u64,
    configuration: PublishedConfiguration,
}

/// The unpublished configurations of one term, in version order.
#[derive(Debug, Default)]
pub struct PendingConfigurations {
    /// The newest version observed.
    newest_version: u64,
    uncommitted: VecDeque<PendingConfiguration>,
    committed: Vec<PublishedConfiguration>,
}

impl PendingConfigurations {
    /// Records that `version` is the newest after batch `sequence`. Calls `newest` only if this version was
    /// not observed before.
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

    /// Whether a configuration is not committed yet.
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

    /// Returns the configurations that were committed since the last call, and clears them.
    pub fn take_committed(&mut self) -> Vec<PublishedConfiguration> {
        std::mem::take(&mut self.committed)
    }
}
