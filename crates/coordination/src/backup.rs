//! The side of a replica: it learns records, acknowledges keepalives, applies batches and installs copies.

use crate::coordinator::Coordinator;
use crate::copy::IncomingCopy;
use crate::disk::Effect;
use crate::events::Output;
use crate::message::{Batch, Message};
use crate::proposal::Purpose;
use crate::times::{RECENT_BYTES, RECENT_COPY_BYTES, SEND_WINDOW};
use crate::types::{DiskId, EpochRecord, LogPosition, StateMap};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

impl Coordinator {
    /// Takes a decided record if it is newer than the newest one known.
    pub(crate) fn learn(&mut self, record: Arc<EpochRecord>) {
        if record.epoch <= self.witness.decided.epoch {
            return;
        }
        log_change(&self.witness.decided, &record);
        self.witness.decided = record.clone();
        self.witness.promise = Default::default();
        self.witness.accepted = None;
        self.witness.candidate = false;
        self.refusals = 0;
        self.disk.put_witness(&self.witness);
        self.disk.then(Effect::Recorded {
            epoch: record.epoch,
        });
        self.proposal = None;
        self.stand_at = None;
        self.early.clear();
        self.opening = None;
        self.promised_at = self.now;
        let me = self.witness.id;
        let continues = self
            .reign
            .as_ref()
            .is_some_and(|reign| reign.epoch == record.term);
        if continues && record.primary == Some(me) {
            return self.continue_reign();
        }
        if self.reign.take().is_some() {
            self.out.push(Output::Deposed);
        }
        self.primary_heard = Some(self.now);
        if record.primary == Some(me) && record.term == record.epoch {
            self.opening = Some(record.epoch);
            self.disk.then(Effect::Open {
                epoch: record.epoch,
            });
        }
    }

    pub(crate) fn on_keepalive(&mut self, from: &Arc<str>, record: Arc<EpochRecord>, sent: Millis) {
        let (epoch, reign) = (record.epoch, record.term);
        self.learn(record);
        if epoch < self.witness.decided.epoch {
            return self.tell_newest(from);
        }
        let is_own = self.witness.decided.primary == Some(self.witness.id);
        if is_own || self.witness.candidate {
            return;
        }
        let stands = self
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.purpose == Purpose::Stand && proposal.is_preparing());
        if stands {
            self.proposal = None;
        }
        self.promised_at = self.now;
        self.primary_heard = Some(self.now);
        let leaving = self.leaving.is_some();
        let (from_id, position, recorded) = (self.witness.id, self.synced, self.recorded);
        self.send(
            from.clone(),
            Message::Alive {
                from: from_id,
                reign,
                sent,
                position,
                leaving,
                recorded,
            },
        );
    }

    /// Tells the primary at once that this replica leaves.
    pub(crate) fn say_leaving(&mut self) {
        let Some(to) = self.primary_address() else {
            return;
        };
        let (from, reign, position) = (self.witness.id, self.witness.decided.term, self.synced);
        let recorded = self.recorded;
        self.send(
            to,
            Message::Alive {
                from,
                reign,
                sent: 0,
                position,
                leaving: true,
                recorded,
            },
        );
    }

    fn primary_address(&self) -> Option<Arc<str>> {
        let record = &self.witness.decided;
        let primary = record.primary.filter(|id| *id != self.witness.id)?;
        record
            .member(primary)
            .map(|member| member.address.internal.clone())
    }

    /// Whether data of this primary may be taken.
    fn follows(&mut self, address: &Arc<str>, id: DiskId, epoch: u64, reign: u64) -> bool {
        if epoch < self.witness.decided.epoch {
            self.tell_newest(address);
        }
        if epoch > self.witness.decided.epoch {
            self.hello(address.clone());
        }
        let record = &self.witness.decided;
        let is_primary =
            record.primary == Some(id) && record.term == reign && id != self.witness.id;
        is_primary && !self.witness.candidate
    }

    pub(crate) fn on_append(
        &mut self,
        address: &Arc<str>,
        id: DiskId,
        epoch: u64,
        reign: u64,
        batch: Batch,
    ) {
        if !self.follows(address, id, epoch, reign) {
            return;
        }
        let is_next = batch.previous == self.applied && batch.position > self.applied;
        if !is_next {
            self.keep_early(batch);
            return self.acknowledge();
        }
        self.apply(batch);
        while let Some(next) = self.early.remove(&self.applied) {
            self.apply(next);
        }
        self.disk.then(Effect::Acknowledge);
    }

    /// Keeps a batch that came before the one that it follows.
    fn keep_early(&mut self, batch: Batch) {
        let applied = self.applied;
        self.early.retain(|previous, _| *previous > applied);
        let is_early = batch.previous > applied;
        if is_early && self.early.len() < SEND_WINDOW as usize {
            self.early.insert(batch.previous, batch);
        }
    }

    /// Applies a batch in memory and hands it to the disk.
    pub(crate) fn apply(&mut self, batch: Batch) {
        for write in batch.writes.iter() {
            apply_write(&mut self.state, write);
        }
        self.applied = batch.position;
        self.disk.put_writes(batch.position, &batch.writes);
        let is_copying = self.reign.as_ref().is_some_and(|reign| reign.is_copying());
        self.recent.push(
            batch,
            if is_copying {
                RECENT_COPY_BYTES
            } else {
                RECENT_BYTES
            },
        );
    }

    /// Tells the primary what is synced.
    pub(crate) fn acknowledge(&mut self) {
        if self.witness.candidate || self.reign.is_some() {
            return;
        }
        let Some(to) = self.primary_address() else {
            return;
        };
        let (from, reign, position) = (self.witness.id, self.witness.decided.term, self.synced);
        self.send(
            to,
            Message::Synced {
                from,
                reign,
                position,
            },
        );
    }

    pub(crate) fn on_copy(&mut self, address: &Arc<str>, message: Message) {
        let Message::Copy {
            from,
            epoch,
            reign,
            copy,
            index,
            last,
            position,
            writes,
        } = message
        else {
            return;
        };
        if !self.follows(address, from, epoch, reign) {
            return;
        }
        let is_level = self.applied.epoch == reign && self.applied >= position;
        let is_known = self
            .incoming
            .as_ref()
            .is_some_and(|known| known.reign == reign && known.id == copy);
        if is_level && !is_known {
            return self.acknowledge();
        }
        if !is_known {
            if self
                .incoming
                .as_ref()
                .is_some_and(|known| known.reign == reign && known.id > copy)
            {
                return;
            }
            self.incoming = Some(IncomingCopy::new(reign, copy, position));
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        let completed = incoming.take(index, last, writes);
        let (next, complete, position) = (incoming.next, incoming.complete, incoming.position);
        let installed = if completed {
            std::mem::take(&mut incoming.writes)
        } else {
            Vec::new()
        };
        let me = self.witness.id;
        self.send(
            address.clone(),
            Message::CopyNext {
                from: me,
                copy,
                next,
            },
        );
        if completed && !is_level {
            self.install(position, installed);
        } else if complete {
            self.acknowledge();
        }
    }

    fn install(&mut self, position: LogPosition, writes: Vec<Write>) {
        log::info!(
            "whole copy installed in memory: {} keys, position {position:?}",
            writes.len()
        );
        let mut state = StateMap::new();
        for write in &writes {
            apply_write(&mut state, write);
        }
        self.state = state;
        self.applied = position;
        self.recent.clear();
        self.disk.put_copy(position, writes);
        self.disk.then(Effect::Acknowledge);
    }
}

fn apply_write(state: &mut StateMap, write: &Write) {
    match &write.value {
        Some(value) => state.insert(write.key.clone(), value.clone()),
        None => state.remove(&write.key),
    };
}

fn log_change(old: &EpochRecord, new: &EpochRecord) {
    let names = |ids: &[DiskId]| {
        ids.iter()
            .map(|id| id.to_string())
            .collect::<Vec<_>>()
            .join(" ")
    };
    let primary = new
        .primary
        .map_or_else(|| "none".to_string(), |id| id.to_string());
    log::info!(
        "epoch {}: primary {primary}, replicas {}",
        new.epoch,
        names(&new.replicas)
    );
    for member in new
        .members
        .iter()
        .filter(|member| !old.is_member(member.id))
    {
        log::info!(
            "epoch {}: member {} at {} added",
            new.epoch,
            member.id,
            member.address.internal
        );
    }
    for member in old
        .members
        .iter()
        .filter(|member| !new.is_member(member.id))
    {
        log::info!(
            "epoch {}: member {} at {} removed",
            new.epoch,
            member.id,
            member.address.internal
        );
    }
}
