//! The state machine of one core machine: its inputs, its clock and its answers.

use crate::bootstrap::first_witness;
use crate::copy::IncomingCopy;
use crate::disk::{DiskQueue, Effect};
use crate::events::{Input, Output};
use crate::message::{Batch, Message};
use crate::peer::Acknowledged;
use crate::proposal::{Promise, Proposal};
use crate::recent::Recent;
use crate::reign::Reign;
use crate::times::{HELD_UP_MS, WAKE_MS};
use crate::types::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// A machine that wants to be let in, and when it last said so.
#[derive(Clone, Debug)]
pub(crate) struct Joiner {
    pub member: Member,
    pub heard: Millis,
}

/// Epochs, leases and replication of one core machine.
#[derive(Clone, Debug)]
pub struct Coordinator {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) random: Pcg64Mcg,
    /// Time of the present input.
    pub(crate) now: Millis,
    last_tick: Millis,
    /// The count of starts is synced: the machine may speak.
    started: bool,
    pub(crate) disk: DiskQueue,
    pub(crate) witness: WitnessState,
    /// Epoch of the newest record that is synced.
    pub(crate) recorded: u64,
    /// The state in memory and its position; the disk follows.
    pub(crate) state: StateMap,
    pub(crate) applied: LogPosition,
    pub(crate) synced: LogPosition,
    pub(crate) recent: Recent,
    pub(crate) incoming: Option<IncomingCopy>,
    /// Batches that came too early, by the position that they follow.
    pub(crate) early: BTreeMap<LogPosition, Batch>,
    /// When this machine last promised not to stand for election.
    pub(crate) promised_at: Millis,
    /// When the primary was last heard of.
    pub(crate) primary_heard: Option<Millis>,
    pub(crate) vacant_reign: Option<u64>,
    pub(crate) stand_at: Option<Millis>,
    pub(crate) quiet_until: Millis,
    pub(crate) highest_round: u64,
    /// RejectedChanges of proposals of the present instance, one after another.
    pub(crate) refusals: u32,
    pub(crate) proposal: Option<Proposal>,
    /// Epoch of a record that names this machine primary and is being synced.
    pub(crate) opening: Option<u64>,
    pub(crate) reign: Option<Reign>,
    pub(crate) joiners: BTreeMap<DiskId, Joiner>,
    pub(crate) leaving: Option<Millis>,
    pub(crate) appended: u64,
    pub(crate) committed: u64,
    pub(crate) next_hello: Millis,
    loopback: VecDeque<Message>,
    pub(crate) out: Vec<Output>,
}

impl Coordinator {
    /// Starts from what is on disk. Nothing is said before this start is counted there.
    pub fn new(settings: CoordinatorSettings, image: DiskImage, now: Millis) -> Coordinator {
        let mut random = Pcg64Mcg::seed_from_u64(settings.random_seed);
        let mut witness = image
            .witness
            .unwrap_or_else(|| first_witness(&settings, &mut random));
        witness.starts += 1;
        let recorded = witness.decided.epoch;
        let mut disk = DiskQueue::default();
        disk.put_witness(&witness);
        disk.then(Effect::Started);
        Coordinator {
            settings,
            random,
            now,
            last_tick: now,
            started: false,
            disk,
            witness,
            recorded,
            state: image.state,
            applied: image.position,
            synced: image.position,
            recent: Recent::default(),
            incoming: None,
            early: BTreeMap::new(),
            promised_at: now,
            primary_heard: None,
            vacant_reign: None,
            stand_at: None,
            quiet_until: now,
            highest_round: 0,
            refusals: 0,
            proposal: None,
            opening: None,
            reign: None,
            joiners: BTreeMap::new(),
            leaving: None,
            appended: 0,
            committed: 0,
            next_hello: now,
            loopback: VecDeque::new(),
            out: Vec::new(),
        }
    }

    /// Takes an input and says what is to be done.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.set_clock(now);
        match input {
            Input::Received { from, message } if self.started => self.receive(&from, message),
            Input::Received { .. } => {}
            Input::Persisted { ticket } => self.on_persisted(ticket),
            Input::PersistFailed { ticket } => self.disk.failed(now, ticket),
            Input::Leave => self.leave(),
            Input::Tick => self.tick(),
        }
        self.finish()
    }

    /// Appends writes; only while primary, otherwise they are dropped. Returns the append's sequence, which rises
    /// by 1; it is committed when `committed()` has reached it and no [`Output::Deposed`] came in between.
    pub fn append(&mut self, now: Millis, writes: Vec<Write>) -> (u64, Vec<Output>) {
        self.set_clock(now);
        self.appended += 1;
        self.append_to_reign(writes);
        (self.appended, self.finish())
    }

    /// Replaces the seeds, as after a change of the settings file. They say only where to ask: who is a member is
    /// decided by epochs.
    pub fn set_seeds(&mut self, seeds: Vec<CoreAddress>) {
        self.settings.seeds = seeds;
    }

    /// The seeds in force.
    pub fn seeds(&self) -> &[CoreAddress] {
        &self.settings.seeds
    }

    /// Sequence of the newest append.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// Sequence up to which appends are committed.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// The state that a new primary recovers from, with all that was appended; O(1).
    pub fn state(&self) -> StateMap {
        self.state.clone()
    }

    /// The newest epoch known.
    pub fn epoch(&self) -> u64 {
        self.witness.decided.epoch
    }

    fn set_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let gap = self.now - self.last_tick;
        if gap > HELD_UP_MS {
            self.held_up(gap);
            self.last_tick = self.now;
        }
    }

    /// This process stood still. Its lease is over by itself, as that is counted in time; others are not blamed for the gap.
    fn held_up(&mut self, gap: Millis) {
        let now = self.now;
        self.disk.excuse(now);
        if let Some(reign) = &mut self.reign {
            reign
                .peers
                .values_mut()
                .for_each(|peer| peer.excuse(now, gap));
        }
        if gap >= self.settings.lease_ms / 2 {
            log::info!("stood still for {gap} ms");
            self.stand_at = None;
            self.quiet_until = self.quiet_until.max(now + WAKE_MS);
        }
    }

    fn tick(&mut self) {
        self.last_tick = self.now;
        if !self.started {
            return;
        }
        if self.reign.is_some() {
            self.tick_reign();
        } else {
            self.tick_candidate();
        }
        self.tick_proposal();
        self.tick_hello();
    }

    fn leave(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        log::info!("leaving");
        self.leaving = Some(self.now);
        self.say_leaving();
    }

    fn on_persisted(&mut self, ticket: u64) {
        if let Some(position) = self.disk.persisted(self.now, ticket) {
            self.synced = position;
            self.update_committed();
        }
    }

    fn receive(&mut self, from: &Arc<str>, message: Message) {
        if let Err(error) = message.check() {
            log::warn!("message from {from} dropped: {error}");
            return;
        }
        match message {
            Message::Hello { member, epoch } => self.on_hello(from, member, epoch),
            Message::Decided { record } => self.learn(record),
            Message::Prepare { base, ballot } => self.on_prepare(from, base, ballot),
            Message::Promised {
                from,
                instance,
                ballot,
                accepted,
                position,
            } => {
                self.on_promised(from, instance, ballot, Promise { accepted, position });
            }
            Message::Accept {
                base,
                ballot,
                value,
            } => self.on_accept(from, base, ballot, value),
            Message::Accepted {
                from,
                instance,
                ballot,
            } => self.on_accepted(from, instance, ballot),
            Message::Refused { instance, promise } => self.on_refused(instance, promise),
            Message::Keepalive { record, sent } => self.on_keepalive(from, record, sent),
            Message::Alive {
                from,
                reign,
                sent,
                position,
                leaving,
                recorded,
            } => {
                self.on_alive(
                    from,
                    reign,
                    sent,
                    Acknowledged {
                        position,
                        leaving,
                        recorded,
                    },
                );
            }
            Message::Append {
                from: id,
                epoch,
                reign,
                batch,
            } => self.on_append(from, id, epoch, reign, batch),
            Message::Synced {
                from,
                reign,
                position,
            } => self.on_synced(from, reign, position),
            Message::Copy { .. } => self.on_copy(from, message),
            Message::CopyNext { from, copy, next } => self.on_copy_next(from, copy, next),
            Message::Vacant { from, reign } => self.on_vacant(from, reign),
        }
    }

    pub(crate) fn send(&mut self, to: Arc<str>, message: Message) {
        if to == self.settings.address.internal {
            self.loopback.push_back(message);
        } else {
            self.out.push(Output::Send { to, message });
        }
    }

    pub(crate) fn send_to_members(&mut self, message: Message) {
        let (record, me) = (self.witness.decided.clone(), self.witness.id);
        for member in record.members.iter().filter(|member| member.id != me) {
            self.send(member.address.internal.clone(), message.clone());
        }
    }

    /// Carries out what waits no longer, then hands the disk its next change.
    fn finish(&mut self) -> Vec<Output> {
        loop {
            if let Some(message) = self.loopback.pop_front() {
                let me = self.settings.address.internal.clone();
                self.receive(&me, message);
            } else if let Some(effect) = self.disk.ready() {
                self.carry_out(effect);
            } else {
                break;
            }
        }
        self.out.extend(self.disk.flush(self.now));
        std::mem::take(&mut self.out)
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Started => self.started = true,
            Effect::Send { to, message } => self.send(to, message),
            Effect::Open { epoch } => self.open_reign(epoch),
            Effect::Acknowledge => self.acknowledge(),
            Effect::Recorded { epoch } => self.recorded = epoch,
        }
    }
}
