//! The primary's commands in force.

use std::collections::HashSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{StartCommand, StopCommand};
use streamusher_protocol::internal::AgentCommands;
use streamusher_protocol::task::TaskId;

/// Outcome of handling received commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandsUpdate {
    /// Rejected: their epoch is lower than that of the commands in force. Both commands and lease are
    /// ignored.
    Fenced,
    /// An older revision of the same epoch: the commands are ignored, the lease is valid.
    Outdated,
    /// The commands replace those in force.
    Applied {
        /// A previous start command is missing from the new ones: the primary waits for a report that it was
        /// not sent to the worker.
        withdrew_start: bool,
    },
}

/// The newest commands accepted.
///
/// Invariant: epoch and revision, compared as a pair, never decrease.
#[derive(Debug, Default)]
pub(super) struct CurrentCommands {
    commands: Option<AgentCommands>,
    /// Start commands are accepted only in responses to syncs with this sequence number or a higher one.
    accept_starts_from: u64,
}

impl CurrentCommands {
    pub(super) fn epoch(&self) -> u64 {
        self.commands.as_ref().map_or(0, |commands| commands.epoch)
    }

    pub(super) fn revision(&self) -> u64 {
        self.commands
            .as_ref()
            .map_or(0, |commands| commands.revision)
    }

    /// Instance id of the worker to which the commands are addressed.
    pub(super) fn instance(&self) -> Option<&Arc<str>> {
        self.commands.as_ref()?.instance.as_ref()
    }

    /// Handles the commands in the response to the sync with number `sequence`.
    pub(super) fn on_response(
        &mut self,
        sequence: u64,
        mut commands: AgentCommands,
    ) -> CommandsUpdate {
        if commands.epoch < self.epoch() && !cfg!(feature = "mutant-fence") {
            return CommandsUpdate::Fenced;
        }
        if commands.epoch == self.epoch() && commands.revision < self.revision() {
            return CommandsUpdate::Outdated;
        }
        if sequence < self.accept_starts_from {
            commands.start.clear();
        }
        let withdrew_start = self
            .commands
            .as_ref()
            .is_some_and(|former| is_start_missing(&former.start, &commands.start));
        self.commands = Some(commands);
        CommandsUpdate::Applied { withdrew_start }
    }

    /// Drops the start commands in force, and from now on those in responses to syncs before `sequence`: the
    /// primary may assign these runs to other workers once it learns that the worker is gone.
    pub(super) fn drop_starts_before(&mut self, sequence: u64) {
        self.accept_starts_from = sequence;
        if let Some(commands) = &mut self.commands {
            commands.start.clear();
        }
    }

    /// Start commands in force for the worker `instance`.
    pub(super) fn starts(&self, instance: &str) -> &[StartCommand] {
        self.addressed_to(instance)
            .map_or(&[], |commands| &commands.start)
    }

    /// Stop commands in force for the worker `instance`.
    pub(super) fn stops(&self, instance: &str) -> &[StopCommand] {
        self.addressed_to(instance)
            .map_or(&[], |commands| &commands.stop)
    }

    /// Number of the newest finished run of the worker `instance` that the primary has recorded; `None` if it
    /// has recorded none.
    pub(super) fn last_seen(&self, instance: &str) -> Option<u64> {
        let commands = self.addressed_to(instance)?;
        Some(commands.last_seen).filter(|last_seen| *last_seen > 0)
    }

    fn addressed_to(&self, instance: &str) -> Option<&AgentCommands> {
        self.commands
            .as_ref()
            .filter(|commands| commands.instance.as_deref() == Some(instance))
    }
}

fn is_start_missing(former: &[StartCommand], current: &[StartCommand]) -> bool {
    if former.is_empty() {
        return false;
    }
    let current: HashSet<(&TaskId, u32)> = current.iter().map(run_key).collect();
    former
        .iter()
        .any(|command| !current.contains(&run_key(command)))
}

fn run_key(command: &StartCommand) -> (&TaskId, u32) {
    (&command.task, command.run)
}
