//! One member of a fleet: membership, usage counters, quota leases and outlier detection together. It takes
//! the current time and received datagrams as arguments and returns the datagrams to send.
//!
//! In each gossip round the member sends a digest to two random members, and answers a received digest with
//! the deltas that its sender lacks. The member's own usage counters are sent immediately to its successors
//! in the ring of names, one more than the required copies; the receivers acknowledge the version that they
//! hold. A member whose process was stopped for longer than half a lease blocks all acquisitions until it
//! receives a datagram from another member, or until one lease has passed.

use crate::allowance::QuotaAllowance;
use crate::datagram::{Datagram, DatagramBody, DatagramCodec, DatagramError};
use crate::incarnation::{Incarnation, Micros};
use crate::membership::{Member, Membership, MembershipEvent};
use crate::outbox::{OutboundDatagram, Outbox};
use crate::outlier::OutlierDetector;
use crate::quota::{OutboundRequest, QuotaLeases};
use crate::replication::UsageReplication;
use crate::settings::FleetSettings;
use crate::status::{FleetStatus, MemberStatus, QuotaStatus};
use crate::usage::{UsageKey, UsageValues};
use crate::usage_counters::{Delta, UsageDigest};
use crate::usage_totals::UsageTotals;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The largest accepted lead of another member's Unix time over the local one.
const MAX_CLOCK_AHEAD: Micros = 24 * 3_600 * 1_000_000;
/// The shortest time between two probes of the membership protocol.
const MIN_PROBE_PERIOD: Micros = 100_000;
/// Gossip intervals between two probes of the membership protocol.
const GOSSIP_INTERVALS_PER_PROBE: u64 = 5;
/// Members that receive a digest in each round.
const DIGEST_RECEIVERS: usize = 2;
/// Maximum number of observations sent along with a digest.
const OBSERVATIONS_PER_MESSAGE: usize = 6;
/// A member that knows other members sends a hello to a missing join address once in this many rounds.
const HELLO_INTERVAL_ROUNDS: u64 = 4;
/// Rounds between two searches for incarnations to compact.
const COMPACTION_INTERVAL_ROUNDS: u64 = 10;
/// Combined with the seed (exclusive or) so that gossip and the membership protocol draw different numbers.
const GOSSIP_SEED: u64 = 0x5eed;

/// One member of a fleet. See the module's documentation.
pub struct FleetNode {
    settings: FleetSettings,
    codec: DatagramCodec,
    membership: Membership,
    usage: UsageReplication,
    /// Observations of workers, by this member and by others.
    pub outliers: OutlierDetector,
    quota_leases: QuotaLeases<Arc<QuotaAllowance>>,
    /// By quota index, the number of units that the data path would use if it had them.
    wanted_units: Vec<u64>,
    outbox: Outbox,
    rejected_datagrams: BTreeMap<DatagramError, u64>,
    rng: Pcg64Mcg,
    next_gossip: Micros,
    gossip_rounds: u64,
    last_tick: Micros,
    /// Since when this member has been stale: its process was stopped, and since then it has received no
    /// datagram and one lease has not passed.
    stale_since: Option<Micros>,
    wall_time: Micros,
    declared_dead: u64,
    replaced: bool,
    received_datagrams: u64,
}

impl FleetNode {
    /// Starts an incarnation that knows no other members, with one allowance per quota. `wall_time` is Unix
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
            usage: UsageReplication::new(&settings),
            outliers: OutlierDetector::new(settings.local.clone()),
            wanted_units: vec![0; terms.quotas.len()],
            quota_leases: QuotaLeases::new(settings.local.clone(), terms, allowances, now),
            outbox: Outbox::new(codec.clone()),
            codec,
            rejected_datagrams: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ GOSSIP_SEED),
            next_gossip: now,
            gossip_rounds: 0,
            last_tick: now,
            stale_since: None,
            wall_time,
            declared_dead: 0,
            replaced: false,
            received_datagrams: 0,
            settings,
        }
    }

    /// The usage period that contains a point of Unix time.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "periods are hours at least"
    )]
    pub fn period(&self, wall_time: Micros) -> u32 {
        (wall_time / self.settings.period) as u32
    }

    /// Increments the member's own usage counters; returns the version that includes the increment.
    pub fn increment(&mut self, key: UsageKey, values: &UsageValues) -> u64 {
        self.usage.increment(key, values)
    }

    /// Handles a received datagram. `wall_time` is Unix time.
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

    /// Rejects a datagram from a stale incarnation or from a member whose clock is too far ahead.
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
        if !self.usage.on_datagram(now, sender) {
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
                self.usage.on_acknowledged(&sender.name, version);
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

    /// Answers a digest with the deltas that its sender lacks, and with a digest of the same interval if one
    /// is requested.
    fn on_usage_digest(&mut self, sender: &Member, digest: UsageDigest) {
        let answer = self.usage.on_digest(&sender.name, digest);
        self.send_deltas(sender, answer.deltas);
        if let Some(reply) = answer.reply {
            self.send(sender, DatagramBody::UsageDigest(reply));
        }
    }

    /// Merges deltas, and acknowledges those of the sender's own counters.
    fn on_usage_deltas(&mut self, sender: &Member, deltas: &[Delta]) {
        let local = &self.settings.local;
        self.replaced |= deltas
            .iter()
            .any(|delta| is_from_later_incarnation(delta, local));
        let newest_period = self.period(self.wall_time) + 1;
        let acknowledged = self
            .usage
            .on_deltas(&sender.incarnation(), deltas, newest_period);
        if let Some(version) = acknowledged {
            self.send(sender, DatagramBody::UsageAcknowledged(version));
        }
    }

    /// Advances the member to the current time; `wall_time` is Unix time.
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

    /// Marks the member stale after a pause: the others may have declared it dead, so it stays stale until it
    /// receives a datagram. A member that receives none continues alone after one lease, with its own units.
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

    /// Sends the messages of the membership protocol, and handles its events.
    fn process_membership(&mut self, now: Micros) {
        let output = self.membership.take_output(now);
        for message in output.messages {
            self.send(&message.to, DatagramBody::Membership(message.bytes));
        }
        for event in output.events {
            match event {
                MembershipEvent::DeclaredDead => self.declared_dead += 1,
                MembershipEvent::Up(member) | MembershipEvent::Replaced(_, member) => {
                    self.usage.on_member_up(now, &member);
                }
                MembershipEvent::Down(_) => {}
            }
        }
    }

    fn run_gossip_round(&mut self, now: Micros) {
        self.gossip_rounds += 1;
        let alive: Vec<Member> = self.membership.alive().cloned().collect();
        for receiver in alive.iter().sample(&mut self.rng, DIGEST_RECEIVERS) {
            let digest = self.usage.next_digest();
            self.send(receiver, DatagramBody::UsageDigest(digest));
            self.send_observations(now, receiver);
        }
        self.send_hello_to_missing_address(&alive);
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
            self.usage.compact(now);
        }
        self.send_own_usage(now);
    }

    fn send_observations(&mut self, now: Micros, receiver: &Member) {
        let observations = self
            .outliers
            .observations_to_share(now, OBSERVATIONS_PER_MESSAGE);
        if !observations.is_empty() {
            self.send(receiver, DatagramBody::Observations(observations));
        }
    }

    /// Sends a hello to one join address at which no member is known.
    fn send_hello_to_missing_address(&mut self, alive: &[Member]) {
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

    /// Estimates how many units of a quota the data path would use. Denied acquisitions raise the estimate,
    /// by at most half of the held units plus 4 at a time; without any it falls towards the units in use by a
    /// tenth at a time.
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

    /// Sends the member's own usage counters to those of its ring successors that lack any.
    pub fn send_own_usage(&mut self, now: Micros) {
        for outbound in self.usage.own_deltas_to_send(now, &self.membership) {
            self.send_deltas(&outbound.to, outbound.deltas);
        }
    }

    /// The version of the own usage counters that the required number of other members hold, not counting
    /// members declared dead.
    pub fn replicated_version(&self) -> u64 {
        self.usage.replicated_version(&self.membership)
    }

    fn send_deltas(&mut self, to: &Member, deltas: Vec<Delta>) {
        let sender = self.membership.local();
        self.outbox.send_deltas(sender, to.address, deltas);
    }

    fn send(&mut self, to: &Member, body: DatagramBody) {
        let sender = self.membership.local();
        self.outbox.send(sender, to.address, body);
    }

    /// Takes the datagrams to send, in the order in which they were queued.
    pub fn take_outbound(&mut self) -> Vec<OutboundDatagram> {
        self.outbox.take()
    }

    /// Treats a member as silent for longer than [`FleetSettings::forget_after`], so that it no longer delays
    /// compaction.
    pub fn forget_member(&mut self, name: &str) {
        self.usage.forget_member(name);
    }

    /// Prepares for the end of this incarnation: its counters are replicated to another member even if no
    /// copies are required.
    pub fn start_handover(&mut self) {
        self.usage.start_handover();
    }

    /// Whether enough other members hold all own counters, or no other member is alive.
    pub fn handover_complete(&self) -> bool {
        self.usage.handover_complete(&self.membership)
    }

    /// Leaves the fleet; queues the messages that announce it.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave();
        self.process_membership(now);
    }

    /// The latest time for the next call of [`FleetNode::tick`].
    pub fn next_deadline(&self) -> Micros {
        self.membership
            .next_deadline()
            .map_or(self.next_gossip, |due| due.min(self.next_gossip))
    }

    /// Whether a later incarnation of this name has been seen: this process must not continue.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// The usage totals of the fleet, as held by this member.
    pub fn totals(&self) -> UsageTotals {
        self.usage.counters().totals()
    }

    /// The state of this member, in the form shown to operators.
    pub fn status(&self, now: Micros) -> FleetStatus {
        let counters = self.usage.counters();
        let size = counters.size();
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
            digest: counters.totals().digest,
            incarnations: size.incarnations,
            rows: size.rows,
            rejected_late: counters.rejected_late(),
            observations: self.outliers.len(),
            received_datagrams: self.received_datagrams,
            rejected_datagrams,
            sent_bytes: self.outbox.sent_bytes(),
            sent_datagrams: self.outbox.sent_datagrams(),
        }
    }

    fn member_statuses(&self, now: Micros) -> Vec<MemberStatus> {
        let own_version = self.usage.counters().own_version();
        let mut members = Vec::new();
        for (member, health) in self.membership.all() {
            let peer = self.usage.peer(&member.name);
            let last_received_at = peer
                .map(|peer| peer.last_received_at)
                .filter(|time| *time > 0);
            let acknowledged = peer.map_or(0, |peer| peer.acknowledged_version);
            members.push(MemberStatus {
                name: member.name.to_string(),
                incarnation: member.number,
                health,
                silent_ms: last_received_at.map(|time| now.saturating_sub(time) / 1_000),
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

/// Whether a delta belongs to a later incarnation of the local name.
fn is_from_later_incarnation(delta: &Delta, local: &Incarnation) -> bool {
    match delta {
        Delta::Incarnation { incarnation, .. } => {
            incarnation.name == local.name && incarnation.number > local.number
        }
        Delta::Base { .. } => false,
    }
}
