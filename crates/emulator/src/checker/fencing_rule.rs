//! DUTY: a process that was refused because another one has used a higher fencing token does not go on with a lower one.
//!
//! Three calls, and any within a lease of the refusal, may be on their way; more are a breach (the operators' rule). Tokens are
//! compared within one matter and one life of the calling process.

use super::state::Checker;
use super::violation::Rule;
use crate::network::MachineId;
use std::collections::BTreeMap;
use std::fmt;
use streamusher_coordination::{Message, ProposalNumber};
use streamusher_protocol::Millis;

/// So many calls with a refused token are no breach.
const MAX_CALLS_AFTER_REFUSAL: u32 = 3;

/// One life of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FencedCaller {
    pub(crate) machine: MachineId,
    pub(crate) boot: u64,
}

/// What tokens are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Matter {
    /// Keepalives, data and proposals of a control machine, by the epoch of its newest record.
    Record,
    /// Proposals of the record of this epoch, by their numbers.
    Proposal { epoch: u64 },
    /// Requests of a gate or an agent to the primary, by the newest epoch that it knows.
    PrimaryRequest,
}

/// A fencing token. Tokens of one matter are of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FencingToken {
    Epoch(u64),
    Proposal(ProposalNumber),
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FencingToken::Epoch(epoch) => write!(f, "epoch {epoch}"),
            FencingToken::Proposal(number) => write!(f, "proposal {number:?}"),
        }
    }
}

/// A higher token of another process became known to the caller.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    token: FencingToken,
    learned_at: Millis,
}

/// The refusals of one caller on one matter, and what it has done since.
#[derive(Debug, Default)]
struct RefusedCaller {
    /// In the order of their times and of their tokens.
    refusals: Vec<Refusal>,
    late_calls: u32,
}

impl RefusedCaller {
    fn on_refused(&mut self, refusal: Refusal) {
        let is_higher = self
            .refusals
            .last()
            .is_none_or(|last| refusal.token > last.token);
        if is_higher {
            self.refusals.push(refusal);
        }
    }

    /// When a token above this one became known.
    fn refused_at(&self, token: FencingToken) -> Option<Millis> {
        let refusal = self.refusals.iter().find(|refusal| refusal.token > token);
        refusal.map(|refusal| refusal.learned_at)
    }
}

/// All refusals of a simulation.
#[derive(Debug, Default)]
pub(super) struct FencingHistory {
    callers: BTreeMap<(FencedCaller, Matter), RefusedCaller>,
}

impl Checker {
    /// A process learns that another one has used this token.
    pub(crate) fn on_token_refused(
        &mut self,
        now: Millis,
        caller: FencedCaller,
        matter: Matter,
        token: FencingToken,
    ) {
        let refusal = Refusal {
            token,
            learned_at: now,
        };
        let key = (caller, matter);
        let refused = self.fencing.callers.entry(key).or_default();
        refused.on_refused(refusal);
    }

    /// A process calls or commands with this token.
    pub(crate) fn on_fenced_call(
        &mut self,
        now: Millis,
        caller: FencedCaller,
        matter: Matter,
        token: FencingToken,
    ) {
        let Some(refused) = self.fencing.callers.get_mut(&(caller, matter)) else {
            return;
        };
        let Some(refused_at) = refused.refused_at(token) else {
            return;
        };
        if now <= refused_at + self.lease_ms {
            return;
        }
        refused.late_calls += 1;
        if refused.late_calls > MAX_CALLS_AFTER_REFUSAL {
            let text = format!(
                "machine {} goes on with {token} of {matter:?}, refused at {refused_at} ms",
                caller.machine
            );
            self.report(now, Rule::Duty, text);
        }
    }

    /// A control machine sends a message to another one.
    pub(crate) fn on_control_message_sent(
        &mut self,
        now: Millis,
        caller: FencedCaller,
        message: &Message,
    ) {
        match message {
            Message::Keepalive { record, .. } => self.on_record_call(now, caller, record.epoch),
            Message::Append { epoch, .. } => self.on_record_call(now, caller, *epoch),
            Message::SnapshotPart(part) => self.on_record_call(now, caller, part.epoch),
            Message::Prepare { base, number } | Message::Accept { base, number, .. } => {
                self.on_record_call(now, caller, base.epoch);
                let matter = Matter::Proposal {
                    epoch: base.epoch + 1,
                };
                self.on_fenced_call(now, caller, matter, FencingToken::Proposal(*number));
            }
            _ => {}
        }
    }

    fn on_record_call(&mut self, now: Millis, caller: FencedCaller, epoch: u64) {
        self.on_fenced_call(now, caller, Matter::Record, FencingToken::Epoch(epoch));
    }

    /// A control machine receives a message of another one.
    pub(crate) fn on_control_message_received(
        &mut self,
        now: Millis,
        caller: FencedCaller,
        message: &Message,
    ) {
        match message {
            Message::Decided { record } | Message::Keepalive { record, .. } => {
                let token = FencingToken::Epoch(record.epoch);
                self.on_token_refused(now, caller, Matter::Record, token);
            }
            Message::Rejected { instance, promise } => {
                let matter = Matter::Proposal { epoch: *instance };
                let token = FencingToken::Proposal(*promise);
                self.on_token_refused(now, caller, matter, token);
            }
            _ => {}
        }
    }
}
