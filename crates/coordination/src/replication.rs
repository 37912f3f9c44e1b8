//! The primary: opens its reign, sends keepalives, batches and copies, and counts what is committed.

use crate::coordinator::Coordinator;
use crate::events::Output;
use crate::message::{Batch, Message};
use crate::peer::{Acknowledged, Peer};
use crate::recent::write_bytes;
use crate::reign::Reign;
use crate::times::{BATCH_BYTES, LEAVE_MOST_MS, MOST_OUTSTANDING, SEND_WINDOW, SLOW_REST_MS};
use crate::types::{DiskId, LogPosition, PeerStatus};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Keepalives in a lease.
const KEEPALIVES_PER_LEASE: Millis = 4;

impl Coordinator {
    pub(crate) fn open_reign(&mut self, epoch: u64) {
        if self.opening != Some(epoch) {
            return;
        }
        self.opening = None;
        self.incoming = None;
        let previous = self.applied;
        let position = LogPosition {
            epoch,
            sequence: previous.sequence + 1,
        };
        self.reign = Some(Reign::new(epoch, position.sequence, self.now));
        self.committed = self.appended;
        self.sync_peers();
        self.make_batch(Vec::new(), None);
        self.out.push(Output::Elected { epoch });
        self.send_keepalives();
    }

    /// The primary's own change of the record was decided.
    pub(crate) fn continue_reign(&mut self) {
        if let Some(reign) = &mut self.reign {
            reign.proposed.clear();
            reign.yielded = false;
        }
        self.sync_peers();
        self.update_committed();
        self.send_keepalives();
    }

    /// Keeps a peer for each other member; one that was dropped as a replica though it answers is slow.
    fn sync_peers(&mut self) {
        let record = self.witness.decided.clone();
        let (now, me) = (self.now, self.witness.id);
        let Some(reign) = &mut self.reign else { return };
        reign.peers.retain(|id, _| record.is_member(*id));
        for member in record.members.iter().filter(|member| member.id != me) {
            let address = member.address.internal.clone();
            let peer = reign
                .peers
                .entry(member.id)
                .or_insert_with(|| Peer::new(address.clone(), now));
            peer.address = address;
            let was_replica = std::mem::replace(&mut peer.is_replica, record.is_replica(member.id));
            if was_replica && !peer.is_replica && peer.responds(now) {
                peer.slow_until = now + SLOW_REST_MS;
            }
            peer.learner &= !peer.is_replica;
        }
    }

    fn send_keepalives(&mut self) {
        let record = self.witness.decided.clone();
        let sent = self.now;
        if let Some(reign) = &mut self.reign {
            reign.next_keepalive = sent + self.settings.lease_ms / KEEPALIVES_PER_LEASE;
        }
        self.send_to_members(Message::Keepalive { record, sent });
    }

    pub(crate) fn tick_reign(&mut self) {
        let now = self.now;
        if self.is_forsaken() {
            return self.abdicate();
        }
        if self
            .leaving
            .is_some_and(|since| now >= since + LEAVE_MOST_MS)
        {
            if let Some(reign) = &mut self.reign {
                reign.yielded = true;
            }
        }
        if self
            .reign
            .as_ref()
            .is_some_and(|reign| now >= reign.next_keepalive)
        {
            self.send_keepalives();
        }
        self.cut_batches();
        self.send_data();
        self.reconsider();
    }

    pub(crate) fn on_alive(&mut self, from: DiskId, reign: u64, sent: Millis, said: Acknowledged) {
        let now = self.now;
        let Some(mine) = self.reign.as_mut().filter(|mine| mine.epoch == reign) else {
            return;
        };
        let Some(peer) = mine.peers.get_mut(&from) else {
            return;
        };
        peer.leaving = said.leaving;
        peer.recorded = peer.recorded.max(said.recorded);
        self.dismiss_removed();
        if sent > now || said.leaving && sent == 0 {
            return;
        }
        let Some(peer) = self
            .reign
            .as_mut()
            .and_then(|mine| mine.peers.get_mut(&from))
        else {
            return;
        };
        peer.heard = now;
        peer.answered = true;
        peer.lease_from = peer.lease_from.max(Some(sent));
        self.note_position(from, said.position);
    }

    pub(crate) fn on_synced(&mut self, from: DiskId, reign: u64, position: LogPosition) {
        if self.reign.as_ref().is_some_and(|mine| mine.epoch == reign) {
            self.note_position(from, position);
        }
    }

    fn note_position(&mut self, from: DiskId, position: LogPosition) {
        let now = self.now;
        let Some(reign) = &mut self.reign else { return };
        let Some(peer) = reign.peers.get_mut(&from) else {
            return;
        };
        if !peer.report(position, now) {
            return;
        }
        if position.epoch == reign.epoch {
            peer.copy = None;
        }
        self.update_committed();
        self.send_data();
    }

    pub(crate) fn on_copy_next(&mut self, from: DiskId, copy: u64, next: u64) {
        let now = self.now;
        let Some(reign) = &mut self.reign else { return };
        let Some(outgoing) = reign
            .peers
            .get_mut(&from)
            .and_then(|peer| peer.copy.as_mut())
        else {
            return;
        };
        if outgoing.id == copy {
            outgoing.acknowledge(next, now);
            self.send_data();
        }
    }

    pub(crate) fn append_to_reign(&mut self, writes: Vec<Write>) {
        let append = self.appended;
        let Some(reign) = &mut self.reign else { return };
        reign.pending.push((append, writes));
        self.cut_batches();
    }

    /// Makes batches of what was appended, as many as may be outstanding.
    fn cut_batches(&mut self) {
        while let Some(reign) = &mut self.reign {
            let outstanding = self.applied.sequence.saturating_sub(reign.committed);
            if reign.pending.is_empty() || outstanding >= MOST_OUTSTANDING || !reign.is_open() {
                return;
            }
            let (append, writes) = reign.take_pending(BATCH_BYTES);
            self.make_batch(writes, append);
        }
    }

    fn make_batch(&mut self, writes: Vec<Write>, append: Option<u64>) {
        let now = self.now;
        let Some(reign) = &mut self.reign else { return };
        let previous = self.applied;
        let position = LogPosition {
            epoch: reign.epoch,
            sequence: previous.sequence + 1,
        };
        reign.note_batch(position.sequence, append, now);
        self.apply(Batch {
            previous,
            position,
            writes: Arc::new(writes),
        });
        self.send_data();
    }

    /// Sends batches and parts of copies to replicas and learners.
    pub(crate) fn send_data(&mut self) {
        let Some(reign) = &self.reign else { return };
        let wanted = reign
            .peers
            .iter()
            .filter(|(id, peer)| peer.is_replica || peer.learner || reign.proposed.contains(id));
        let ids: Vec<DiskId> = wanted.map(|(id, _)| *id).collect();
        for id in ids {
            self.send_data_to(id);
        }
    }

    fn send_data_to(&mut self, id: DiskId) {
        let (now, me, epoch) = (self.now, self.witness.id, self.witness.decided.epoch);
        let Some(reign) = &mut self.reign else { return };
        let Some(peer) = reign.peers.get_mut(&id) else {
            return;
        };
        let Some(position) = peer.position else {
            return;
        };
        let mut messages = Vec::new();
        if self.recent.reaches_from(position) {
            peer.copy = None;
            peer.rewind(now);
            while peer.sent < (position.sequence + SEND_WINDOW).min(self.applied.sequence) {
                let Some(batch) = self.recent.get(peer.sent + 1) else {
                    break;
                };
                messages.push(Message::Append {
                    from: me,
                    epoch,
                    reign: reign.epoch,
                    batch: batch.clone(),
                });
                peer.sent += 1;
            }
        } else if position != self.applied && peer.responds(now) {
            let last_copy = &mut reign.last_copy;
            let (applied, state) = (self.applied, &self.state);
            let copy = peer.copy.get_or_insert_with(|| {
                *last_copy += 1;
                log::info!(
                    "whole copy {last_copy} to {id}: its position {position:?}, here {applied:?}"
                );
                crate::copy::OutgoingCopy::new(*last_copy, applied, state.clone(), now)
            });
            for part in copy.due(now) {
                messages.push(Message::Copy {
                    from: me,
                    epoch,
                    reign: reign.epoch,
                    copy: copy.id,
                    index: part.index,
                    last: part.last,
                    position: copy.position,
                    writes: part.writes,
                });
            }
        }
        let to = peer.address.clone();
        for message in messages {
            self.send(to.clone(), message);
        }
    }

    /// Counts the batches that all have synced.
    pub(crate) fn update_committed(&mut self) {
        let Some(reign) = &self.reign else { return };
        if !self.has_enough_replicas() {
            return;
        }
        let mut all = if self.synced.epoch == reign.epoch {
            self.synced.sequence
        } else {
            0
        };
        if !cfg!(feature = "mutant-copies") {
            for id in self.required(reign) {
                let peer = reign.peers.get(&id);
                let synced = peer
                    .and_then(|peer| peer.acknowledged(reign.epoch))
                    .unwrap_or(0);
                all = all.min(synced);
            }
        }
        self.commit_up_to(all);
    }

    fn commit_up_to(&mut self, sequence: u64) {
        let Some(reign) = &mut self.reign else { return };
        if sequence <= reign.committed {
            return;
        }
        reign.committed = sequence;
        let mut append = None;
        while let Some(oldest) = reign
            .outstanding
            .pop_front_if(|oldest| oldest.sequence <= sequence)
        {
            append = oldest.append.or(append);
        }
        if let Some(append) = append {
            self.committed = append;
            self.out.push(Output::Committed { sequence: append });
        }
        self.cut_batches();
    }
}

impl Reign {
    /// Takes appends of about so many bytes, at least one; with the number of the newest.
    fn take_pending(&mut self, most_bytes: usize) -> (Option<u64>, Vec<Write>) {
        let mut taken = Vec::new();
        let mut newest = None;
        let mut bytes = 0;
        let mut count = 0;
        for (append, writes) in &mut self.pending {
            if bytes >= most_bytes {
                break;
            }
            bytes += writes.iter().map(write_bytes).sum::<usize>();
            newest = Some(*append);
            taken.append(writes);
            count += 1;
        }
        self.pending.drain(..count);
        (newest, taken)
    }

    pub(crate) fn peer_statuses(&self, now: Millis) -> Vec<PeerStatus> {
        let status = |(id, peer): (&DiskId, &Peer)| PeerStatus {
            id: *id,
            position: peer.position.unwrap_or_default(),
            silent_ms: now.saturating_sub(peer.heard),
        };
        self.peers.iter().map(status).collect()
    }
}
