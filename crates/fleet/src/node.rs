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
use rand::{seq::IteratorRandom, RngExt, SeedableRng};
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
/// Gossip periods after which a superseded life may be folded.
const SETTLE: u64 = 100;
/// Observations sent along with a digest.
const WORDS: usize = 6;
/// Gossip periods between two looks for lives to fold.
const FOLD: u64 = 10;

#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    no: u64,
    pub(crate) heard: Micros,
    /// How much of own counts it holds, and up to where they were sent to it, and when.
    pub(crate) have: u64,
    sent: (u64, Micros),
}

/// See the module's own page.
pub struct Node {
    pub(crate) setup: Setup,
    sealer: Sealer,
    pub(crate) members: Members,
    pub(crate) counts: Counts,
    /// What is said of core workers.
    pub judge: Judgements,
    /// Rights, by budget.
    pub rights: Rights<Arc<Purse>>,
    wants: Vec<u64>,
    pub(crate) peers: BTreeMap<Arc<str>, Peer>,
    out: Vec<(SocketAddr, Vec<u8>)>,
    pub(crate) bad: BTreeMap<Bad, u64>,
    rng: Pcg64Mcg,
    cursor: Option<Arc<str>>,
    next_gossip: Micros,
    rounds: u64,
    last_tick: Micros,
    /// Since when this member does not trust what it holds: it was stopped, and has not heard the others since.
    pub(crate) stale: Option<Micros>,
    wall: Micros,
    ending: bool,
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
        let me = Member { name: setup.me.name.clone(), no: setup.me.no, addr: setup.addr, raised: 0 };
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

    /// Sends own counts on, where others lack them.
    pub fn flush(&mut self, now: Micros) {
        let version = self.counts.version();
        if version == 0 || self.setup.copies == 0 && !self.ending {
            return;
        }
        for to in self.ring() {
            let peer = self.peers.entry(to.name.clone()).or_default();
            // What was sent is not sent again before it could have been answered.
            let waits = now.saturating_sub(peer.sent.1) < self.setup.gossip / 2;
            let from = if waits { peer.have.max(peer.sent.0) } else { peer.have };
            if from < version {
                peer.sent = (version, now);
                let rows = self.counts.own_since(from);
                self.send_rows(&to, rows);
            }
        }
    }

    /// The members behind this one in the ring of names, one more than the copies wanted.
    fn ring(&self) -> Vec<Member> {
        let mut alive: Vec<&Member> = self.members.alive().collect();
        alive.sort_by(|a, b| a.name.cmp(&b.name));
        let at = alive.partition_point(|m| m.name <= self.setup.me.name);
        alive[at..].iter().chain(&alive[..at]).take(self.setup.copies + 1).map(|m| (*m).clone()).collect()
    }

    /// The version of own counts that enough other members hold, of those not thought dead.
    pub fn safe(&self) -> u64 {
        let copies = if cfg!(feature = "mutant-copies") { 0 } else { self.setup.copies };
        let Some(last) = copies.checked_sub(1) else { return self.counts.version() };
        let alive = |name: &Arc<str>| self.members.alive().any(|m| m.name == *name);
        let mut have: Vec<u64> = self.peers.iter().filter(|(n, _)| alive(n)).map(|(_, p)| p.have).collect();
        have.sort_unstable_by(|a, b| b.cmp(a));
        have.get(last).copied().unwrap_or(0)
    }

    /// A datagram came. `wall` is Unix time.
    pub fn receive(&mut self, now: Micros, wall: Micros, bytes: &[u8]) {
        self.wall = wall;
        match self.sealer.open(bytes).and_then(|frame| self.admit(now, wall, frame)) {
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
            *peer = Peer { no: from.no, ..Peer::default() };
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
            Body::Digest { from: after, last, holds, answer } => {
                let parts = self.counts.lacks(&from.name, after.as_ref(), &holds, last, PARTS);
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
                        self.replaced |= life.name == self.setup.me.name && life.no > self.setup.me.no;
                    }
                }
                let life = from.life();
                if parts.iter().any(|p| matches!(p, Delta::Life { life: l, .. } if *l == life)) {
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
        if self.stale.is_some_and(|since| now.saturating_sub(since) > lease) {
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

    fn round(&mut self, now: Micros) {
        self.rounds += 1;
        let alive: Vec<Member> = self.members.alive().cloned().collect();
        for to in alive.iter().sample(&mut self.rng, 2) {
            let mut holds = self.counts.digest(self.cursor.as_ref(), 64);
            let whole = holds.len() < 64;
            let last = fit(&mut holds) && whole;
            let next = if last { None } else { holds.last().map(|h| h.name.clone()) };
            let from = std::mem::replace(&mut self.cursor, next);
            self.send(to, Body::Digest { from, last, holds, answer: true });
            let words = self.judge.words(now, WORDS);
            if !words.is_empty() {
                self.send(to, Body::Words(words));
            }
        }
        // Those that the file names and that are not there are called, one in each round.
        let known = |a: &SocketAddr| *a == self.setup.addr || alive.iter().any(|m| m.addr == *a);
        let missing = self.setup.join.iter().filter(|a| !known(a)).choose(&mut self.rng).copied();
        if let Some(addr) = missing.filter(|_| alive.is_empty() || self.rounds.is_multiple_of(4)) {
            self.send_to(addr, Body::Hello);
        }
        let names: Vec<Arc<str>> = alive.iter().map(|m| m.name.clone()).collect();
        for budget in 0..self.wants.len() {
            let pocket = &self.rights.pockets[budget];
            let ((own, borrowed), used, denied) = (pocket.rights(), pocket.used(), pocket.take_denied());
            let rights = own + borrowed;
            // What was denied is asked for, by half as much again at a time; what is not used goes slowly.
            self.wants[budget] = match denied {
                0 => used.max(self.wants[budget].saturating_sub(self.wants[budget].div_ceil(10))),
                n => (rights.max(used) + n.min(rights / 2 + 4)).min(self.setup.terms.budgets[budget].units),
            };
            for (name, ask) in self.rights.want(now, budget, self.wants[budget], &names) {
                if let Some(to) = alive.iter().find(|m| m.name == name) {
                    self.send(to, Body::Ask(ask));
                }
            }
        }
        if self.rounds.is_multiple_of(FOLD) {
            let others = self.not_forgotten(now);
            self.counts.fold(now, self.setup.gossip * SETTLE, &others);
            self.counts.forget_old_periods();
        }
        self.flush(now);
    }

    fn not_forgotten(&self, now: Micros) -> Vec<Arc<str>> {
        let heard = |p: &Peer| now.saturating_sub(p.heard) < self.setup.forget;
        self.peers.iter().filter(|(_, p)| heard(p)).map(|(n, _)| n.clone()).collect()
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
                        *peer = Peer { no: m.no, heard: now, ..Peer::default() };
                    }
                }
                News::Down(_) => {}
            }
        }
    }

    fn send_rows(&mut self, to: &Member, parts: Vec<Delta>) {
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

    fn send(&mut self, to: &Member, body: Body) {
        self.send_to(to.addr, body);
    }

    fn send_to(&mut self, addr: SocketAddr, body: Body) {
        let frame = Frame { from: self.members.me().clone(), body };
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
        self.members.next_due().map_or(self.next_gossip, |d| d.min(self.next_gossip))
    }

    /// The tally.
    pub fn tally(&self) -> Tally {
        self.counts.tally()
    }
}

/// Leaves as many as fit into a frame; whether all did.
fn fit(holds: &mut Vec<Holds>) -> bool {
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
