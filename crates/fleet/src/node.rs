//! One member of a fleet: members, counts and rights together, told the time and the frames that came.
//!
//! Each period it sends a digest to two members at random and answers theirs with what they lack. Own counts go at once
//! to the members that stand behind it in the ring of names, one more than the copies wanted; they answer how much they
//! hold. A member whose process was stopped for longer than a lease spends nothing until it has heard the others again.

use crate::counts::{Counts, Delta, Holds};
use crate::frame::{Bad, Body, Frame, Sealer, MOST_BYTES};
use crate::judge::Judgements;
use crate::life::{Life, Micros};
use crate::members::{Member, Members, News};
use crate::purse::Purse;
use crate::rights::{Rights, Terms};
use crate::tally::Tally;
use crate::units::{Key, Units};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its life.
    pub me: Life,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Where some of the others are reached.
    pub join: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: [u8; 32],
    /// For random numbers.
    pub seed: u64,
    /// Between two digests.
    pub gossip: Micros,
    /// Other members that must hold a count before it is safe.
    pub copies: usize,
    /// Budgets and seats.
    pub terms: Arc<Terms>,
    /// A member not heard for so long no longer holds up the folding of lives that are gone.
    pub forget: Micros,
    /// The length of a period of counts.
    pub period: Micros,
}

/// How far ahead of this one's wall clock another's may be.
const CLOCK: Micros = 24 * 3_600 * 1_000_000;
/// Bytes of a frame left for its body's parts.
const ROOM: usize = MOST_BYTES - 200;
/// Parts sent in answer to one digest.
const PARTS: usize = 32;

#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) no: u64,
    pub(crate) heard: Micros,
    /// How much of own counts it holds, and up to where they were sent to it, and when.
    pub(crate) have: u64,
    pub(crate) sent: (u64, Micros),
}

/// See the module's own page.
pub struct Node {
    pub(crate) setup: Setup,
    pub(crate) sealer: Sealer,
    pub(crate) members: Members,
    pub(crate) counts: Counts,
    /// What is said of core workers.
    pub judge: Judgements,
    /// Rights, by budget.
    pub rights: Rights<Arc<Purse>>,
    pub(crate) wants: Vec<u64>,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    pub(crate) out: Vec<(SocketAddr, Vec<u8>)>,
    pub(crate) bad: BTreeMap<Bad, u64>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) cursor: Option<Arc<str>>,
    pub(crate) next_gossip: Micros,
    pub(crate) rounds: u64,
    pub(crate) last_tick: Micros,
    /// Since when this member does not trust what it holds: it was stopped, and has not heard the others since.
    pub(crate) stale: Option<Micros>,
    pub(crate) wall: Micros,
    pub(crate) ending: bool,
    /// Times that it learnt it was thought dead.
    pub thought_dead: u64,
    /// A later life of this name is there: this process is not to go on.
    pub replaced: bool,
    /// Frames taken.
    pub frames: u64,
    /// Bytes and frames sent.
    pub sent: (u64, u64),
}

impl Node {
    /// A life that starts now, and knows nothing; a purse for each budget. `wall` is Unix time.
    pub fn new(setup: Setup, purses: Vec<Arc<Purse>>, now: Micros, wall: Micros) -> Node {
        let me = Member {
            name: setup.me.name.clone(),
            no: setup.me.no,
            addr: setup.addr,
            raised: 0,
        };
        let probe = (setup.gossip * 5).max(100_000);
        Node {
            sealer: Sealer::new(setup.key),
            members: Members::new(me, probe, setup.seed),
            counts: Counts::new(setup.me.clone()),
            judge: Judgements::new(setup.me.clone()),
            wants: vec![0; setup.terms.budgets.len()],
            rights: Rights::new(setup.me.clone(), setup.terms.clone(), purses, now),
            peers: BTreeMap::new(),
            out: Vec::new(),
            bad: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(setup.seed ^ 0x5eed),
            cursor: None,
            next_gossip: now,
            rounds: 0,
            last_tick: now,
            stale: None,
            wall,
            ending: false,
            thought_dead: 0,
            replaced: false,
            frames: 0,
            sent: (0, 0),
            setup,
        }
    }

    /// The period that a moment of Unix time falls into.
    pub fn period(&self, wall: Micros) -> u32 {
        (wall / self.setup.period) as u32
    }

    /// Counts something of own; the version that holds it.
    pub fn raise(&mut self, key: Key, units: &Units) -> u64 {
        self.counts.raise(key, units)
    }

    /// A datagram came. `wall` is Unix time.
    pub fn receive(&mut self, now: Micros, wall: Micros, bytes: &[u8]) {
        self.wall = wall;
        match self
            .sealer
            .open(bytes)
            .and_then(|frame| self.admit(now, wall, frame))
        {
            Ok(frame) => self.take_frame(now, frame),
            Err(bad) => *self.bad.entry(bad).or_default() += 1,
        }
    }

    fn admit(&mut self, now: Micros, wall: Micros, frame: Frame) -> Result<Frame, Bad> {
        let from = &frame.from;
        if from.no > wall + CLOCK {
            return Err(Bad::Clock);
        }
        if from.name == self.setup.me.name {
            self.replaced |= from.no > self.setup.me.no;
            return Err(Bad::EarlierLife);
        }
        let peer = self.peers.entry(from.name.clone()).or_default();
        if from.no < peer.no {
            return Err(Bad::EarlierLife);
        }
        if from.no > peer.no {
            *peer = Peer {
                no: from.no,
                ..Peer::default()
            };
        }
        peer.heard = now;
        self.frames += 1;
        self.stale = None; // the others are heard again
        Ok(frame)
    }

    fn take_frame(&mut self, now: Micros, frame: Frame) {
        let from = frame.from;
        match frame.body {
            Body::Hello => self.members.greet(from),
            Body::Swim(bytes) => self.members.hear(&bytes),
            Body::Digest {
                from: after,
                last,
                holds,
                answer,
            } => {
                let parts = self
                    .counts
                    .lacks(&from.name, after.as_ref(), &holds, last, PARTS);
                self.send_rows(&from, parts);
                if answer {
                    let body = Body::Digest {
                        from: after.clone(),
                        last,
                        holds: self.span(after.as_ref(), &holds, last),
                        answer: false,
                    };
                    self.send(&from, body);
                }
            }
            Body::Rows(parts) => {
                let newest = self.period(self.wall) + 1;
                for part in &parts {
                    self.counts.merge(part, newest);
                    if let Delta::Life { life, .. } = part {
                        self.replaced |=
                            life.name == self.setup.me.name && life.no > self.setup.me.no;
                    }
                }
                let life = from.life();
                if parts
                    .iter()
                    .any(|p| matches!(p, Delta::Life { life: l, .. } if *l == life))
                {
                    let held = self.counts.holds_of(&life);
                    self.send(&from, Body::Have(held));
                }
            }
            Body::Have(version) => {
                let version = version.min(self.counts.version()); // no more than there is
                let peer = self.peers.entry(from.name).or_default();
                peer.have = peer.have.max(version);
            }
            Body::Ask(ask) => {
                if let Some(grant) = self.rights.asked(now, &from.life(), &ask) {
                    self.send(&from, Body::Grant(grant));
                }
            }
            Body::Grant(grant) => self.rights.granted(now, &from.name, &grant),
            Body::Words(words) => self.judge.hear(now, &words),
        }
        self.after(now);
    }

    /// What this member holds of the names that another's digest covers.
    fn span(&self, after: Option<&Arc<str>>, theirs: &[Holds], last: bool) -> Vec<Holds> {
        let upto = theirs.last().map(|h| &h.name);
        let mut mine = self.counts.digest(after, theirs.len() + 8);
        mine.retain(|h| last || upto.is_some_and(|u| h.name <= *u));
        fit(&mut mine);
        mine
    }

    /// Time has passed. `wall` is Unix time.
    pub fn tick(&mut self, now: Micros, wall: Micros) {
        self.wall = wall;
        let lease = self.setup.terms.lease;
        if now.saturating_sub(self.last_tick) > lease / 2 {
            self.stale = Some(now); // it was stopped: the others may think it dead
        }
        self.last_tick = now;
        // One that hears nobody goes on alone after a while, with what is its own.
        if self
            .stale
            .is_some_and(|since| now.saturating_sub(since) > lease)
        {
            self.stale = None;
        }
        self.members.tick(now);
        self.rights.tick(now);
        self.judge.tick(now);
        if self.stale.is_none() {
            self.rights
                .pockets
                .iter()
                .for_each(|p| p.refresh(if self.replaced { 0 } else { now + lease / 2 }));
        }
        if now >= self.next_gossip {
            let gossip = self.setup.gossip;
            self.next_gossip = now + gossip * 3 / 4 + self.rng.random_range(0..=gossip / 2);
            self.round(now);
        }
        self.after(now);
    }

    /// What foca has to say goes out.
    fn after(&mut self, now: Micros) {
        let (send, news) = self.members.take(now);
        for (to, bytes) in send {
            self.send(&to, Body::Swim(bytes));
        }
        for news in news {
            match news {
                News::ThoughtDead => self.thought_dead += 1,
                // A new life begins from nothing: it holds no copy, and what it lent before ends by itself.
                News::Up(m) | News::Renamed(_, m) => {
                    let peer = self.peers.entry(m.name.clone()).or_default();
                    if m.no > peer.no {
                        *peer = Peer {
                            no: m.no,
                            heard: now,
                            ..Peer::default()
                        };
                    }
                }
                News::Down(_) => {}
            }
        }
    }

    pub(crate) fn send_rows(&mut self, to: &Member, parts: Vec<Delta>) {
        let mut frame = Vec::new();
        let mut bytes = 0;
        for part in parts {
            let size = postcard::to_stdvec(&part).map_or(ROOM, |b| b.len());
            if bytes + size > ROOM && !frame.is_empty() {
                self.send(to, Body::Rows(std::mem::take(&mut frame)));
                bytes = 0;
            }
            bytes += size;
            frame.push(part);
        }
        if !frame.is_empty() {
            self.send(to, Body::Rows(frame));
        }
    }

    pub(crate) fn send(&mut self, to: &Member, body: Body) {
        self.send_to(to.addr, body);
    }

    pub(crate) fn send_to(&mut self, addr: SocketAddr, body: Body) {
        let frame = Frame {
            from: self.members.me().clone(),
            body,
        };
        if let Some(bytes) = self.sealer.seal(&frame) {
            self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
            self.out.push((addr, bytes));
        }
    }

    /// Frames to be sent, and where to.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Takes a member for one that was not heard for as long as the file says.
    pub fn forget_now(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// This life is about to end: its counts go to another member, whether copies are wanted or not.
    pub fn hand_over(&mut self) {
        self.ending = true;
    }

    /// Another member holds all of its counts, or there is none that could.
    pub fn handed_over(&self) -> bool {
        let version = self.counts.version();
        let (mut alive, least) = (self.members.alive().peekable(), self.setup.copies.max(1));
        let holds = |m: &&Member| self.peers.get(&m.name).is_some_and(|p| p.have >= version);
        version == 0 || alive.peek().is_none() || alive.filter(holds).count() >= least
    }

    /// Says good-bye.
    pub fn leave(&mut self, now: Micros) {
        self.members.leave();
        self.after(now);
    }

    /// When it wants to be told the time at the latest.
    pub fn next_due(&self) -> Micros {
        self.members
            .next_due()
            .map_or(self.next_gossip, |d| d.min(self.next_gossip))
    }

    /// The tally.
    pub fn tally(&self) -> Tally {
        self.counts.tally()
    }
}

/// Leaves as many as fit into a frame; whether all did.
pub(crate) fn fit(holds: &mut Vec<Holds>) -> bool {
    let mut bytes = 0;
    let size = |h: &Holds| postcard::to_stdvec(h).map_or(ROOM, |b| b.len());
    let n = holds
        .iter()
        .take_while(|h| {
            bytes += size(h);
            bytes <= ROOM
        })
        .count();
    let all = n == holds.len();
    holds.truncate(n);
    all
}
