//! How a machine finds the newest record: members that hear no primary ask the others, and machines that are no members
//! ask to join.

use crate::coordinator_core::CoordinatorCore;
use crate::timing::{JOIN_REQUEST_INTERVAL_MS, PRIMARY_TIMEOUT_MS, RECORD_QUERY_INTERVAL_MS};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Decides when to introduce this machine to others.
#[derive(Clone, Debug)]
pub(crate) struct Discovery {
    next_ms: Millis,
}

impl Discovery {
    /// Due at once.
    pub(crate) fn new(now_ms: Millis) -> Discovery {
        Discovery { next_ms: now_ms }
    }

    /// Whether a round is due; if so, plans the next one.
    pub(crate) fn take_due(&mut self, core: &CoordinatorCore) -> bool {
        if core.now_ms < self.next_ms {
            return false;
        }
        let is_member = core.record().is_member(core.id());
        let interval_ms = if is_member {
            RECORD_QUERY_INTERVAL_MS
        } else {
            JOIN_REQUEST_INTERVAL_MS
        };
        self.next_ms = core.now_ms + interval_ms;
        true
    }
}

/// Introduces this machine to all known addresses, if it is a member that hears no primary, or none that wants to join.
pub(crate) fn send_hellos(
    core: &mut CoordinatorCore,
    primary_heard_ms: Option<Millis>,
    may_act: bool,
) {
    let is_member = core.record().is_member(core.id());
    let hears_no_primary =
        primary_heard_ms.is_none_or(|heard_ms| core.now_ms > heard_ms + PRIMARY_TIMEOUT_MS);
    let is_wanted = if is_member {
        hears_no_primary && !may_act
    } else {
        // A machine that leaves does not ask to join again.
        !core.is_leaving()
    };
    if !is_wanted {
        return;
    }
    for address in known_addresses(core) {
        core.send_hello(address);
    }
}

/// Addresses of members and seeds but this machine's own, each once.
fn known_addresses(core: &CoordinatorCore) -> BTreeSet<Arc<str>> {
    let members = core.record().members.iter().map(|member| &member.address);
    members
        .chain(&core.settings.seeds)
        .map(|address| address.internal.clone())
        .filter(|address| *address != core.settings.address.internal)
        .collect()
}
