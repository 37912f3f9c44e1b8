//! Validation of received messages: rejects numbers and lists that no correct member sends, so that later
//! steps need not check them.

use crate::acceptor::ProposalNumber;
use crate::batch::LogPosition;
use crate::limits::MAX_MEMBERS;
use crate::message::{KeepaliveAck, Message, SnapshotPart};
use crate::record::EpochRecord;
use std::sync::Arc;

/// Maximum value of a counter. Counters stay far below it; above it, JSON readers lose digits.
const MAX_NUMBER: u64 = 1 << 53;
/// Maximum number of replicas: all members, and as many former members whose disks were lost.
const MAX_REPLICAS: usize = 2 * MAX_MEMBERS;

/// Reason why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidMessage {
    /// A number exceeds [`MAX_NUMBER`].
    #[error("a number is above 2^53: check for corruption in transit or a machine with an incompatible version")]
    NumberTooHigh,
    /// A record is inconsistent: its members, its number of replicas or its term.
    #[error("a record is inconsistent (no members, too many members or replicas, a duplicate member, or a term above its epoch): check for a machine with an incompatible version")]
    InconsistentRecord,
}

impl Message {
    /// Checks all numbers and records of the message.
    ///
    /// # Errors
    ///
    /// Returns the first number or record that no correct member sends.
    pub(crate) fn validate(&self) -> Result<(), InvalidMessage> {
        match self {
            Message::Hello { epoch, .. } => check_numbers(&[*epoch]),
            Message::Decided { record } => check_record(record),
            Message::Prepare { base, number } => {
                check_record(base)?;
                check_proposal_number(number)
            }
            Message::Promised {
                instance,
                number,
                accepted,
                position,
                ..
            } => {
                check_numbers(&[*instance])?;
                check_proposal_number(number)?;
                check_position(position)?;
                check_accepted(accepted.as_ref())
            }
            Message::Accept {
                base,
                number,
                value,
            } => {
                check_record(base)?;
                check_record(value)?;
                check_proposal_number(number)
            }
            Message::Accepted {
                instance, number, ..
            } => {
                check_numbers(&[*instance])?;
                check_proposal_number(number)
            }
            Message::Rejected { instance, promise } => {
                check_numbers(&[*instance])?;
                check_proposal_number(promise)
            }
            Message::Keepalive { record, sent_ms } => {
                check_record(record)?;
                check_numbers(&[*sent_ms])
            }
            Message::KeepaliveAck(ack) => check_keepalive_ack(ack),
            Message::Append {
                epoch, term, batch, ..
            } => {
                check_numbers(&[*epoch, *term])?;
                check_position(&batch.previous)?;
                check_position(&batch.position)
            }
            Message::Synced { term, position, .. } => {
                check_numbers(&[*term])?;
                check_position(position)
            }
            Message::SnapshotPart(part) => check_snapshot_part(part),
            Message::SnapshotAck { snapshot, next, .. } => check_numbers(&[*snapshot, *next]),
            Message::TermEnded { term, .. } => check_numbers(&[*term]),
        }
    }
}

fn check_numbers(numbers: &[u64]) -> Result<(), InvalidMessage> {
    if numbers.iter().any(|number| *number > MAX_NUMBER) {
        return Err(InvalidMessage::NumberTooHigh);
    }
    Ok(())
}

fn check_position(position: &LogPosition) -> Result<(), InvalidMessage> {
    check_numbers(&[position.epoch, position.sequence])
}

fn check_proposal_number(number: &ProposalNumber) -> Result<(), InvalidMessage> {
    check_numbers(&[number.round, number.start])
}

fn check_accepted(
    accepted: Option<&(ProposalNumber, Arc<EpochRecord>)>,
) -> Result<(), InvalidMessage> {
    let Some((number, record)) = accepted else {
        return Ok(());
    };
    check_proposal_number(number)?;
    check_record(record)
}

fn check_keepalive_ack(ack: &KeepaliveAck) -> Result<(), InvalidMessage> {
    check_numbers(&[ack.term, ack.recorded_epoch, ack.sent_ms])?;
    check_position(&ack.position)
}

fn check_snapshot_part(part: &SnapshotPart) -> Result<(), InvalidMessage> {
    check_numbers(&[part.epoch, part.term, part.snapshot, part.index])?;
    check_position(&part.position)
}

fn check_record(record: &EpochRecord) -> Result<(), InvalidMessage> {
    check_numbers(&[record.epoch, record.term])?;
    let member_count = record.members.len();
    let is_sized =
        (1..=MAX_MEMBERS).contains(&member_count) && record.replicas.len() <= MAX_REPLICAS;
    if !is_sized || has_member_twice(record) || record.term > record.epoch {
        return Err(InvalidMessage::InconsistentRecord);
    }
    Ok(())
}

/// Whether two members have the same disk id. Compares every pair, so the number of members must be checked
/// before.
fn has_member_twice(record: &EpochRecord) -> bool {
    record.members.iter().enumerate().any(|(index, member)| {
        let others = &record.members[index + 1..];
        others.iter().any(|other| other.id == member.id)
    })
}
