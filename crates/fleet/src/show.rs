//! What operators are shown of one member.

use crate::life::Micros;
use crate::members::{Member, Standing};
use crate::node::Node;
use crate::purse::Purse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Another member, as one sees it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Seen {
    /// Its name.
    pub name: String,
    /// Its life's number.
    pub life: u64,
    /// How sure it is that it is there.
    pub standing: Standing,
    /// For how long nothing was heard from it; none, if nothing ever was.
    pub silent_ms: Option<u64>,
    /// Changes of own counts that it is not known to hold.
    pub lag: u64,
}

/// Rights of one budget.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Held {
    /// Whose.
    pub name: String,
    /// Over the whole fleet.
    pub units: u64,
    /// Own ones, those lent not counted.
    pub own: u64,
    /// Borrowed ones.
    pub borrowed: u64,
    /// In use.
    pub used: u64,
    /// Lent, by life.
    pub lent: Vec<(String, u64)>,
    /// Borrowed, by member.
    pub from: Vec<(String, u64)>,
}

/// One member's state, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Show {
    /// Its name.
    pub name: String,
    /// Its life's number.
    pub life: u64,
    /// A later life of its name is there.
    pub replaced: bool,
    /// It was stopped, and has not heard the others since.
    pub stale: bool,
    /// Times that it learnt it was thought dead.
    pub thought_dead: u64,
    /// Members that came up or went down, as it saw it.
    pub membership_changes: u64,
    /// The others.
    pub members: Vec<Seen>,
    /// Rights.
    pub budgets: Vec<Held>,
    /// Its own part of the budgets has come in.
    pub seated: bool,
    /// The tally's.
    pub digest: String,
    /// Lives held in detail.
    pub lives: usize,
    /// Rows of counts.
    pub rows: usize,
    /// Rows of folded lives that came late.
    pub refused_late: u64,
    /// Observations of core workers, its own and others'.
    pub observations: usize,
    /// Frames taken.
    pub frames: u64,
    /// Frames set aside, by cause.
    pub bad: BTreeMap<String, u64>,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Frames sent.
    pub sent_frames: u64,
}

impl Node {
    /// What operators are shown of this member.
    pub fn show(&self, now: Micros) -> Show {
        let version = self.counts.version();
        let member = |(m, standing): (&Member, Standing)| {
            let peer = self.peers.get(&m.name);
            Seen {
                name: m.name.to_string(),
                life: m.no,
                standing,
                silent_ms: peer
                    .filter(|p| p.heard > 0)
                    .map(|p| now.saturating_sub(p.heard) / 1_000),
                lag: peer.map_or(version, |p| version.saturating_sub(p.have)),
            }
        };
        let mut members: Vec<Seen> = self.members.all().map(member).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let terms = self.rights.terms();
        let budget = |(b, pocket): (usize, &Arc<Purse>)| {
            let ((own, borrowed), (lent, from)) = (pocket.rights(), self.rights.books(b));
            let name = terms.budgets[b].name.to_string();
            let units = terms.budgets[b].units;
            Held {
                name,
                units,
                own,
                borrowed,
                used: pocket.used(),
                lent,
                from,
            }
        };
        let (lives, rows) = self.counts.size();
        Show {
            name: self.setup.me.name.to_string(),
            life: self.setup.me.no,
            replaced: self.replaced,
            stale: self.stale.is_some(),
            thought_dead: self.thought_dead,
            membership_changes: self.members.changes,
            members,
            budgets: self.rights.pockets.iter().enumerate().map(budget).collect(),
            seated: self.rights.seated(),
            digest: self.counts.tally().digest,
            lives,
            rows,
            refused_late: self.counts.refused_late,
            observations: self.judge.len(),
            frames: self.frames,
            bad: self.bad.iter().fold(BTreeMap::new(), |mut all, (bad, n)| {
                *all.entry(bad.to_string()).or_default() += n;
                all
            }),
            sent_bytes: self.sent.0,
            sent_frames: self.sent.1,
        }
    }
}
