//! State shared by all roles of a member: settings, clock, disk queue, Paxos state, replicated state and
//! outgoing messages.

use crate::acceptor::WitnessState;
use crate::bootstrap::initial_witness_state;
use crate::disk::{DiskQueue, Effect};
use crate::message::{KeepaliveAck, Message};
use crate::outbox::Outbox;
use crate::record::{DiskId, EpochRecord, Member};
use crate::replicated_state::ReplicatedState;
use crate::settings::CoordinatorSettings;
use crate::storage::DiskImage;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Counters of appends since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AppendCounters {
    /// Sequence of the newest append.
    pub(crate) appended: u64,
    /// All appends up to this sequence are committed.
    pub(crate) committed: u64,
}

/// The part of the coordinator that does not depend on the member's role.
#[derive(Clone, Debug)]
pub(crate) struct CoordinatorCore {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) random: Pcg64Mcg,
    /// Time of the input that is being handled, in milliseconds of the steady clock.
    pub(crate) now_ms: Millis,
    pub(crate) disk: DiskQueue,
    pub(crate) witness: WitnessState,
    /// Epoch of the newest record that is synced on this member's disk.
    pub(crate) synced_record_epoch: u64,
    pub(crate) state: ReplicatedState,
    pub(crate) appends: AppendCounters,
    /// When the process was asked to leave; `None` if it was not.
    pub(crate) leaving_since_ms: Option<Millis>,
    pub(crate) outbox: Outbox,
}

impl CoordinatorCore {
    /// Starts from the content of the disk, and queues the disk change that increments the number of starts.
    pub(crate) fn new(
        settings: CoordinatorSettings,
        image: DiskImage,
        now_ms: Millis,
    ) -> CoordinatorCore {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let mut witness = image
            .witness
            .unwrap_or_else(|| initial_witness_state(&settings, &mut random));
        witness.starts += 1;
        let mut disk = DiskQueue::default();
        disk.put_witness(&witness);
        disk.queue_effect(Effect::Started);
        CoordinatorCore {
            outbox: Outbox::new(settings.address.internal.clone()),
            settings,
            random,
            now_ms,
            disk,
            synced_record_epoch: witness.decided.epoch,
            witness,
            state: ReplicatedState::new(image.state, image.position),
            appends: AppendCounters::default(),
            leaving_since_ms: None,
        }
    }

    /// Disk id of this member.
    pub(crate) fn id(&self) -> DiskId {
        self.witness.id
    }

    /// The newest record that this member knows to be decided.
    pub(crate) fn record(&self) -> &Arc<EpochRecord> {
        &self.witness.decided
    }

    /// Whether the newest record names this member as the primary.
    pub(crate) fn is_named_primary(&self) -> bool {
        self.record().primary == Some(self.id())
    }

    /// Whether the process was asked to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    /// Internal address of the primary of the newest record; `None` if there is no primary or this member is
    /// the primary.
    pub(crate) fn primary_address(&self) -> Option<Arc<str>> {
        let record = self.record();
        let primary = record.primary.filter(|id| *id != self.id())?;
        record
            .member(primary)
            .map(|member| member.address.internal.clone())
    }

    /// Minimum number of replicas with which a batch can be committed: one more than the number of disks that
    /// may be lost, limited by the number of members.
    pub(crate) fn min_replica_count(&self, record: &EpochRecord) -> usize {
        (self.settings.tolerance + 1)
            .min(record.members.len())
            .max(1)
    }

    /// Target number of replicas: one more than the minimum, so that appends are still committed while a
    /// replica is replaced.
    pub(crate) fn target_replica_count(&self) -> usize {
        self.settings.tolerance + 2
    }

    /// Whether the newest record has enough replicas to commit batches.
    pub(crate) fn has_enough_replicas(&self) -> bool {
        let record = self.record();
        record.replicas.len() >= self.min_replica_count(record)
    }

    /// Sends a message immediately, without waiting for queued disk changes.
    pub(crate) fn send(&mut self, to: Arc<str>, message: Message) {
        self.outbox.send(to, message);
    }

    /// Sends a message to all other members.
    pub(crate) fn send_to_members(&mut self, message: &Message) {
        let (record, own_id) = (self.record().clone(), self.id());
        for member in record.members.iter().filter(|member| member.id != own_id) {
            self.send(member.address.internal.clone(), message.clone());
        }
    }

    /// Sends a `Hello`, which requests the newest record or, from a machine that is not a member, asks to
    /// join.
    pub(crate) fn send_hello(&mut self, to: Arc<str>) {
        let member = Member {
            id: self.id(),
            address: self.settings.address.clone(),
        };
        let epoch = self.record().epoch;
        self.send(to, Message::Hello { member, epoch });
    }

    /// Sends the newest record, unless this machine has no record with members yet.
    pub(crate) fn send_newest_record(&mut self, to: &Arc<str>) {
        if !self.record().members.is_empty() {
            let record = self.record().clone();
            self.send(to.clone(), Message::Decided { record });
        }
    }

    /// Builds the acknowledgement of a keepalive of this term, which the primary sent at `sent_ms` by its own
    /// clock.
    pub(crate) fn keepalive_ack(&self, term: u64, sent_ms: Millis) -> Message {
        Message::KeepaliveAck(KeepaliveAck {
            from: self.id(),
            term,
            sent_ms,
            position: self.state.synced(),
            leaving: self.is_leaving(),
            recorded_epoch: self.synced_record_epoch,
        })
    }
}
