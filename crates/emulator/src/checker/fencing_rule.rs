//! Rule DUTY: a process whose fencing token was refused, because another process has used a higher one, must
//! not continue to use it.
//!
//! Three calls, and all calls within a lease of the refusal, may have been in flight; further calls are a
//! violation (the operators' rule). Tokens are compared within one scope and one lifetime of the calling
//! process.

use super::state::Checker;
use super::violation::Rule;
use crate::network::MachineId;
use std::collections::BTreeMap;
use std::fmt;
use streamusher_coordination::{Message, ProposalNumber};
use streamusher_protocol::Millis;

/// Number of calls with a refused token that are not a violation.
const MAX_CALLS_AFTER_REFUSAL: u32 = 3;

/// One lifetime of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FencedCaller {
    pub(crate) machine: MachineId,
    pub(crate) boot: u64,
}

/// Scope within which fencing tokens are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Matter {
    /// Keepalives, data and proposals of a control machine; the token is the epoch of its newest record.
    Record,
    /// Proposals of the record of this epoch; the token is the proposal number.
    Proposal { epoch: u64 },
    /// Requests of a gate or an agent to the primary; the token is the newest epoch known to the sender.
    PrimaryRequest,
}

/// A fencing token. All tokens of one scope are of the same variant.
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

/// Observation by the caller of another process's token.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    token: FencingToken,
    learned_at: Millis,
}

/// Refusals of one caller in one scope, and its calls since then.
#[derive(Debug, Default)]
struct RefusedCaller {
    /// Refusals in ascending order of both time and token.
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

    /// Time at which a higher token became known to the caller.
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
    /// Records that a process learns of a token used by another process.
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

    /// Handles a call or command with a fencing token.
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
                "machine {} still uses {token} of {matter:?}, which was refused at {refused_at} ms",
                caller.machine
            );
            self.report(now, Rule::Duty, text);
        }
    }

    /// Handles a message sent from a control machine to another.
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

    /// Handles a message received by a control machine from another.
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
