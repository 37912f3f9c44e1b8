//! Discovery of the newest record: members that receive nothing from a primary query the other machines, and
//! machines that are not members ask to join.

use crate::coordinator_core::CoordinatorCore;
use crate::timing::{JOIN_REQUEST_INTERVAL_MS, PRIMARY_TIMEOUT_MS, RECORD_QUERY_INTERVAL_MS};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Timer that decides when this machine sends `Hello` messages.
#[derive(Clone, Debug)]
pub(crate) struct Discovery {
    next_ms: Millis,
}

impl Discovery {
    /// Creates a timer that is due immediately.
    pub(crate) fn new(now_ms: Millis) -> Discovery {
        Discovery { next_ms: now_ms }
    }

    /// Whether a round of `Hello` messages is due; if so, schedules the next round.
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

/// Sends a `Hello` to all known addresses, if this machine is a member without contact to a primary, or is
/// not a member and wants to join.
pub(crate) fn send_hellos(
    core: &mut CoordinatorCore,
    last_primary_contact_ms: Option<Millis>,
    may_act: bool,
) {
    let is_member = core.record().is_member(core.id());
    let has_no_primary_contact = last_primary_contact_ms
        .is_none_or(|contact_ms| core.now_ms > contact_ms + PRIMARY_TIMEOUT_MS);
    let should_send = if is_member {
        has_no_primary_contact && !may_act
    } else {
        // A machine that leaves does not ask to join again.
        !core.is_leaving()
    };
    if !should_send {
        return;
    }
    for address in known_addresses(core) {
        core.send_hello(address);
    }
}

/// Addresses of all members and seeds, without this machine's own address and without duplicates.
fn known_addresses(core: &CoordinatorCore) -> BTreeSet<Arc<str>> {
    let members = core.record().members.iter().map(|member| &member.address);
    members
        .chain(&core.settings.seeds)
        .map(|address| address.internal.clone())
        .filter(|address| *address != core.settings.address.internal)
        .collect()
}
