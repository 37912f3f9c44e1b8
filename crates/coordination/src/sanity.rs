//! Refuses messages whose numbers or lists no sound machine would send, so that no later step has to fear them.

use crate::message::Message;
use crate::times::MOST_MEMBERS;
use crate::types::{EpochRecord, LogPosition, ProposalNumber};
use streamusher_protocol::Millis;

/// Counted numbers stay far below; above this, JSON readers lose digits.
const MOST_NUMBER: u64 = 1 << 53;
/// Replicas: at most all members, and as many former ones whose disks were lost.
const MOST_REPLICAS: usize = 2 * MOST_MEMBERS;

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Insane {
    /// A number is too high.
    #[error("a number is above 2^53: look for damage on the way, or a machine of another version")]
    Number,
    /// A record contradicts itself.
    #[error("a record has no or too many members, or members twice: look for a machine of another version")]
    Record,
}

impl Message {
    /// Whether the message may be taken.
    pub(crate) fn check(&self) -> Result<(), Insane> {
        match self {
            Message::Hello { epoch, .. } => number(*epoch),
            Message::Decided { record } => check_record(record),
            Message::Prepare { base, ballot } => check_record(base).and(check_ballot(ballot)),
            Message::Promised {
                instance,
                ballot,
                accepted,
                position,
                ..
            } => {
                number(*instance)
                    .and(check_ballot(ballot))
                    .and(check_position(position))?;
                let Some((ballot, record)) = accepted else {
                    return Ok(());
                };
                check_ballot(ballot).and(check_record(record))
            }
            Message::Accept {
                base,
                ballot,
                value,
            } => check_record(base)
                .and(check_record(value))
                .and(check_ballot(ballot)),
            Message::Accepted {
                instance, ballot, ..
            } => number(*instance).and(check_ballot(ballot)),
            Message::Refused { instance, promise } => number(*instance).and(check_ballot(promise)),
            Message::Keepalive { record, sent } => check_record(record).and(check_time(*sent)),
            Message::Alive {
                reign,
                sent,
                position,
                recorded,
                ..
            } => {
                number(*reign).and(number(*recorded))?;
                check_time(*sent).and(check_position(position))
            }
            Message::Append {
                epoch,
                reign,
                batch,
                ..
            } => {
                number(*epoch).and(number(*reign))?;
                check_position(&batch.previous).and(check_position(&batch.position))
            }
            Message::Synced {
                reign, position, ..
            } => number(*reign).and(check_position(position)),
            Message::Copy {
                epoch,
                reign,
                copy,
                index,
                position,
                ..
            } => {
                number(*epoch).and(number(*reign)).and(number(*copy))?;
                number(*index).and(check_position(position))
            }
            Message::CopyNext { copy, next, .. } => number(*copy).and(number(*next)),
            Message::Vacant { reign, .. } => number(*reign),
        }
    }
}

fn number(value: u64) -> Result<(), Insane> {
    if value > MOST_NUMBER {
        return Err(Insane::Number);
    }
    Ok(())
}

fn check_time(time: Millis) -> Result<(), Insane> {
    number(time)
}

fn check_position(position: &LogPosition) -> Result<(), Insane> {
    number(position.epoch).and(number(position.sequence))
}

fn check_ballot(ballot: &ProposalNumber) -> Result<(), Insane> {
    number(ballot.round).and(number(ballot.start))
}

fn check_record(record: &EpochRecord) -> Result<(), Insane> {
    number(record.epoch).and(number(record.term))?;
    let count = record.members.len();
    let is_twice = |index: usize| {
        let (member, others) = (&record.members[index], &record.members[index + 1..]);
        others.iter().any(|other| other.id == member.id)
    };
    let has_twice = count <= MOST_MEMBERS && (0..count).any(is_twice);
    let is_sized = (1..=MOST_MEMBERS).contains(&count) && record.replicas.len() <= MOST_REPLICAS;
    if !is_sized || has_twice || record.term > record.epoch {
        return Err(Insane::Record);
    }
    Ok(())
}
