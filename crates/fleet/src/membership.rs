//! Which members there are: SWIM with suspicion and indirect probes (Das and others: SWIM, sections 3 and 4), as the
//! `foca` crate has it. This module adds timers that take the current time as an argument, and the rule that of two
//! incarnations of one name the later one counts.

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

/// Members that are asked to probe one that did not answer.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// How often an update is sent along with other messages.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(10).unwrap();
/// The most bytes of one membership message, so that it fits a datagram.
const MAX_MESSAGE_BYTES: NonZeroUsize = NonZeroUsize::new(1_100).unwrap();
const ONE_MEMBER: NonZeroUsize = NonZeroUsize::new(1).unwrap();
const TWO_MEMBERS: NonZeroUsize = NonZeroUsize::new(2).unwrap();
/// Probe periods after which a suspected member is declared dead.
const SUSPICION_PERIODS: u32 = 5;
/// How long a member that is down stays known. Those are announced to now and then, so that two halves of a partitioned
/// fleet find each other again.
const DOWN_RETENTION: Duration = Duration::from_hours(24);

/// A member as others know it: an incarnation, and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// The number of its incarnation.
    pub number: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How often it renewed its identity because it was declared dead.
    pub renewals: u32,
}

impl Member {
    /// A member that was never declared dead.
    pub fn new(name: &str, number: u64, address: SocketAddr) -> Member {
        Member {
            name: Arc::from(name),
            number,
            address,
            renewals: 0,
        }
    }

    /// Its incarnation.
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

/// What became known of the fleet's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member is there.
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
    /// It answers.
    Alive,
    /// It did not answer, neither directly nor through others.
    Suspect,
    /// It was declared dead.
    Down,
}

/// A membership message, and to whom it is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// The receiver.
    pub to: Member,
    /// The message, opaque.
    pub bytes: Vec<u8>,
}

/// What the membership protocol wants done, and what became known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipOutput {
    /// To be sent, in this order.
    pub messages: Vec<MembershipMessage>,
    /// In the order in which they happened.
    pub events: Vec<MembershipEvent>,
}

/// The members that one of them knows.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// When timers are due, with their numbers.
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
    /// A member that knows no other. One member is probed every `probe_period`, and declared dead after five more
    /// without an answer.
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

    /// This member, as others know it.
    pub fn local(&self) -> &Member {
        self.foca.identity()
    }

    /// Takes another member's message. One that cannot be used changes nothing.
    pub fn on_message(&mut self, bytes: &[u8]) {
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
    }

    /// Announces this member to another.
    pub fn announce(&mut self, other: Member) {
        if other.name != self.foca.identity().name {
            let _ = self.foca.announce(other, &mut self.runtime);
        }
    }

    /// Leaves, so that others need not wait until they find out.
    pub fn leave(&mut self) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
    }

    /// Takes the current time: timers that are due run.
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

    /// What is to be sent and what became known since this was last called.
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

    /// When [`Membership::tick`] is to be called next.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.peek().map(|Reverse((due, _))| *due)
    }

    /// Others that are there, those suspected included.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// All others that are known.
    pub fn all(&self) -> impl Iterator<Item = (&Member, MemberHealth)> {
        self.foca
            .iter_membership_state()
            .map(|member| (member.id(), health(member.state())))
    }

    /// How many members were seen to come up or go down.
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
