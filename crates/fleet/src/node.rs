//! One member of a fleet: membership, usage counters, quota leases and outlier detection together. It takes the current
//! time and the datagrams that came, and returns those that are to be sent.
//!
//! In each gossip round it sends a digest to two members at random, and answers theirs with what they lack. Own usage
//! counters go at once to the members that succeed it in the ring of names, one more than the required copies; they
//! acknowledge how much they hold. A member whose process was stopped for longer than half a lease lets nothing be
//! acquired until it has heard the others again.

use crate::allowance::QuotaAllowance;
use crate::datagram::{Datagram, DatagramBody, DatagramCodec, DatagramError};
use crate::incarnation::{Incarnation, Micros};
use crate::membership::{Member, Membership, MembershipEvent};
use crate::outbox::{truncate_to_datagram, OutboundDatagram, Outbox};
use crate::outlier::OutlierDetector;
use crate::peers::Peers;
use crate::quota::{OutboundRequest, QuotaLeases, QuotaTerms};
use crate::status::{FleetStatus, MemberStatus, QuotaStatus};
use crate::usage::{UsageKey, UsageValues};
use crate::usage_counters::{Delta, UsageCounters, UsageDigest, VersionSummary};
use crate::usage_totals::UsageTotals;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How far ahead of this one's Unix time another member's may be.
const MAX_CLOCK_AHEAD: Micros = 24 * 3_600 * 1_000_000;
/// The shortest time between two probes of the membership protocol.
const MIN_PROBE_PERIOD: Micros = 100_000;
/// Gossip intervals between two probes of the membership protocol.
const GOSSIP_INTERVALS_PER_PROBE: u64 = 5;
/// Deltas sent in answer to one digest.
const DELTAS_PER_REPLY: usize = 32;
/// Members that are sent a digest in each round.
const DIGEST_RECEIVERS: usize = 2;
/// Summaries in one digest.
const SUMMARIES_PER_DIGEST: usize = 64;
/// So many more summaries than the peer's go with the answer to a digest.
const EXTRA_SUMMARIES: usize = 8;
/// Observations sent along with a digest.
const OBSERVATIONS_PER_MESSAGE: usize = 6;
/// A member that knows others calls a missing address of the settings once in so many rounds.
const HELLO_INTERVAL_ROUNDS: u64 = 4;
/// Gossip intervals after which a superseded incarnation may be compacted.
const COMPACTION_DELAY_ROUNDS: u64 = 100;
/// Rounds between two looks for incarnations to compact.
const COMPACTION_INTERVAL_ROUNDS: u64 = 10;
/// Separates the random numbers of gossip from those of the membership protocol.
const GOSSIP_SEED: u64 = 0x5eed;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its incarnation.
    pub local: Incarnation,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where some of the others are reached.
    pub join_addresses: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: [u8; 32],
    /// The seed of random numbers.
    pub seed: u64,
    /// The mean time between two gossip rounds.
    pub gossip_interval: Micros,
    /// Other members that must hold a usage count before it counts as replicated.
    pub required_copies: usize,
    /// The quotas, and among whom they are divided.
    pub terms: Arc<QuotaTerms>,
    /// A member that was not heard for so long no longer delays the compaction of incarnations that have ended.
    pub forget_after: Micros,
    /// The length of a period of usage.
    pub period: Micros,
}

/// One member of a fleet. See the module's documentation.
pub struct FleetNode {
    settings: FleetSettings,
    codec: DatagramCodec,
    membership: Membership,
    counters: UsageCounters,
    /// Observations of workers.
    pub outliers: OutlierDetector,
    quota_leases: QuotaLeases<Arc<QuotaAllowance>>,
    /// By quota, how many units the data path would have in use.
    wanted_units: Vec<u64>,
    peers: Peers,
    outbox: Outbox,
    rejected_datagrams: BTreeMap<DatagramError, u64>,
    rng: Pcg64Mcg,
    /// The name behind which the next digest begins.
    digest_cursor: Option<Arc<str>>,
    next_gossip: Micros,
    gossip_rounds: u64,
    last_tick: Micros,
    /// Since when this member does not rely on what it holds: it was stopped, and has not heard the others since.
    stale_since: Option<Micros>,
    wall_time: Micros,
    handing_over: bool,
    declared_dead: u64,
    replaced: bool,
    received_datagrams: u64,
}

impl FleetNode {
    /// An incarnation that starts now and knows nothing of others, with an allowance for each quota. `wall_time` is Unix
    /// time.
    pub fn new(
        settings: FleetSettings,
        allowances: Vec<Arc<QuotaAllowance>>,
        now: Micros,
        wall_time: Micros,
    ) -> FleetNode {
        let local = Member {
            name: settings.local.name.clone(),
            number: settings.local.number,
            address: settings.address,
            renewals: 0,
        };
        let probe_period =
            (settings.gossip_interval * GOSSIP_INTERVALS_PER_PROBE).max(MIN_PROBE_PERIOD);
        let codec = DatagramCodec::new(settings.key);
        let terms = settings.terms.clone();
        FleetNode {
            membership: Membership::new(local, probe_period, settings.seed),
            counters: UsageCounters::new(settings.local.clone()),
            outliers: OutlierDetector::new(settings.local.clone()),
            wanted_units: vec![0; terms.quotas.len()],
            quota_leases: QuotaLeases::new(settings.local.clone(), terms, allowances, now),
            peers: Peers::default(),
            outbox: Outbox::new(codec.clone()),
            codec,
            rejected_datagrams: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ GOSSIP_SEED),
            digest_cursor: None,
            next_gossip: now,
            gossip_rounds: 0,
            last_tick: now,
            stale_since: None,
            wall_time,
            handing_over: false,
            declared_dead: 0,
            replaced: false,
            received_datagrams: 0,
            settings,
        }
    }

    /// The period that a moment of Unix time falls into.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "periods are hours at least"
    )]
    pub fn period(&self, wall_time: Micros) -> u32 {
        (wall_time / self.settings.period) as u32
    }

    /// Increments own usage counters; returns the version that includes it.
    pub fn increment(&mut self, key: UsageKey, values: &UsageValues) -> u64 {
        self.counters.increment(key, values)
    }

    /// Takes a datagram. `wall_time` is Unix time.
    pub fn receive(&mut self, now: Micros, wall_time: Micros, bytes: &[u8]) {
        self.wall_time = wall_time;
        let accepted = self
            .codec
            .decode(bytes)
            .and_then(|datagram| self.admit(now, wall_time, datagram));
        match accepted {
            Ok(datagram) => self.on_datagram(now, datagram),
            Err(error) => *self.rejected_datagrams.entry(error).or_default() += 1,
        }
    }

    /// Checks the sender's incarnation.
    fn admit(
        &mut self,
        now: Micros,
        wall_time: Micros,
        datagram: Datagram,
    ) -> Result<Datagram, DatagramError> {
        let sender = &datagram.sender;
        if sender.number > wall_time + MAX_CLOCK_AHEAD {
            return Err(DatagramError::ClockAhead);
        }
        if sender.name == self.settings.local.name {
            self.replaced |= sender.number > self.settings.local.number;
            return Err(DatagramError::StaleIncarnation);
        }
        if !self.peers.on_datagram(now, sender) {
            return Err(DatagramError::StaleIncarnation);
        }
        self.received_datagrams += 1;
        self.stale_since = None;
        Ok(datagram)
    }

    fn on_datagram(&mut self, now: Micros, datagram: Datagram) {
        let sender = datagram.sender;
        match datagram.body {
            DatagramBody::Hello => self.membership.announce(sender),
            DatagramBody::Membership(bytes) => self.membership.on_message(&bytes),
            DatagramBody::UsageDigest(digest) => self.on_usage_digest(&sender, digest),
            DatagramBody::UsageDeltas(deltas) => self.on_usage_deltas(&sender, &deltas),
            DatagramBody::UsageAcknowledged(version) => {
                // No more than there is.
                let version = version.min(self.counters.own_version());
                self.peers.entry(&sender.name).on_acknowledged(version);
            }
            DatagramBody::LeaseRequest(request) => {
                let borrower = sender.incarnation();
                let grant = self.quota_leases.on_lease_request(now, &borrower, &request);
                if let Some(grant) = grant {
                    self.send(&sender, DatagramBody::LeaseGrant(grant));
                }
            }
            DatagramBody::LeaseGrant(grant) => {
                self.quota_leases.on_lease_grant(now, &sender.name, &grant);
            }
            DatagramBody::Observations(observations) => {
                self.outliers.on_observations(now, &observations);
            }
        }
        self.process_membership(now);
    }

    /// Answers a digest with what its sender lacks, and with a digest of the same interval if that is wanted.
    fn on_usage_digest(&mut self, sender: &Member, digest: UsageDigest) {
        let deltas = self
            .counters
            .deltas_for(&sender.name, &digest, DELTAS_PER_REPLY);
        self.send_deltas(sender, deltas);
        if digest.reply_wanted {
            let reply = UsageDigest {
                summaries: self.summaries_within(&digest),
                reply_wanted: false,
                ..digest
            };
            self.send(sender, DatagramBody::UsageDigest(reply));
        }
    }

    /// What this member holds of the names that another's digest covers.
    fn summaries_within(&self, digest: &UsageDigest) -> Vec<VersionSummary> {
        let limit = digest.summaries.len() + EXTRA_SUMMARIES;
        let mut summaries = self.counters.summaries(digest.after.as_ref(), limit);
        summaries.retain(|summary| digest.covers(&summary.name));
        truncate_to_datagram(&mut summaries);
        summaries
    }

    /// Merges deltas, and acknowledges those of the sender's own counters.
    fn on_usage_deltas(&mut self, sender: &Member, deltas: &[Delta]) {
        let newest_period = self.period(self.wall_time) + 1;
        let sender_incarnation = sender.incarnation();
        let mut has_rows_of_sender = false;
        for delta in deltas {
            self.counters.merge(delta, newest_period);
            if let Delta::Incarnation { incarnation, .. } = delta {
                let local = &self.settings.local;
                self.replaced |=
                    incarnation.name == local.name && incarnation.number > local.number;
                has_rows_of_sender |= *incarnation == sender_incarnation;
            }
        }
        if has_rows_of_sender {
            let version = self.counters.version_of(&sender_incarnation);
            self.send(sender, DatagramBody::UsageAcknowledged(version));
        }
    }

    /// Takes the current time; `wall_time` is Unix time.
    pub fn tick(&mut self, now: Micros, wall_time: Micros) {
        self.wall_time = wall_time;
        self.update_staleness(now);
        self.membership.tick(now);
        self.quota_leases.tick(now);
        self.outliers.tick(now);
        if self.stale_since.is_none() {
            let half_lease = self.settings.terms.lease / 2;
            let valid_until = if self.replaced { 0 } else { now + half_lease };
            for allowance in &self.quota_leases.allowances {
                allowance.set_valid_until(valid_until);
            }
        }
        if now >= self.next_gossip {
            let interval = self.settings.gossip_interval;
            let jitter = self.rng.random_range(0..=interval / 2);
            self.next_gossip = now + interval * 3 / 4 + jitter;
            self.run_gossip_round(now);
        }
        self.process_membership(now);
    }

    /// A member that was stopped may be declared dead by the others, so it is stale until it hears them again. One that
    /// hears nobody goes on alone after a lease, with its own units.
    fn update_staleness(&mut self, now: Micros) {
        let lease = self.settings.terms.lease;
        if now.saturating_sub(self.last_tick) > lease / 2 {
            self.stale_since = Some(now);
        }
        self.last_tick = now;
        let is_over = |since: Micros| now.saturating_sub(since) > lease;
        if self.stale_since.is_some_and(is_over) {
            self.stale_since = None;
        }
    }

    /// Sends what the membership protocol has to send, and takes its events.
    fn process_membership(&mut self, now: Micros) {
        let output = self.membership.take_output(now);
        for message in output.messages {
            self.send(&message.to, DatagramBody::Membership(message.bytes));
        }
        for event in output.events {
            match event {
                MembershipEvent::DeclaredDead => self.declared_dead += 1,
                MembershipEvent::Up(member) | MembershipEvent::Replaced(_, member) => {
                    self.peers.on_member_up(now, &member);
                }
                MembershipEvent::Down(_) => {}
            }
        }
    }

    fn run_gossip_round(&mut self, now: Micros) {
        self.gossip_rounds += 1;
        let alive: Vec<Member> = self.membership.alive().cloned().collect();
        for receiver in alive.iter().sample(&mut self.rng, DIGEST_RECEIVERS) {
            self.send_digest(receiver);
            self.send_observations(now, receiver);
        }
        self.call_missing_address(&alive);
        let names: Vec<Arc<str>> = alive.iter().map(|member| member.name.clone()).collect();
        for quota in 0..self.wanted_units.len() {
            self.update_demand(quota);
            let wanted = self.wanted_units[quota];
            let requests = self.quota_leases.request_units(now, quota, wanted, &names);
            self.send_lease_requests(&alive, requests);
        }
        if self
            .gossip_rounds
            .is_multiple_of(COMPACTION_INTERVAL_ROUNDS)
        {
            self.compact_counters(now);
        }
        self.send_own_usage(now);
    }

    /// Sends a digest of the names behind the cursor, which moves on.
    fn send_digest(&mut self, receiver: &Member) {
        let after = self.digest_cursor.take();
        let mut summaries = self
            .counters
            .summaries(after.as_ref(), SUMMARIES_PER_DIGEST);
        let reaches_end = summaries.len() < SUMMARIES_PER_DIGEST;
        let last = truncate_to_datagram(&mut summaries) && reaches_end;
        if !last {
            self.digest_cursor = summaries.last().map(|summary| summary.name.clone());
        }
        let digest = UsageDigest {
            after,
            last,
            summaries,
            reply_wanted: true,
        };
        self.send(receiver, DatagramBody::UsageDigest(digest));
    }

    fn send_observations(&mut self, now: Micros, receiver: &Member) {
        let observations = self
            .outliers
            .observations_to_share(now, OBSERVATIONS_PER_MESSAGE);
        if !observations.is_empty() {
            self.send(receiver, DatagramBody::Observations(observations));
        }
    }

    /// Calls one address of the settings at which no member is known.
    fn call_missing_address(&mut self, alive: &[Member]) {
        let own = self.settings.address;
        let is_known = |address: &SocketAddr| {
            *address == own || alive.iter().any(|member| member.address == *address)
        };
        let missing = self
            .settings
            .join_addresses
            .iter()
            .filter(|address| !is_known(address));
        let Some(address) = missing.choose(&mut self.rng).copied() else {
            return;
        };
        if alive.is_empty() || self.gossip_rounds.is_multiple_of(HELLO_INTERVAL_ROUNDS) {
            let sender = self.membership.local();
            self.outbox.send(sender, address, DatagramBody::Hello);
        }
    }

    /// Estimates how many units of a quota the data path would have in use: more by what was denied, at most by half of
    /// what is held at a time; else what is in use, approached by a tenth at a time.
    fn update_demand(&mut self, quota: usize) {
        let allowance = &self.quota_leases.allowances[quota];
        let held = allowance.held().total();
        let in_use = allowance.in_use();
        let denied = allowance.take_denied();
        let wanted = self.wanted_units[quota];
        self.wanted_units[quota] = if denied == 0 {
            in_use.max(wanted.saturating_sub(wanted.div_ceil(10)))
        } else {
            let more = denied.min(held / 2 + 4);
            (held.max(in_use) + more).min(self.settings.terms.quotas[quota].units)
        };
    }

    fn send_lease_requests(&mut self, alive: &[Member], requests: Vec<OutboundRequest>) {
        for outbound in requests {
            let lender = alive.iter().find(|member| member.name == outbound.lender);
            if let Some(lender) = lender {
                self.send(lender, DatagramBody::LeaseRequest(outbound.request));
            }
        }
    }

    fn compact_counters(&mut self, now: Micros) {
        let others = self.peers.heard_within(now, self.settings.forget_after);
        let delay = self.settings.gossip_interval * COMPACTION_DELAY_ROUNDS;
        self.counters.compact(now, delay, &others);
        self.counters.drop_old_periods();
    }

    /// Sends own usage counters to the members that are to hold them, as far as those lack any.
    pub fn send_own_usage(&mut self, now: Micros) {
        let own_version = self.counters.own_version();
        let needs_copies = self.settings.required_copies > 0 || self.handing_over;
        if own_version == 0 || !needs_copies {
            return;
        }
        let answer_time = self.settings.gossip_interval / 2;
        for member in self.ring_successors() {
            let peer = self.peers.entry(&member.name);
            if let Some(from) = peer.version_to_send_from(now, answer_time, own_version) {
                let deltas = self.counters.own_deltas_since(from);
                self.send_deltas(&member, deltas);
            }
        }
    }

    /// The members that succeed this one in the ring of names, one more than the required copies.
    fn ring_successors(&self) -> Vec<Member> {
        let mut alive: Vec<&Member> = self.membership.alive().collect();
        alive.sort_by(|a, b| a.name.cmp(&b.name));
        let position = alive.partition_point(|member| member.name <= self.settings.local.name);
        let (before, behind) = alive.split_at(position);
        behind
            .iter()
            .chain(before)
            .take(self.settings.required_copies + 1)
            .map(|member| (*member).clone())
            .collect()
    }

    /// The version of the own usage counters that enough other members hold, of those not declared dead.
    pub fn replicated_version(&self) -> u64 {
        let copies = if cfg!(feature = "mutant-copies") {
            0
        } else {
            self.settings.required_copies
        };
        if copies == 0 {
            return self.counters.own_version();
        }
        let is_alive = |name: &Arc<str>| self.membership.alive().any(|m| m.name == *name);
        self.peers.replicated_version(copies, is_alive)
    }

    fn send_deltas(&mut self, to: &Member, deltas: Vec<Delta>) {
        let sender = self.membership.local();
        self.outbox.send_deltas(sender, to.address, deltas);
    }

    fn send(&mut self, to: &Member, body: DatagramBody) {
        let sender = self.membership.local();
        self.outbox.send(sender, to.address, body);
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_outbound(&mut self) -> Vec<OutboundDatagram> {
        self.outbox.take()
    }

    /// Takes a member for one that was not heard for [`FleetSettings::forget_after`].
    pub fn forget_member(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// This incarnation is about to end: its counters go to another member, whether copies are required or not.
    pub fn start_handover(&mut self) {
        self.handing_over = true;
    }

    /// Whether enough other members hold all own counters, or there is none that could.
    pub fn handover_complete(&self) -> bool {
        let own_version = self.counters.own_version();
        if own_version == 0 {
            return true;
        }
        let mut alive = 0;
        let mut holders = 0;
        for member in self.membership.alive() {
            alive += 1;
            let peer = self.peers.get(&member.name);
            let holds_all = peer.is_some_and(|peer| peer.acknowledged_version >= own_version);
            holders += usize::from(holds_all);
        }
        alive == 0 || holders >= self.settings.required_copies.max(1)
    }

    /// Leaves the fleet.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave();
        self.process_membership(now);
    }

    /// When [`FleetNode::tick`] is to be called at the latest.
    pub fn next_deadline(&self) -> Micros {
        self.membership
            .next_deadline()
            .map_or(self.next_gossip, |due| due.min(self.next_gossip))
    }

    /// Whether a later incarnation of this name is there: this process is not to go on.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// The usage totals of the fleet, as this member has them.
    pub fn totals(&self) -> UsageTotals {
        self.counters.totals()
    }

    /// The state of this member, for operators.
    pub fn status(&self, now: Micros) -> FleetStatus {
        let size = self.counters.size();
        let mut rejected_datagrams: BTreeMap<String, u64> = BTreeMap::new();
        for (error, count) in &self.rejected_datagrams {
            *rejected_datagrams.entry(error.to_string()).or_default() += count;
        }
        FleetStatus {
            name: self.settings.local.name.to_string(),
            incarnation: self.settings.local.number,
            replaced: self.replaced,
            stale: self.stale_since.is_some(),
            declared_dead: self.declared_dead,
            membership_changes: self.membership.changes(),
            members: self.member_statuses(now),
            quotas: self.quota_statuses(),
            share_received: self.quota_leases.share_received(),
            digest: self.counters.totals().digest,
            incarnations: size.incarnations,
            rows: size.rows,
            rejected_late: self.counters.rejected_late(),
            observations: self.outliers.len(),
            received_datagrams: self.received_datagrams,
            rejected_datagrams,
            sent_bytes: self.outbox.sent_bytes(),
            sent_datagrams: self.outbox.sent_datagrams(),
        }
    }

    fn member_statuses(&self, now: Micros) -> Vec<MemberStatus> {
        let own_version = self.counters.own_version();
        let mut members = Vec::new();
        for (member, health) in self.membership.all() {
            let peer = self.peers.get(&member.name);
            let last_heard = peer.map(|peer| peer.last_heard).filter(|time| *time > 0);
            let acknowledged = peer.map_or(0, |peer| peer.acknowledged_version);
            members.push(MemberStatus {
                name: member.name.to_string(),
                incarnation: member.number,
                health,
                silent_ms: last_heard.map(|time| now.saturating_sub(time) / 1_000),
                lag: own_version.saturating_sub(acknowledged),
            });
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    fn quota_statuses(&self) -> Vec<QuotaStatus> {
        let quotas = self.quota_leases.terms().quotas.iter();
        quotas
            .zip(&self.quota_leases.allowances)
            .enumerate()
            .map(|(index, (quota, allowance))| {
                let held = allowance.held();
                QuotaStatus {
                    name: quota.name.to_string(),
                    units: quota.units,
                    own: held.own,
                    borrowed: held.borrowed,
                    in_use: allowance.in_use(),
                    lent: self.quota_leases.lent(index),
                    borrowed_from: self.quota_leases.borrowed(index),
                }
            })
            .collect()
    }
}
