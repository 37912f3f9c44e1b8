//! Who the primary is, from what members say and from which calls fail. Told the time, without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use streamusher_protocol::internal::{ClusterView, CoreAddress};
use streamusher_protocol::Millis;

/// Questions sent in one round: more than one, as some members may be down; few, as every process asks.
const QUESTIONS_A_ROUND: usize = 3;

/// Between two rounds while no primary is known; each draws its own pause, so that processes do not ask in step.
const ROUND_MS: std::ops::Range<Millis> = 100..200;

/// A primary that has not answered for so long is asked, so that its end is seen without calls. Above the time that an
/// agent's sync waits there, as that shows it too.
const PROBE_AFTER_MS: Millis = 500;

/// Members remembered: beyond any core.
const MOST_KNOWN: usize = 64;

/// Finds the primary and notes how fresh that knowledge is.
#[derive(Debug)]
pub struct PrimaryDiscovery {
    seeds: Vec<CoreAddress>,
    members: Vec<CoreAddress>,
    epoch: u64,
    primary: Option<CoreAddress>,
    /// The primary of `epoch` whose call failed: only its own word brings it back.
    doubted: Option<Arc<str>>,
    answered_at: Option<Millis>,
    /// Whom to ask, in turn.
    turn: VecDeque<Arc<str>>,
    /// Questions under way, by address.
    asked: BTreeMap<Arc<str>, Millis>,
    next_round_at: Millis,
    /// Which member is watched: its place among those that are not the primary.
    watched: usize,
    jitter: Jitter,
}

impl PrimaryDiscovery {
    /// Begins with the seeds; `seed` draws the pauses.
    pub fn new(seeds: Vec<CoreAddress>, seed: u64) -> PrimaryDiscovery {
        let mut finder = PrimaryDiscovery {
            seeds: Vec::new(),
            members: Vec::new(),
            epoch: 0,
            primary: None,
            doubted: None,
            answered_at: None,
            turn: VecDeque::new(),
            asked: BTreeMap::new(),
            next_round_at: 0,
            watched: 0,
            jitter: Jitter { state: seed },
        };
        finder.watched = finder.jitter.draw(0..MOST_KNOWN as Millis) as usize;
        finder.set_seeds(seeds);
        finder
    }

    /// Replaces the seeds, as after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<CoreAddress>) {
        self.seeds = seeds;
        self.renew_turn();
    }

    /// The primary, where one is known and not doubted.
    pub fn primary(&self) -> Option<&CoreAddress> {
        self.primary
            .as_ref()
            .filter(|primary| self.doubted.as_ref() != Some(&primary.internal))
    }

    /// The newest epoch heard of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Members heard of.
    pub fn members(&self) -> &[CoreAddress] {
        &self.members
    }

    /// Whether a primary is known that answered within `span` before `now`.
    pub fn is_fresh(&self, now: Millis, span: Millis) -> bool {
        let answered = self
            .answered_at
            .is_some_and(|at| now.saturating_sub(at) <= span);
        answered && self.primary().is_some()
    }

    /// The process at `from` (an internal address) told what it knows.
    pub fn on_view(&mut self, now: Millis, from: &str, view: &ClusterView) {
        self.asked.remove(from);
        if view.epoch < self.epoch {
            return;
        }
        let newer = view.epoch > self.epoch;
        self.epoch = view.epoch;
        self.remember(&view.members, newer);
        match &view.primary {
            Some(primary) => self.hear_of_primary(now, from, primary, newer),
            // A member that thinks the primary lost: calls decide, not guesses.
            None if newer => self.primary = None,
            None if self.is_primary(from) => self.doubted = Some(from.into()),
            None => {}
        }
    }

    /// The primary answered a call.
    pub fn on_response(&mut self, now: Millis, address: &str) {
        self.asked.remove(address);
        if self.is_primary(address) {
            self.doubted = None;
            self.answered_at = Some(now);
        }
    }

    /// A call to `address` failed. If it is the primary's, others are asked at once.
    pub fn on_request_failed(&mut self, now: Millis, address: &str) {
        self.asked.remove(address);
        if self.is_primary(address) && self.doubted.as_deref() != Some(address) {
            self.doubted = Some(address.into());
            self.next_round_at = now;
        }
    }

    /// The process at `address` said that it is not the primary: `view` is what it knows.
    pub fn on_not_primary(&mut self, now: Millis, address: &str, view: &ClusterView) {
        self.on_request_failed(now, address);
        self.on_view(now, address, view);
        let still_itself = self.is_primary(address);
        if still_itself {
            self.doubted = Some(address.into());
        }
    }

    /// Whether a call to `address` is to be given up: another process is the primary by now.
    pub fn is_superseded(&self, address: &str) -> bool {
        self.primary()
            .is_some_and(|primary| *primary.internal != *address)
    }

    /// A member besides the primary, which learns of the next epoch without it. Each process draws its own.
    pub fn watch_target(&self) -> Option<Arc<str>> {
        let others: Vec<&CoreAddress> = self
            .members
            .iter()
            .filter(|member| !self.is_primary(&member.internal))
            .collect();
        let place = self.watched.checked_rem(others.len())?;
        Some(Arc::clone(&others[place].internal))
    }

    /// The member that was watched does not answer, or knows less than this process: the next one is watched.
    pub fn advance_watch_target(&mut self) {
        self.watched = self.watched.wrapping_add(1);
    }

    /// Whom to ask now for the cluster's view. Each is asked once at a time: tell [`PrimaryDiscovery::learn`] or
    /// [`PrimaryDiscovery::failed`] what came of it.
    pub fn take_due_probes(&mut self, now: Millis) -> Vec<Arc<str>> {
        if now < self.next_probe_at() {
            return Vec::new();
        }
        self.next_round_at = now.saturating_add(self.jitter.draw(ROUND_MS));
        match self.primary().map(|primary| Arc::clone(&primary.internal)) {
            Some(primary) => self.ask(now, primary).into_iter().collect(),
            None => self.ask_round(now),
        }
    }

    /// When [`PrimaryDiscovery::questions`] has some.
    pub fn next_probe_at(&self) -> Millis {
        match (self.primary(), self.answered_at) {
            (Some(_), Some(at)) => self.next_round_at.max(at.saturating_add(PROBE_AFTER_MS)),
            _ => self.next_round_at,
        }
    }

    /// Whether an internal address is that of a seed, a member or the primary.
    pub fn is_known(&self, address: &str) -> bool {
        let mut known = self.seeds.iter().chain(&self.members).chain(&self.primary);
        known.any(|core| *core.internal == *address)
    }

    fn ask_round(&mut self, now: Millis) -> Vec<Arc<str>> {
        let mut asked = Vec::new();
        for _ in 0..self.turn.len() {
            let Some(address) = self.turn.pop_front() else {
                break;
            };
            self.turn.push_back(Arc::clone(&address));
            asked.extend(self.ask(now, address));
            if asked.len() == QUESTIONS_A_ROUND {
                break;
            }
        }
        asked
    }

    fn ask(&mut self, now: Millis, address: Arc<str>) -> Option<Arc<str>> {
        if self.asked.contains_key(&address) {
            return None;
        }
        self.asked.insert(Arc::clone(&address), now);
        Some(address)
    }

    fn hear_of_primary(&mut self, now: Millis, from: &str, primary: &CoreAddress, newer: bool) {
        let itself = *primary.internal == *from;
        let changed = !self.is_primary(&primary.internal);
        if newer || itself {
            self.doubted = None;
        }
        if newer || changed {
            self.answered_at = None;
        }
        if itself {
            self.answered_at = Some(now);
        }
        self.primary = Some(primary.clone());
    }

    fn is_primary(&self, address: &str) -> bool {
        self.primary
            .as_ref()
            .is_some_and(|primary| *primary.internal == *address)
    }

    fn remember(&mut self, members: &[CoreAddress], newer: bool) {
        if members.is_empty() || (!newer && self.members == members) {
            return;
        }
        self.members = members.iter().take(MOST_KNOWN).cloned().collect();
        self.renew_turn();
    }

    /// All addresses known, members first.
    fn renew_turn(&mut self) {
        self.turn.clear();
        for address in self.members.iter().chain(&self.seeds) {
            if !self.turn.contains(&address.internal) {
                self.turn.push_back(Arc::clone(&address.internal));
            }
        }
        let first = self.jitter.draw(0..self.turn.len().max(1) as Millis) as usize;
        self.turn.rotate_left(first);
    }
}

/// Numbers that differ between processes; nothing rests on their quality.
#[derive(Debug)]
struct Jitter {
    state: u64,
}

impl Jitter {
    fn draw(&mut self, range: std::ops::Range<Millis>) -> Millis {
        let mut hasher = DefaultHasher::new();
        self.state.hash(&mut hasher);
        self.state = hasher.finish();
        let width = range.end.saturating_sub(range.start).max(1);
        range.start + self.state % width
    }
}
