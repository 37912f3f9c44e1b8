//! The state machine of one member: dispatches inputs to the roles and collects the outputs.

use crate::acceptor::{ProposalNumber, Vote};
use crate::coordinator_core::CoordinatorCore;
use crate::discovery::{send_hellos, Discovery};
use crate::disk::Effect;
use crate::election::Election;
use crate::events::{Input, Output};
use crate::join::JoinRequests;
use crate::message::Message;
use crate::proposal::{Promise, Purpose};
use crate::proposer::{Proposer, ValueChoice};
use crate::reconfiguration::Reconfiguration;
use crate::record::{DiskId, EpochRecord, Member};
use crate::replica::{send_synced, Replica, Sender};
use crate::settings::CoordinatorSettings;
use crate::status::{CoordinatorStatus, Role};
use crate::storage::{DiskImage, StateMap};
use crate::term::{LeaderTerm, RemovedMember};
use crate::timing::{
    LEAVE_TIMEOUT_MS, MAX_TICK_GAP_MS, POST_STALL_ELECTION_DELAY_MS, RECONFIGURATION_INTERVAL_MS,
};
use std::sync::Arc;
use streamusher_protocol::internal::{ClusterView, CoreAddress};
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Coordinator of one member: epochs, leases and replication. See the [crate's documentation](crate) for how
/// to embed it.
#[derive(Clone, Debug)]
pub struct Coordinator {
    core: CoordinatorCore,
    last_tick_ms: Millis,
    /// Whether the number of starts is synced; received messages are dropped before that.
    is_started: bool,
    replica: Replica,
    election: Election,
    proposer: Proposer,
    /// Epoch of a record that elects this member and is not synced yet.
    elected_epoch: Option<u64>,
    /// The term of this member while it is the primary.
    term: Option<LeaderTerm>,
    join_requests: JoinRequests,
    discovery: Discovery,
}

/// Inputs and status, for the embedding program.
impl Coordinator {
    /// Starts from the content of the disk. Nothing is sent before this start is recorded on disk.
    pub fn new(settings: CoordinatorSettings, image: DiskImage, now_ms: Millis) -> Coordinator {
        Coordinator {
            core: CoordinatorCore::new(settings, image, now_ms),
            last_tick_ms: now_ms,
            is_started: false,
            replica: Replica::default(),
            election: Election::new(now_ms),
            proposer: Proposer::new(now_ms),
            elected_epoch: None,
            term: None,
            join_requests: JoinRequests::default(),
            discovery: Discovery::new(now_ms),
        }
    }

    /// Handles an input at the current time of the caller's steady clock. Returns the outputs to carry out,
    /// in order.
    pub fn handle(&mut self, now_ms: Millis, input: Input) -> Vec<Output> {
        self.set_clock(now_ms);
        match input {
            Input::Received { from, message } if self.is_started => self.receive(&from, message),
            Input::Received { .. } => {}
            Input::Persisted { ticket } => self.on_persisted(ticket),
            Input::PersistFailed { ticket } => self.core.disk.on_persist_failed(now_ms, ticket),
            Input::Leave => self.on_leave(),
            Input::Tick => self.tick(),
        }
        self.finish()
    }

    /// Appends writes to the log of the primary; other members drop them. Returns the sequence of the append,
    /// which increases by 1 with each call, and the outputs to carry out. The append is committed when
    /// [`Coordinator::committed`] has reached its sequence and no [`Output::Deposed`] was returned in
    /// between.
    pub fn append(&mut self, now_ms: Millis, writes: Vec<Write>) -> (u64, Vec<Output>) {
        self.set_clock(now_ms);
        self.core.appends.appended += 1;
        if let Some(term) = &mut self.term {
            term.append(&mut self.core, writes);
        }
        (self.core.appends.appended, self.finish())
    }

    /// Replaces the seeds, for example after a change of the settings file. Seeds are only addresses to
    /// contact: epoch records decide which machines are members.
    pub fn set_seeds(&mut self, seeds: Vec<CoreAddress>) {
        self.core.settings.seeds = seeds;
    }

    /// The seeds in use.
    pub fn seeds(&self) -> &[CoreAddress] {
        &self.core.settings.seeds
    }

    /// Sequence of the newest append since the start of the process.
    pub fn appended(&self) -> u64 {
        self.core.appends.appended
    }

    /// Sequence up to which appends are committed.
    pub fn committed(&self) -> u64 {
        self.core.appends.committed
    }

    /// The replicated state in memory, with all appends: the state from which a new primary recovers. Takes
    /// O(1).
    pub fn state(&self) -> StateMap {
        self.core.state.map().clone()
    }

    /// Epoch of the newest record that this member knows.
    pub fn epoch(&self) -> u64 {
        self.core.record().epoch
    }

    /// Whether this member is the primary with a valid lease and may release responses.
    pub fn may_act(&self, now_ms: Millis) -> bool {
        self.term
            .as_ref()
            .is_some_and(|term| term.may_act(&self.core, now_ms))
    }

    /// Whether this member was elected, the first batch of its term is not committed yet, and it is not
    /// stepping down.
    pub fn is_starting_term(&self) -> bool {
        let is_starting =
            |term: &LeaderTerm| !term.is_first_batch_committed() && !term.is_stepping_down;
        let is_elected =
            self.elected_epoch.is_some() || self.term.as_ref().is_some_and(is_starting);
        self.core.is_named_primary() && is_elected
    }

    /// After [`Input::Leave`]: whether the process may exit. It may exit when it is neither primary nor
    /// replica and is not a member that should be removed because the number of members is even, or when
    /// the time limit for leaving is over.
    pub fn may_leave(&self) -> bool {
        let Some(since_ms) = self.core.leaving_since_ms else {
            return false;
        };
        let has_timed_out = self.core.now_ms >= since_ms + LEAVE_TIMEOUT_MS;
        let record = self.core.record();
        let is_to_be_removed = record.can_spare_member() && record.is_member(self.core.id());
        let is_needed = record.is_replica(self.core.id()) || is_to_be_removed;
        let is_primary = self.term.is_some() || self.elected_epoch.is_some();
        has_timed_out || !(is_primary || is_needed)
    }

    /// What this member knows about the control plane. The primary is included only while it is presumed
    /// alive.
    pub fn view(&self, now_ms: Millis) -> ClusterView {
        let record = self.core.record();
        let primary = record
            .primary
            .and_then(|id| record.member(id))
            .filter(|_| self.is_primary_alive(now_ms));
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

    fn is_primary_alive(&self, now_ms: Millis) -> bool {
        let lease_ms = self.core.settings.lease_ms;
        if let Some(term) = &self.term {
            let acted_recently = now_ms < term.last_acted_ms + lease_ms * 2;
            return !term.is_stepping_down && acted_recently;
        }
        let is_term_ended = self.election.is_term_ended(self.core.record().term);
        let had_recent_contact = self
            .election
            .last_primary_contact_ms()
            .is_some_and(|contact_ms| now_ms < contact_ms + lease_ms * 3 / 2);
        had_recent_contact && !is_term_ended && self.elected_epoch.is_none()
    }

    /// Status for operators.
    pub fn status(&self, now_ms: Millis) -> CoordinatorStatus {
        let term = self.term.as_ref();
        CoordinatorStatus {
            id: self.core.id(),
            role: self.role(),
            acting: self.may_act(now_ms),
            record: self.core.record().clone(),
            applied: self.core.state.applied(),
            synced: self.core.state.synced(),
            committed: term.map_or(0, |term| term.pipeline.committed()),
            peers: term.map_or_else(Vec::new, |term| term.peer_statuses(now_ms)),
        }
    }

    fn role(&self) -> Role {
        let (record, id) = (self.core.record(), self.core.id());
        if self.term.is_some() {
            Role::Primary
        } else if record.is_replica(id) {
            Role::Replica
        } else if record.is_member(id) {
            Role::Witness
        } else {
            Role::Joining
        }
    }
}

/// Time and disk.
impl Coordinator {
    fn set_clock(&mut self, now_ms: Millis) {
        self.core.now_ms = self.core.now_ms.max(now_ms);
        let gap_ms = self.core.now_ms - self.last_tick_ms;
        if gap_ms > MAX_TICK_GAP_MS {
            self.on_process_stalled(gap_ms);
            self.last_tick_ms = self.core.now_ms;
        }
    }

    /// Handles a stall of this process. Its own lease has continued to run during the stall; the time of the
    /// stall does not count against other members.
    fn on_process_stalled(&mut self, gap_ms: Millis) {
        let now_ms = self.core.now_ms;
        self.core.disk.on_process_stalled(now_ms);
        if let Some(term) = &mut self.term {
            term.on_process_stalled(now_ms, gap_ms);
        }
        if gap_ms >= self.core.settings.lease_ms / 2 {
            log::info!("process stalled for {gap_ms} ms");
            self.election.on_process_stalled();
            self.proposer
                .pause_until(now_ms + POST_STALL_ELECTION_DELAY_MS);
        }
    }

    fn tick(&mut self) {
        self.last_tick_ms = self.core.now_ms;
        if !self.is_started {
            return;
        }
        if self.term.is_some() {
            self.tick_primary();
        } else {
            self.tick_replica();
        }
        self.proposer.tick(&mut self.core);
        self.choose_value();
        self.tick_discovery();
    }

    fn tick_primary(&mut self) {
        let Some(term) = &mut self.term else { return };
        if term.has_lost_quorum(&self.core) {
            return self.step_down();
        }
        let leaving_since_ms = self.core.leaving_since_ms;
        let must_leave = leaving_since_ms
            .is_some_and(|since_ms| self.core.now_ms >= since_ms + LEAVE_TIMEOUT_MS);
        term.is_stepping_down |= must_leave;
        term.tick(&mut self.core);
        self.reconfigure();
    }

    fn tick_replica(&mut self) {
        let is_elected = self.elected_epoch.is_some();
        let is_candidacy_due = self.election.tick(&mut self.core, is_elected);
        let may_propose = self.proposer.is_idle() && !self.proposer.is_paused(self.core.now_ms);
        if is_candidacy_due && may_propose {
            self.proposer.propose(&mut self.core, Purpose::Election);
        }
    }

    fn tick_discovery(&mut self) {
        if !self.discovery.take_due(&self.core) {
            return;
        }
        self.announce_ended_term();
        let may_act = self.may_act(self.core.now_ms);
        send_hellos(
            &mut self.core,
            self.election.last_primary_contact_ms(),
            may_act,
        );
    }

    fn on_leave(&mut self) {
        if self.core.is_leaving() {
            return;
        }
        log::info!("leaving the control plane");
        self.core.leaving_since_ms = Some(self.core.now_ms);
        if let Some(primary) = self.core.primary_address() {
            let announcement = self.core.keepalive_ack(self.core.record().term, 0);
            self.core.send(primary, announcement);
        }
    }

    fn on_persisted(&mut self, ticket: u64) {
        let Some(position) = self.core.disk.on_persisted(self.core.now_ms, ticket) else {
            return;
        };
        self.core.state.on_synced(position);
        if let Some(term) = &mut self.term {
            term.update_committed(&mut self.core);
        }
    }

    /// Handles the messages that this member sent to itself and the effects whose changes are synced, then
    /// passes the next change to the disk.
    fn finish(&mut self) -> Vec<Output> {
        loop {
            if let Some(message) = self.core.outbox.take_loopback() {
                let own_address = self.core.settings.address.internal.clone();
                self.receive(&own_address, message);
            } else if let Some(effect) = self.core.disk.take_ready_effect() {
                self.apply_effect(effect);
            } else {
                break;
            }
        }
        if let Some(output) = self.core.disk.flush(self.core.now_ms) {
            self.core.outbox.push(output);
        }
        self.core.outbox.take_outputs()
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Started => self.is_started = true,
            Effect::Send { to, message } => self.core.send(to, message),
            Effect::BeginTerm { epoch } => self.begin_term(epoch),
            Effect::Acknowledge => send_synced(&mut self.core),
            Effect::RecordSynced { epoch } => self.core.synced_record_epoch = epoch,
        }
    }
}

/// Message handling.
impl Coordinator {
    fn receive(&mut self, sender: &Arc<str>, message: Message) {
        if let Err(error) = message.validate() {
            log::warn!("dropped invalid message from {sender}: {error}");
            return;
        }
        self.dispatch(sender, message);
    }

    fn dispatch(&mut self, sender: &Arc<str>, message: Message) {
        match message {
            Message::Hello { member, epoch } => self.on_hello(sender, member, epoch),
            Message::Decided { record } => self.adopt_record(&record),
            Message::Prepare { base, number } => self.on_prepare(sender, &base, number),
            Message::Promised {
                from,
                instance,
                number,
                accepted,
                position,
            } => self.on_promised(from, instance, number, Promise { accepted, position }),
            Message::Accept {
                base,
                number,
                value,
            } => self.on_accept(sender, &base, number, value),
            Message::Accepted {
                from,
                instance,
                number,
            } => self.on_accepted(from, instance, number),
            Message::Rejected { instance, promise } => {
                self.proposer.on_rejected(&mut self.core, instance, promise);
            }
            Message::Keepalive { record, sent_ms } => self.on_keepalive(sender, &record, sent_ms),
            Message::TermEnded { from, term } => self.on_term_ended(from, term),
            Message::Append {
                from,
                epoch,
                term,
                batch,
            } => {
                let sender = Sender {
                    address: sender,
                    id: from,
                    epoch,
                    term,
                };
                self.replica.on_append(&mut self.core, &sender, batch);
            }
            Message::SnapshotPart(part) => {
                self.replica.on_snapshot_part(&mut self.core, sender, part);
            }
            Message::KeepaliveAck(ack) => {
                self.with_term(|leader, core| leader.on_keepalive_ack(core, &ack));
            }
            Message::Synced {
                from,
                term,
                position,
            } => self.with_term(|leader, core| leader.on_synced(core, from, term, position)),
            Message::SnapshotAck {
                from,
                snapshot,
                next,
            } => self.with_term(|leader, core| leader.on_snapshot_ack(core, from, snapshot, next)),
        }
    }

    /// Passes a message to the term of this member; drops it if this member is not the primary.
    fn with_term(&mut self, handle: impl FnOnce(&mut LeaderTerm, &mut CoordinatorCore)) {
        if let Some(term) = &mut self.term {
            handle(term, &mut self.core);
        }
    }

    /// Sends the newest record to the sender if the sender knows an older one, and records the join request
    /// of a machine that is not a member.
    fn on_hello(&mut self, sender: &Arc<str>, member: Member, epoch: u64) {
        let newest = self.core.record().epoch;
        if epoch > newest {
            return self.core.send_hello(sender.clone());
        }
        if epoch < newest {
            self.core.send_newest_record(sender);
        }
        let known = self.core.record().member(member.id);
        let is_member = known.is_some_and(|known| known.address == member.address);
        let is_self = member.id == self.core.id()
            || member.address.internal == self.core.settings.address.internal;
        if self.term.is_some() && !is_member && !is_self {
            self.join_requests.record(member, self.core.now_ms);
        }
    }

    fn on_prepare(&mut self, sender: &Arc<str>, base: &Arc<EpochRecord>, number: ProposalNumber) {
        let instance = base.epoch + 1;
        if !self.may_vote_on_successor_of(sender, base) {
            return;
        }
        let vote = self.core.witness.prepare(number);
        let message = Message::Promised {
            from: self.core.id(),
            instance,
            number,
            accepted: self.core.witness.accepted.clone(),
            position: self.core.state.applied(),
        };
        self.send_vote_response(sender, vote, message);
    }

    fn on_accept(
        &mut self,
        sender: &Arc<str>,
        base: &Arc<EpochRecord>,
        number: ProposalNumber,
        value: Arc<EpochRecord>,
    ) {
        let instance = base.epoch + 1;
        if !self.may_vote_on_successor_of(sender, base) || value.epoch != instance {
            return;
        }
        let vote = self.core.witness.accept(number, value);
        let message = Message::Accepted {
            from: self.core.id(),
            instance,
            number,
        };
        self.send_vote_response(sender, vote, message);
    }

    /// Whether this member may vote on the record after `base`.
    fn may_vote_on_successor_of(&mut self, sender: &Arc<str>, base: &Arc<EpochRecord>) -> bool {
        self.adopt_record(base);
        if self.core.record().epoch > base.epoch {
            self.core.send_newest_record(sender);
            return false;
        }
        self.core.record().is_member(self.core.id())
    }

    /// Sends the response to a vote when the state that it reports is synced. A rejection is sent
    /// immediately, as it depends on no change.
    fn send_vote_response(&mut self, proposer: &Arc<str>, vote: Vote, message: Message) {
        if vote == Vote::Rejected {
            let rejection = Message::Rejected {
                instance: self.core.record().epoch + 1,
                promise: self.core.witness.promise,
            };
            return self.core.send(proposer.clone(), rejection);
        }
        if vote == Vote::Granted {
            self.core.disk.put_witness(&self.core.witness);
        }
        let to = proposer.clone();
        self.core.disk.queue_effect(Effect::Send { to, message });
    }

    fn on_promised(
        &mut self,
        from: DiskId,
        instance: u64,
        number: ProposalNumber,
        promise: Promise,
    ) {
        let is_counted = self
            .proposer
            .on_promised(&self.core, from, instance, number, promise);
        if is_counted {
            self.choose_value();
        }
    }

    fn on_accepted(&mut self, from: DiskId, instance: u64, number: ProposalNumber) {
        let decided = self
            .proposer
            .on_accepted(&mut self.core, from, instance, number);
        if let Some(record) = decided {
            self.announce_record(&record);
        }
    }

    fn on_keepalive(&mut self, sender: &Arc<str>, record: &Arc<EpochRecord>, sent_ms: Millis) {
        self.adopt_record(record);
        if record.epoch < self.core.record().epoch {
            return self.core.send_newest_record(sender);
        }
        if self.core.is_named_primary() || self.core.witness.candidate {
            return;
        }
        self.proposer.abandon_election_without_value();
        self.election.on_keepalive_acknowledged(self.core.now_ms);
        let ack = self.core.keepalive_ack(record.term, sent_ms);
        self.core.send(sender.clone(), ack);
    }

    fn on_term_ended(&mut self, from: DiskId, term: u64) {
        let record = self.core.record();
        let is_primary = record.primary == Some(from) && from != self.core.id();
        if is_primary && record.term == term {
            self.election.on_term_ended(term);
        }
    }
}

/// Records and terms.
impl Coordinator {
    /// Adopts a decided record if it is newer than the newest one known.
    fn adopt_record(&mut self, record: &Arc<EpochRecord>) {
        let names_other_primary = record.primary != Some(self.core.id());
        let is_ignored =
            cfg!(feature = "mutant-deposed") && self.term.is_some() && names_other_primary;
        if record.epoch <= self.core.record().epoch || is_ignored {
            return;
        }
        log_record_change(self.core.record(), record);
        self.core.witness.adopt(record.clone());
        self.core.disk.put_witness(&self.core.witness);
        self.core.disk.queue_effect(Effect::RecordSynced {
            epoch: record.epoch,
        });
        self.proposer.on_record_decided();
        self.election.on_record_adopted(self.core.now_ms);
        self.replica.on_record_adopted();
        self.elected_epoch = None;
        if self.continues_term(record) {
            return self.continue_term();
        }
        if self.term.take().is_some() {
            self.core.outbox.push(Output::Deposed);
        }
        self.election.on_primary_contact(self.core.now_ms);
        if self.core.is_named_primary() && record.term == record.epoch {
            self.elected_epoch = Some(record.epoch);
            self.core.disk.queue_effect(Effect::BeginTerm {
                epoch: record.epoch,
            });
        }
    }

    /// Whether the record continues the current term of this member.
    fn continues_term(&self, record: &EpochRecord) -> bool {
        let is_same_term = self
            .term
            .as_ref()
            .is_some_and(|term| term.number == record.term);
        is_same_term && record.primary == Some(self.core.id())
    }

    fn continue_term(&mut self) {
        if let Some(term) = &mut self.term {
            term.on_record_decided(&self.core);
            term.update_committed(&mut self.core);
            term.send_keepalives(&mut self.core);
        }
    }

    /// Starts the term of this member after the record that elected it is synced, unless a newer record was
    /// adopted since.
    fn begin_term(&mut self, epoch: u64) {
        if self.elected_epoch != Some(epoch) {
            return;
        }
        self.elected_epoch = None;
        self.replica.on_term_begun();
        let first_sequence = self.core.state.applied().sequence + 1;
        let mut term = LeaderTerm::new(epoch, first_sequence, self.core.now_ms);
        self.core.appends.committed = self.core.appends.appended;
        term.update_peers(&self.core);
        term.create_first_batch(&mut self.core);
        self.core.outbox.push(Output::Elected { epoch });
        term.send_keepalives(&mut self.core);
        self.term = Some(term);
    }

    /// Ends the term without a successor and announces it, so that the other members do not wait for the
    /// lease to expire.
    fn step_down(&mut self) {
        log::info!("no acknowledgements from a quorum: stepping down");
        self.term = None;
        self.proposer.abandon();
        self.core.outbox.push(Output::Deposed);
        self.announce_ended_term();
    }

    /// Announces that the term has ended, if the newest record names this member as the primary although it
    /// has restarted or stepped down since. The other members then do not wait for the lease to expire.
    fn announce_ended_term(&mut self) {
        let is_primary = self.term.is_some() || self.elected_epoch.is_some();
        if !self.core.is_named_primary() || is_primary {
            return;
        }
        let message = Message::TermEnded {
            from: self.core.id(),
            term: self.core.record().term,
        };
        self.core.send_to_members(&message);
    }

    /// Chooses the value of the current proposal if there are enough promises, and starts its second phase.
    fn choose_value(&mut self) {
        let value = match self.proposer.choose_value(&self.core) {
            None => return,
            Some(ValueChoice::Record(record)) => Some(record),
            Some(ValueChoice::Reconfiguration) => self.desired_record().map(Arc::new),
        };
        let Some(value) = value else {
            return self.proposer.abandon();
        };
        if let Some(term) = &mut self.term {
            term.on_record_proposed(&value, self.core.id());
        }
        self.proposer.start_accept_phase(&mut self.core, value);
    }

    fn desired_record(&self) -> Option<EpochRecord> {
        let term = self.term.as_ref()?;
        let reconfiguration = Reconfiguration {
            core: &self.core,
            term,
            join_requests: &self.join_requests,
        };
        reconfiguration.desired_record()
    }

    /// Chooses the learners, and proposes a new record if the configuration should change.
    fn reconfigure(&mut self) {
        let now_ms = self.core.now_ms;
        self.join_requests.expire(now_ms);
        let Some(term) = &mut self.term else { return };
        let reconfiguration = Reconfiguration {
            core: &self.core,
            term,
            join_requests: &self.join_requests,
        };
        let learners = reconfiguration.desired_learners();
        term.set_learners(&learners, now_ms);
        let is_due = now_ms >= term.next_reconfiguration_ms;
        if !is_due || !self.proposer.is_idle() || self.proposer.is_paused(now_ms) {
            return;
        }
        term.next_reconfiguration_ms = now_ms + RECONFIGURATION_INTERVAL_MS;
        let is_undecided = !term.proposed_replicas.is_empty();
        if is_undecided || self.desired_record().is_some() {
            self.proposer
                .propose(&mut self.core, Purpose::Reconfiguration);
        }
    }

    /// Announces a record that this member's proposal decided: to its members immediately, and to the
    /// machines that it removes when enough members have it on disk.
    fn announce_record(&mut self, record: &Arc<EpochRecord>) {
        let former = self.core.record().clone();
        self.adopt_record(record);
        let own_id = self.core.id();
        for member in record.members.iter().filter(|member| member.id != own_id) {
            let address = member.address.internal.clone();
            let record = record.clone();
            self.core.send(address, Message::Decided { record });
        }
        let removed = former
            .members
            .iter()
            .filter(|member| !record.is_member(member.id));
        let removed = removed.map(|member| RemovedMember {
            epoch: record.epoch,
            address: member.address.internal.clone(),
        });
        if let Some(term) = &mut self.term {
            term.removed_members.extend(removed);
            term.notify_removed_members(&mut self.core);
        } else {
            for member in removed {
                self.core.send_newest_record(&member.address);
            }
        }
    }
}

fn log_record_change(old: &EpochRecord, new: &EpochRecord) {
    let epoch = new.epoch;
    let primary = new
        .primary
        .map_or_else(|| "none".to_owned(), |id| id.to_string());
    let replicas: Vec<String> = new.replicas.iter().map(DiskId::to_string).collect();
    log::info!(
        "epoch {epoch}: primary {primary}, replicas {}",
        replicas.join(" ")
    );
    log_member_differences(new, old, "added", epoch);
    log_member_differences(old, new, "removed", epoch);
}

/// Logs the members of one record that the other record does not have.
fn log_member_differences(record: &EpochRecord, other: &EpochRecord, change: &str, epoch: u64) {
    let missing = record
        .members
        .iter()
        .filter(|member| !other.is_member(member.id));
    for member in missing {
        let address = &member.address.internal;
        log::info!("epoch {epoch}: member {} at {address} {change}", member.id);
    }
}
