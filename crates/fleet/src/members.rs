//! Who is there: SWIM with suspicion and indirect probes, as the `foca` crate has it. This adds the timers, told the
//! time, and the rule that of two lives of one name the later one counts.

use crate::life::{Life, Micros};
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

/// A member as others know it: a life, where it is reached, and how often it had to say that it is not dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// The number of its life.
    pub no: u64,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Raised each time that it learns it was thought dead.
    pub raised: u32,
}

impl Member {
    /// One that was never thought dead.
    pub fn new(name: &str, no: u64, addr: SocketAddr) -> Member {
        Member {
            name: Arc::from(name),
            no,
            addr,
            raised: 0,
        }
    }

    /// Its life.
    pub fn life(&self) -> Life {
        Life {
            name: self.name.clone(),
            no: self.no,
        }
    }
}

impl Identity for Member {
    type Addr = Arc<str>;

    fn renew(&self) -> Option<Member> {
        Some(Member {
            raised: self.raised.wrapping_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> Arc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.no, self.raised) > (other.no, other.raised)
    }
}

/// What became known of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It is there.
    Up(Member),
    /// It is thought to be gone.
    Down(Member),
    /// A later life, or a later word, of one that was known.
    Renamed(Member, Member),
    /// This member learns that it was thought dead, and says that it is not.
    ThoughtDead,
}

/// How sure it is that a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer, neither directly nor through others.
    Suspect,
    /// It is thought to be gone.
    Down,
}

/// The members that one of them knows.
pub struct Members {
    foca: Foca<Member, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Timer<Member>>,
    next: u64,
    /// Membership changes seen: members that came up or went down.
    pub changes: u64,
}

fn config(probe: Duration) -> Config {
    let params = |factor: u32, n| {
        Some(PeriodicParams {
            frequency: probe * factor,
            num_members: NonZeroUsize::new(n).expect("above 0"),
        })
    };
    Config {
        probe_period: probe,
        probe_rtt: probe * 2 / 5,
        num_indirect_probes: NonZeroUsize::new(3).expect("above 0"),
        max_transmissions: NonZeroU8::new(10).expect("above 0"),
        suspect_to_down_after: probe * 5,
        // Those down are called now and then, so that two halves of the fleet find each other again.
        remove_down_after: Some(Duration::from_secs(24 * 3_600)),
        max_packet_size: NonZeroUsize::new(1_100).expect("above 0"),
        notify_down_members: true,
        periodic_announce: params(20, 1),
        periodic_announce_to_down_members: params(3, 2),
        periodic_gossip: params(1, 2),
    }
}

impl Members {
    /// Alone, for now. A member is probed every `probe`, and thought dead after five more without an answer.
    pub fn new(me: Member, probe: Micros, seed: u64) -> Members {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let foca = Foca::new(me, config(Duration::from_micros(probe)), rng, PostcardCodec);
        Members {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            changes: 0,
        }
    }

    /// Itself, as others know it.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// Another's words.
    pub fn hear(&mut self, bytes: &[u8]) {
        let _ = self.foca.handle_data(bytes, &mut self.runtime); // what cannot be used changes nothing
    }

    /// Says to another that this one is there.
    pub fn greet(&mut self, other: Member) {
        if other.name != self.foca.identity().name {
            let _ = self.foca.announce(other, &mut self.runtime);
        }
    }

    /// Leaves: others need not wait to find out.
    pub fn leave(&mut self) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        while let Some(Reverse((at, no))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            if let Some(timer) = self.due.remove(&no) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
                self.schedule(now);
            }
        }
    }

    fn schedule(&mut self, now: Micros) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next += 1;
            self.timers
                .push(Reverse((now + after.as_micros() as Micros, self.next)));
            self.due.insert(self.next, timer);
        }
    }

    /// What is to be sent, and what became known, since this was last asked.
    pub fn take(&mut self, now: Micros) -> (Vec<(Member, Vec<u8>)>, Vec<News>) {
        self.schedule(now);
        let (mut send, mut news) = (Vec::new(), Vec::new());
        while let Some((to, bytes)) = self.runtime.to_send() {
            send.push((to, bytes.to_vec()));
        }
        while let Some(told) = self.runtime.to_notify() {
            self.changes += u64::from(matches!(
                told,
                OwnedNotification::MemberUp(_) | OwnedNotification::MemberDown(_)
            ));
            news.extend(match told {
                OwnedNotification::MemberUp(m) => Some(News::Up(m)),
                OwnedNotification::MemberDown(m) => Some(News::Down(m)),
                OwnedNotification::Rename(a, b) => Some(News::Renamed(a, b)),
                OwnedNotification::Rejoin(_) | OwnedNotification::Defunct => {
                    Some(News::ThoughtDead)
                }
                OwnedNotification::Active | OwnedNotification::Idle => None,
            });
        }
        (send, news)
    }

    /// When time matters next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0 .0)
    }

    /// Others that are there, those suspected included.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(|m| m.id())
    }

    /// All others that are known, and how sure it is.
    pub fn all(&self) -> impl Iterator<Item = (&Member, Standing)> {
        let standing = |s| match s {
            State::Alive => Standing::Alive,
            State::Suspect => Standing::Suspect,
            State::Down => Standing::Down,
        };
        self.foca
            .iter_membership_state()
            .map(move |m| (m.id(), standing(m.state())))
    }
}
