//! Where a member gets its news from: notices silence, and says whom to ask and when.

use super::message::{RelayPeer, RootHeartbeat};
use super::{
    ASK_TIMEOUT, FIRST_PAUSE, LACK_RETRY, LONGEST_PAUSE, RENEWAL, SILENCE, STALE_BEATS, STALL,
    UNDERWAY,
};
use streamusher_protocol::Millis;

/// A member's view of those above it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Parent first, the core last.
    ancestors: Vec<RelayPeer>,
    /// Added to [`STALL`], so that not all members ask at the same moment.
    jitter: Millis,
    pulse: RootHeartbeat,
    /// When the pulse last rose.
    pulse_at: Millis,
    /// Last heartbeat of anyone who is not cut off.
    heard_at: Millis,
    /// Last heartbeat of one that counts this member as its child.
    parent_at: Option<Millis>,
    adopter: Option<Adopter>,
    search: Option<Search>,
    lack: Option<Lack>,
}

/// Who tells this member because it asked.
#[derive(Clone, Debug)]
struct Adopter {
    peer: RelayPeer,
    heard_at: Millis,
    renewed_at: Millis,
}

/// Asking one ancestor after the other.
#[derive(Clone, Debug)]
struct Search {
    /// Place of the one to be asked next; beyond the last one for a pause.
    next: usize,
    /// When it is asked.
    at: Millis,
    pause: Millis,
}

/// A version that was heard of.
#[derive(Clone, Debug)]
struct Lack {
    version: u64,
    /// Who has it, where that is known.
    holder: Option<RelayPeer>,
    /// Questions so far.
    asked: usize,
    /// When it is asked for next.
    at: Millis,
}

impl Upstream {
    /// One that knows of the core only.
    pub fn new(now: Millis, jitter: Millis) -> Upstream {
        Upstream {
            ancestors: vec![RelayPeer::Core],
            jitter,
            pulse: RootHeartbeat::default(),
            pulse_at: now,
            heard_at: now,
            parent_at: None,
            adopter: None,
            search: None,
            lack: None,
        }
    }

    /// The parent by the newest roster; the core while there is none.
    pub fn parent(&self) -> Option<&RelayPeer> {
        self.ancestors.first()
    }

    /// Who tells this member because it asked.
    pub fn adopter(&self) -> Option<&RelayPeer> {
        self.adopter.as_ref().map(|adopter| &adopter.peer)
    }

    /// The newest pulse.
    pub fn pulse(&self) -> RootHeartbeat {
        self.pulse
    }

    /// Takes the ancestors of a new roster. The new parent gets the usual time for its first heartbeat.
    pub fn set_ancestors(&mut self, now: Millis, ancestors: Vec<RelayPeer>) {
        self.ancestors = ancestors;
        self.heard_at = now;
        if self.search.is_some() {
            self.search_from(0, now);
        }
    }

    /// Starts asking at once, with the parent: after a start, or after a freeze.
    pub fn ask_now(&mut self, now: Millis) {
        self.search_from(0, now);
    }

    /// Takes note of a heartbeat.
    pub fn heard(&mut self, now: Millis, from: &RelayPeer, pulse: RootHeartbeat, adopted: bool) {
        if self.is_stale(pulse) {
            return;
        }
        self.heard_at = now;
        if pulse > self.pulse {
            self.pulse = pulse;
            self.pulse_at = now;
            self.search = None;
        }
        if adopted {
            self.heard_adopter(now, from);
        } else {
            self.parent_at = Some(now);
        }
    }

    /// Takes note of a version that is newer than this member's. At once means that it will not come unasked.
    pub fn lacks(&mut self, now: Millis, version: u64, holder: Option<&RelayPeer>, at_once: bool) {
        let at = if at_once { now } else { now + UNDERWAY };
        match &mut self.lack {
            Some(lack) if lack.version >= version => {
                // Without a question on its way, the first one may go to this holder.
                if at_once && lack.asked == 0 {
                    *lack = Lack {
                        version: lack.version,
                        holder: holder.cloned(),
                        asked: 0,
                        at,
                    };
                }
            }
            lack => {
                *lack = Some(Lack {
                    version,
                    holder: holder.cloned(),
                    asked: 0,
                    at,
                })
            }
        }
    }

    /// Takes note that this version is here.
    pub fn has(&mut self, version: u64) {
        if self
            .lack
            .as_ref()
            .is_some_and(|lack| lack.version <= version)
        {
            self.lack = None;
        }
    }

    /// Whom to ask now.
    pub fn due(&mut self, now: Millis) -> Vec<RelayPeer> {
        if self.search.is_none() && now >= self.patience_ends() {
            // The first one is the parent, which has just been found silent.
            self.search_from(1, now);
        }
        let mut peers = Vec::new();
        peers.extend(self.due_search(now));
        peers.extend(self.due_lack(now));
        peers.extend(self.due_renewal(now));
        peers.sort();
        peers.dedup();
        peers
    }

    /// When [`Upstream::due`] is to be called next.
    pub fn next_due(&self) -> Millis {
        let search = self
            .search
            .as_ref()
            .map_or_else(|| self.patience_ends(), |search| search.at);
        let lack = self.lack.as_ref().map(|lack| lack.at);
        let renewal = self
            .adopter
            .as_ref()
            .map(|adopter| adopter.renewed_at + RENEWAL);
        let others = lack.into_iter().chain(renewal);
        others.fold(search, Millis::min)
    }

    fn is_stale(&self, pulse: RootHeartbeat) -> bool {
        let behind = RootHeartbeat {
            epoch: pulse.epoch,
            count: pulse.count.saturating_add(STALE_BEATS),
        };
        behind < self.pulse
    }

    fn patience_ends(&self) -> Millis {
        Millis::min(self.heard_at + SILENCE, self.pulse_at + STALL + self.jitter)
    }

    fn heard_adopter(&mut self, now: Millis, from: &RelayPeer) {
        match &mut self.adopter {
            Some(adopter) if adopter.peer == *from => adopter.heard_at = now,
            Some(adopter) if now < adopter.heard_at + SILENCE => {}
            _ => {
                self.adopter = Some(Adopter {
                    peer: from.clone(),
                    heard_at: now,
                    renewed_at: now,
                })
            }
        }
    }

    fn search_from(&mut self, first: usize, now: Millis) {
        let next = first.min(self.ancestors.len() - 1);
        self.search = Some(Search {
            next,
            at: now,
            pause: FIRST_PAUSE,
        });
    }

    fn due_search(&mut self, now: Millis) -> Option<RelayPeer> {
        let search = self.search.as_mut().filter(|search| now >= search.at)?;
        if let Some(peer) = self.ancestors.get(search.next) {
            search.next += 1;
            search.at = now + ASK_TIMEOUT;
            return Some(peer.clone());
        }
        search.next = 0;
        search.at = now + search.pause;
        search.pause = LONGEST_PAUSE.min(search.pause * 2);
        None
    }

    fn due_lack(&mut self, now: Millis) -> Option<RelayPeer> {
        let lack = self.lack.as_mut().filter(|lack| now >= lack.at)?;
        let candidates: Vec<&RelayPeer> = lack.holder.iter().chain(&self.ancestors).collect();
        let peer = candidates[lack.asked % candidates.len()].clone();
        lack.asked += 1;
        lack.at = now + LACK_RETRY;
        Some(peer)
    }

    fn due_renewal(&mut self, now: Millis) -> Option<RelayPeer> {
        let adopter = self
            .adopter
            .as_mut()
            .filter(|adopter| now >= adopter.renewed_at + RENEWAL)?;
        let has_parent = self.parent_at.is_some_and(|at| now < at + SILENCE);
        if has_parent || now >= adopter.heard_at + SILENCE {
            self.adopter = None;
            return None;
        }
        adopter.renewed_at = now;
        Some(adopter.peer.clone())
    }
}
