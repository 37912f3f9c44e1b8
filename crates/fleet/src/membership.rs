//! The members of the fleet: SWIM with suspicion and indirect probes (Das and others: SWIM, sections 3 and
//! 4), as implemented by the `foca` crate. This module adds timers that take the current time as an argument,
//! and the rule that the later of two incarnations of a name wins.

use crate::incarnation::{Incarnation, Micros};
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PeriodicParams,
};
use foca::{PostcardCodec, State, Timer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::Arc;
use std::time::Duration;

/// Members that are asked to probe a member that did not answer directly.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// How many times an update is piggybacked on other messages.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(10).unwrap();
/// Maximum length of a membership message in bytes, chosen so that it fits into a datagram.
const MAX_MESSAGE_BYTES: NonZeroUsize = NonZeroUsize::new(1_100).unwrap();
const ONE_MEMBER: NonZeroUsize = NonZeroUsize::new(1).unwrap();
const TWO_MEMBERS: NonZeroUsize = NonZeroUsize::new(2).unwrap();
/// Number of probe periods between the suspicion of a member and its declaration as dead.
const SUSPICION_PERIODS: u32 = 5;
/// How long a member that is down stays known. This member announces itself to such members periodically, so
/// that the two halves of a partitioned fleet find each other again.
const DOWN_RETENTION: Duration = Duration::from_hours(24);

/// A member as known to others: an incarnation and its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's name.
    pub name: Arc<str>,
    /// The number of the incarnation.
    pub number: u64,
    /// The UDP address at which the member receives datagrams.
    pub address: SocketAddr,
    /// How often the member renewed its identity because it was declared dead.
    pub renewals: u32,
}

impl Member {
    /// Creates a member that was never declared dead.
    pub fn new(name: &str, number: u64, address: SocketAddr) -> Member {
        Member {
            name: Arc::from(name),
            number,
            address,
            renewals: 0,
        }
    }

    /// The member's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            name: self.name.clone(),
            number: self.number,
        }
    }
}

impl Identity for Member {
    type Addr = Arc<str>;

    fn renew(&self) -> Option<Member> {
        Some(Member {
            renewals: self.renewals.wrapping_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> Arc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.number, self.renewals) > (other.number, other.renewals)
    }
}

/// A change in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member came up.
    Up(Member),
    /// A member was declared dead.
    Down(Member),
    /// A known member (the first) has a later incarnation or renewal (the second).
    Replaced(Member, Member),
    /// This member learned that it was declared dead, and renewed its identity.
    DeclaredDead,
}

/// The state of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberHealth {
    /// The member answers probes.
    Alive,
    /// The member did not answer, neither directly nor through others.
    Suspect,
    /// The member was declared dead.
    Down,
}

/// A membership message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// The receiver.
    pub to: Member,
    /// The message, opaque to this crate.
    pub bytes: Vec<u8>,
}

/// Messages to send and changes of the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipOutput {
    /// Messages, in the order in which they must be sent.
    pub messages: Vec<MembershipMessage>,
    /// Changes, in the order in which they occurred.
    pub events: Vec<MembershipEvent>,
}

/// The membership of the fleet, as known to one member.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// The due times of the timers, with the timers' numbers.
    deadlines: BinaryHeap<Reverse<(Micros, u64)>>,
    timers: BTreeMap<u64, Timer<Member>>,
    last_timer: u64,
    changes: u64,
}

fn config(probe_period: Duration) -> Config {
    let every = |probe_periods: u32, num_members| {
        Some(PeriodicParams {
            frequency: probe_period * probe_periods,
            num_members,
        })
    };
    Config {
        probe_period,
        probe_rtt: probe_period * 2 / 5,
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: MAX_TRANSMISSIONS,
        suspect_to_down_after: probe_period * SUSPICION_PERIODS,
        remove_down_after: Some(DOWN_RETENTION),
        max_packet_size: MAX_MESSAGE_BYTES,
        notify_down_members: true,
        periodic_announce: every(20, ONE_MEMBER),
        periodic_announce_to_down_members: every(3, TWO_MEMBERS),
        periodic_gossip: every(1, TWO_MEMBERS),
    }
}

impl Membership {
    /// Creates a member that knows no other. One member is probed every `probe_period`, and declared dead
    /// after five more without an answer.
    pub fn new(local: Member, probe_period: Micros, seed: u64) -> Membership {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let config = config(Duration::from_micros(probe_period));
        Membership {
            foca: Foca::new(local, config, rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            deadlines: BinaryHeap::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            changes: 0,
        }
    }

    /// This member, as known to others.
    pub fn local(&self) -> &Member {
        self.foca.identity()
    }

    /// Handles another member's message. A message that cannot be used is ignored.
    pub fn on_message(&mut self, bytes: &[u8]) {
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
    }

    /// Announces this member to another member.
    pub fn announce(&mut self, other: Member) {
        if other.name != self.foca.identity().name {
            let _ = self.foca.announce(other, &mut self.runtime);
        }
    }

    /// Announces that this member leaves, so that the others need not detect it by probes.
    pub fn leave(&mut self) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
    }

    /// Runs the timers that are due at the current time.
    pub fn tick(&mut self, now: Micros) {
        while let Some(Reverse((due, number))) = self.deadlines.peek().copied() {
            if due > now {
                break;
            }
            self.deadlines.pop();
            if let Some(timer) = self.timers.remove(&number) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
                self.start_timers(now);
            }
        }
    }

    fn start_timers(&mut self, now: Micros) {
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            self.last_timer += 1;
            #[expect(clippy::cast_possible_truncation, reason = "delays are days at most")]
            let delay = delay.as_micros() as Micros;
            self.deadlines.push(Reverse((now + delay, self.last_timer)));
            self.timers.insert(self.last_timer, timer);
        }
    }

    /// Takes the messages and the changes that have accumulated since the previous call.
    pub fn take_output(&mut self, now: Micros) -> MembershipOutput {
        self.start_timers(now);
        let mut output = MembershipOutput::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            output.messages.push(MembershipMessage {
                to,
                bytes: bytes.to_vec(),
            });
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.changes += u64::from(matches!(
                notification,
                OwnedNotification::MemberUp(_) | OwnedNotification::MemberDown(_)
            ));
            output.events.extend(event(notification));
        }
        output
    }

    /// The latest time for the next call of [`Membership::tick`]; `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.peek().map(|Reverse((due, _))| *due)
    }

    /// Other members that are up, including suspected ones.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// All other members that are known, including those that are down.
    pub fn all(&self) -> impl Iterator<Item = (&Member, MemberHealth)> {
        self.foca
            .iter_membership_state()
            .map(|member| (member.id(), health(member.state())))
    }

    /// Number of times that members came up or went down.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

fn health(state: State) -> MemberHealth {
    match state {
        State::Alive => MemberHealth::Alive,
        State::Suspect => MemberHealth::Suspect,
        State::Down => MemberHealth::Down,
    }
}

fn event(notification: OwnedNotification<Member>) -> Option<MembershipEvent> {
    match notification {
        OwnedNotification::MemberUp(member) => Some(MembershipEvent::Up(member)),
        OwnedNotification::MemberDown(member) => Some(MembershipEvent::Down(member)),
        OwnedNotification::Rename(old, new) => Some(MembershipEvent::Replaced(old, new)),
        OwnedNotification::Rejoin(_) | OwnedNotification::Defunct => {
            Some(MembershipEvent::DeclaredDead)
        }
        OwnedNotification::Active | OwnedNotification::Idle => None,
    }
}
