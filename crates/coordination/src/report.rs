//! What a machine tells others and operators of itself.

use crate::coordinator::Coordinator;
use crate::message::Message;
use crate::times::{HELLO_MS, LEAVE_MOST_MS, LOST_HELLO_MS, LOST_PRIMARY_MS};
use crate::types::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::internal::ClusterView;
use streamusher_protocol::Millis;

impl Coordinator {
    /// What this machine knows of the control plane.
    pub fn view(&self, now: Millis) -> ClusterView {
        let record = &self.witness.decided;
        let primary = record
            .primary
            .and_then(|id| record.member(id))
            .filter(|_| self.is_primary_alive(now));
        ClusterView {
            epoch: record.epoch,
            primary: primary.map(|member| member.address.clone()),
            members: record
                .members
                .iter()
                .map(|member| member.address.clone())
                .collect(),
        }
    }

    fn is_primary_alive(&self, now: Millis) -> bool {
        if let Some(reign) = &self.reign {
            return !reign.yielded && now < reign.acted_at + self.settings.lease_ms * 2;
        }
        let is_vacant = self.vacant_reign == Some(self.witness.decided.term);
        let heard = self
            .primary_heard
            .is_some_and(|heard| now < heard + self.settings.lease_ms * 3 / 2);
        heard && !is_vacant && self.opening.is_none()
    }

    /// Status for operators.
    pub fn status(&self, now: Millis) -> CoordinatorStatus {
        CoordinatorStatus {
            id: self.witness.id,
            role: self.role(),
            acting: self.may_act(now),
            record: self.witness.decided.clone(),
            applied: self.applied,
            synced: self.synced,
            committed: self.reign.as_ref().map_or(0, |reign| reign.committed),
            peers: self
                .reign
                .as_ref()
                .map_or_else(Vec::new, |reign| reign.peer_statuses(now)),
        }
    }

    fn role(&self) -> Role {
        let record = &self.witness.decided;
        if self.reign.is_some() {
            Role::Primary
        } else if record.is_replica(self.witness.id) {
            Role::Replica
        } else if record.is_member(self.witness.id) {
            Role::Witness
        } else {
            Role::Joining
        }
    }

    /// After [`Input::Leave`](crate::events::Input::Leave): no longer primary, replaced as a replica, and no member that an even number can spare; or the
    /// time for that is over.
    pub fn may_leave(&self) -> bool {
        let Some(since) = self.leaving else {
            return false;
        };
        let is_over = self.now >= since + LEAVE_MOST_MS;
        let record = &self.witness.decided;
        let is_needed = record.is_replica(self.witness.id) || self.is_to_be_removed();
        let in_office = self.reign.is_some() || self.opening.is_some();
        is_over || !(in_office || is_needed)
    }

    /// Whether the primary removes this machine from the members when it leaves.
    fn is_to_be_removed(&self) -> bool {
        let record = &self.witness.decided;
        record.has_one_to_spare() && record.is_member(self.witness.id)
    }

    pub(crate) fn tick_hello(&mut self) {
        if self.now < self.next_hello {
            return;
        }
        self.tell_vacant();
        let is_member = self.witness.decided.is_member(self.witness.id);
        self.next_hello = self.now + if is_member { LOST_HELLO_MS } else { HELLO_MS };
        let silent = self
            .primary_heard
            .is_none_or(|heard| self.now > heard + LOST_PRIMARY_MS);
        let is_lost = silent && !self.may_act(self.now);
        // A machine that leaves does not ask to be let in again.
        let is_wanted = if is_member {
            is_lost
        } else {
            self.leaving.is_none()
        };
        if !is_wanted {
            return;
        }
        let addresses: BTreeSet<Arc<str>> = self.known_addresses().collect();
        for to in addresses {
            self.hello(to);
        }
    }

    fn known_addresses(&self) -> impl Iterator<Item = Arc<str>> + '_ {
        let members = self
            .witness
            .decided
            .members
            .iter()
            .map(|member| &member.address);
        let others = members
            .chain(&self.settings.seeds)
            .map(|address| address.internal.clone());
        others.filter(|address| *address != self.settings.address.internal)
    }

    /// Says who this is, to be told the newest record or to be let in.
    pub(crate) fn hello(&mut self, to: Arc<str>) {
        let member = Member {
            id: self.witness.id,
            address: self.settings.address.clone(),
        };
        self.send(
            to,
            Message::Hello {
                member,
                epoch: self.witness.decided.epoch,
            },
        );
    }

    pub(crate) fn tell_newest(&mut self, to: &Arc<str>) {
        if !self.witness.decided.members.is_empty() {
            self.send(
                to.clone(),
                Message::Decided {
                    record: self.witness.decided.clone(),
                },
            );
        }
    }
}
