//! Selection of the peers from which a member receives heartbeats and versions: detects that the parent is
//! silent or partitioned, and determines the peers to which requests have to be sent.

use super::ancestor_search::AncestorSearch;
use super::message::{RelayPeer, RootHeartbeat};
use super::missing_version::{Delivery, MissingVersion};
use super::temporary_parent::TemporaryParent;
use super::timing::{HEARTBEAT_TIMEOUT_MS, ROOT_TIMEOUT_MS};
use streamusher_protocol::Millis;

/// Maximum lag behind the newest root heartbeat. A heartbeat with a greater lag comes from a partitioned
/// member and is ignored.
const MAX_ROOT_HEARTBEAT_LAG: u64 = 5;

/// Index of the parent among the ancestors.
const PARENT_INDEX: usize = 0;

/// Index of the ancestor that is tried first after a heartbeat time-out.
const GRANDPARENT_INDEX: usize = 1;

/// A member's view of its ancestors in the tree.
#[derive(Clone, Debug)]
pub(super) struct ParentSelection {
    /// Parent first, primary last; never empty.
    ancestors: Vec<RelayPeer>,
    /// Added to [`ROOT_TIMEOUT_MS`], so that the members do not all send their requests at the same moment.
    jitter_ms: Millis,
    root_heartbeat: RootHeartbeat,
    /// Time at which the root heartbeat last increased.
    root_heartbeat_at: Millis,
    /// Time of the last heartbeat from any peer that is not partitioned.
    heartbeat_at: Millis,
    /// Time of the last heartbeat from a peer that regards this member as its child.
    parent_heartbeat_at: Option<Millis>,
    temporary_parent: Option<TemporaryParent>,
    search: Option<AncestorSearch>,
    missing_version: Option<MissingVersion>,
}

impl ParentSelection {
    /// Creates a selection in which the primary is the only ancestor.
    pub(super) fn new(now: Millis, jitter_ms: Millis) -> ParentSelection {
        ParentSelection {
            ancestors: vec![RelayPeer::Primary],
            jitter_ms,
            root_heartbeat: RootHeartbeat::default(),
            root_heartbeat_at: now,
            heartbeat_at: now,
            parent_heartbeat_at: None,
            temporary_parent: None,
            search: None,
            missing_version: None,
        }
    }

    /// Returns the parent according to the newest membership; the primary while there is none.
    pub(super) fn parent(&self) -> Option<&RelayPeer> {
        self.ancestors.first()
    }

    pub(super) fn temporary_parent(&self) -> Option<&RelayPeer> {
        self.temporary_parent.as_ref().map(TemporaryParent::peer)
    }

    pub(super) fn root_heartbeat(&self) -> RootHeartbeat {
        self.root_heartbeat
    }

    /// Sets the ancestors according to a new membership. The new parent gets the full time-out for its first
    /// heartbeat.
    pub(super) fn set_ancestors(&mut self, now: Millis, ancestors: Vec<RelayPeer>) {
        self.ancestors = ancestors;
        self.heartbeat_at = now;
        if self.search.is_some() {
            self.start_search(PARENT_INDEX, now);
        }
    }

    /// Starts a search at once, beginning with the parent: after the process has started or was frozen.
    pub(super) fn search_now(&mut self, now: Millis) {
        self.start_search(PARENT_INDEX, now);
    }

    /// Handles a heartbeat. `is_temporary` means that its sender does not regard this member as its child.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Millis,
        sender: &RelayPeer,
        root_heartbeat: RootHeartbeat,
        is_temporary: bool,
    ) {
        if self.is_stale(root_heartbeat) {
            return;
        }
        self.heartbeat_at = now;
        if root_heartbeat > self.root_heartbeat {
            self.root_heartbeat = root_heartbeat;
            self.root_heartbeat_at = now;
            self.search = None;
        }
        if is_temporary {
            self.on_temporary_heartbeat(now, sender);
        } else {
            self.parent_heartbeat_at = Some(now);
        }
    }

    /// Handles the announcement of a version that is newer than this member's, by a peer that has it if one
    /// is known.
    pub(super) fn on_version_announced(
        &mut self,
        now: Millis,
        version: u64,
        source: Option<&RelayPeer>,
        delivery: Delivery,
    ) {
        match &mut self.missing_version {
            Some(missing) if missing.version() >= version => {
                missing.on_announced_again(now, source, delivery);
            }
            missing => *missing = Some(MissingVersion::new(now, version, source, delivery)),
        }
    }

    /// Handles the receipt of a version, which ends the requests for it and for older ones.
    pub(super) fn on_version_received(&mut self, version: u64) {
        self.missing_version
            .take_if(|missing| missing.version() <= version);
    }

    /// Returns the peers to which a request has to be sent now, sorted.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<RelayPeer> {
        if self.search.is_none() && now >= self.timeout_at() {
            self.start_search(GRANDPARENT_INDEX, now);
        }
        let mut peers = Vec::new();
        if let Some(search) = &mut self.search {
            peers.extend(search.take_due(now, &self.ancestors));
        }
        if let Some(missing) = &mut self.missing_version {
            peers.extend(missing.take_due(now, &self.ancestors));
        }
        peers.extend(self.take_due_renewal(now));
        peers.sort();
        peers.dedup();
        peers
    }

    /// Returns when [`ParentSelection::take_due`] has to be called next.
    pub(super) fn next_due_at(&self) -> Millis {
        let search = self.search.as_ref().map(AncestorSearch::due_at);
        let missing = self.missing_version.as_ref().map(MissingVersion::due_at);
        let renewal = self
            .temporary_parent
            .as_ref()
            .map(TemporaryParent::renewal_due_at);
        let search = search.unwrap_or_else(|| self.timeout_at());
        missing.into_iter().chain(renewal).fold(search, Millis::min)
    }

    /// Returns whether the sender of this root heartbeat is partitioned from the root.
    fn is_stale(&self, root_heartbeat: RootHeartbeat) -> bool {
        let newest_if_connected = RootHeartbeat {
            epoch: root_heartbeat.epoch,
            count: root_heartbeat.count.saturating_add(MAX_ROOT_HEARTBEAT_LAG),
        };
        newest_if_connected < self.root_heartbeat
    }

    /// Returns when the member starts to search for another sender, if it receives no heartbeat until then.
    fn timeout_at(&self) -> Millis {
        let heartbeat_timeout_at = self.heartbeat_at + HEARTBEAT_TIMEOUT_MS;
        let root_timeout_at = self.root_heartbeat_at + ROOT_TIMEOUT_MS + self.jitter_ms;
        heartbeat_timeout_at.min(root_timeout_at)
    }

    /// Handles a heartbeat from a peer that answers a request. The peer becomes the temporary parent, unless
    /// there is another one that is not silent.
    fn on_temporary_heartbeat(&mut self, now: Millis, sender: &RelayPeer) {
        match &mut self.temporary_parent {
            Some(parent) if parent.peer() == sender => parent.on_heartbeat(now),
            Some(parent) if !parent.is_silent(now) => {}
            parent => *parent = Some(TemporaryParent::new(now, sender)),
        }
    }

    fn start_search(&mut self, first_index: usize, now: Millis) {
        let first_index = first_index.min(self.ancestors.len() - 1);
        self.search = Some(AncestorSearch::new(first_index, now));
    }

    /// Returns the temporary parent if the request to it has to be renewed. If it is silent by then, or the
    /// parent is not, removes it instead.
    fn take_due_renewal(&mut self, now: Millis) -> Option<RelayPeer> {
        let temporary_parent = self.temporary_parent.as_mut()?;
        if now < temporary_parent.renewal_due_at() {
            return None;
        }
        let has_parent = self
            .parent_heartbeat_at
            .is_some_and(|at| now < at + HEARTBEAT_TIMEOUT_MS);
        if has_parent || temporary_parent.is_silent(now) {
            self.temporary_parent = None;
            return None;
        }
        temporary_parent.on_renewed(now);
        Some(temporary_parent.peer().clone())
    }
}
