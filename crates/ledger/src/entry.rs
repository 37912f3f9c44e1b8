//! What is booked: one entry for each final answer, and the bytes that it takes in a block.
//!
//! A block is a run of entries of one epoch and one period, as one commit wrote them. Each entry carries a checksum of
//! its own, so that a changed byte can be laid at one entry's door.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Microseconds: of Unix time for points in time, plain for spans.
pub type Micros = u64;

/// How an operation was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// With a worker's result.
    Served,
    /// With a busy reply: nothing that ran counts.
    Busy,
    /// It failed.
    Failed,
    /// Its client had gone away before there was an answer.
    Gone,
}

/// The keyed hash of an idempotency key: the key itself enters no ledger.
pub type KeyHash = [u8; 16];

/// One final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number in its epoch, from 1.
    pub seq: u64,
    /// When it was answered, in Unix time by the system's clock.
    pub time_us: Micros,
    /// The operation's id, as its client chose it.
    pub operation: String,
    /// Whose it was.
    pub tenant: Arc<str>,
    /// Its class.
    pub class: Arc<str>,
    /// How it was answered.
    pub answer: Answer,
    /// It was a repeat that took the answer of an earlier operation; nothing ran for it.
    pub joined: bool,
    /// Thousandths of slots.
    pub slots_milli: u32,
    /// How long the attempt ran that gave the answer.
    pub run_us: Micros,
    /// How long all its other attempts ran.
    pub wasted_us: Micros,
    /// Attempts sent.
    pub attempts: u32,
    /// What it has in common with its repeats.
    pub key: Option<KeyHash>,
}

/// Thousandths of slots times microseconds, in slot-microseconds, rounded to the nearest.
fn slot_us(slots_milli: u32, run_us: Micros) -> u64 {
    let exact = u128::from(slots_milli) * u128::from(run_us);
    u64::try_from((exact + 500) / 1_000).unwrap_or(u64::MAX)
}

/// The hash of an idempotency key under the ledger's key. Instances that share the key find each other's repeats.
pub fn key_hash(ledger_key: &[u8; 32], idempotency_key: &str) -> KeyHash {
    let whole = blake3::keyed_hash(ledger_key, idempotency_key.as_bytes());
    let mut short = KeyHash::default();
    short.copy_from_slice(&whole.as_bytes()[..16]);
    short
}

/// An operation's id in a block: most are hex digits, which take half their bytes.
#[derive(Serialize, Deserialize)]
enum Id<'a> {
    Hex(#[serde(borrow)] &'a [u8]),
    Text(&'a str),
}

/// An entry in a block, by differences to the one before. Names are numbers.
#[derive(Serialize, Deserialize)]
struct Packed<'a> {
    seq_step: u64,
    time_step: i64,
    tenant: u32,
    class: u32,
    answer: u8,
    slots_milli: u32,
    run_us: u64,
    wasted_us: u64,
    attempts: u32,
    #[serde(borrow)]
    id: Id<'a>,
    key: Option<KeyHash>,
}

/// Set in `Packed::answer` for a joined repeat.
const JOINED: u8 = 0x80;

const ANSWERS: [Answer; 4] = [Answer::Served, Answer::Busy, Answer::Failed, Answer::Gone];

/// An entry of a block with its names still numbers, as sums need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// See [`Entry::seq`].
    pub seq: u64,
    /// See [`Entry::time_us`].
    pub time_us: Micros,
    /// The number of the tenant's name.
    pub tenant: u32,
    /// The number of the class's name.
    pub class: u32,
    /// See [`Entry::answer`].
    pub answer: Answer,
    /// See [`Entry::joined`].
    pub joined: bool,
    /// See [`Entry::slots_milli`].
    pub slots_milli: u32,
    /// See [`Entry::run_us`].
    pub run_us: Micros,
    /// See [`Entry::wasted_us`].
    pub wasted_us: Micros,
    /// See [`Entry::attempts`].
    pub attempts: u32,
    /// See [`Entry::operation`].
    pub operation: String,
    /// See [`Entry::key`].
    pub key: Option<KeyHash>,
}

impl Row {
    /// What is billed for it, in slot-microseconds, rounded to the nearest: nothing unless it was served.
    pub fn slot_us(&self) -> u64 {
        if self.answer == Answer::Served {
            slot_us(self.slots_milli, self.run_us)
        } else {
            0
        }
    }

    /// A row of an entry, with the numbers of its names.
    pub fn from_entry(e: &Entry, tenant: u32, class: u32) -> Row {
        Row {
            seq: e.seq,
            time_us: e.time_us,
            tenant,
            class,
            answer: e.answer,
            joined: e.joined,
            slots_milli: e.slots_milli,
            run_us: e.run_us,
            wasted_us: e.wasted_us,
            attempts: e.attempts,
            operation: e.operation.clone(),
            key: e.key,
        }
    }
}

/// Appends one row to a block. `before` is the row in front of it: its number and time.
pub fn pack(row: &Row, before: (u64, Micros), out: &mut Vec<u8>) {
    let mut half = [0; 64];
    let answer = ANSWERS.iter().position(|a| *a == row.answer).unwrap_or(0) as u8;
    let packed = Packed {
        seq_step: row.seq - before.0,
        time_step: row.time_us.wrapping_sub(before.1) as i64,
        tenant: row.tenant,
        class: row.class,
        answer: answer | if row.joined { JOINED } else { 0 },
        slots_milli: row.slots_milli,
        run_us: row.run_us,
        wasted_us: row.wasted_us,
        attempts: row.attempts,
        id: match from_hex(&row.operation, &mut half) {
            Some(bytes) => Id::Hex(bytes),
            None => Id::Text(&row.operation),
        },
        key: row.key,
    };
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    let bytes = postcard::to_extend(&packed, std::mem::take(out));
    *out = bytes.expect("a vector takes all of it");
    let sum = crc32fast::hash(&out[start + 4..]);
    out[start..start + 4].copy_from_slice(&sum.to_le_bytes());
}

/// Reads the rows of a block one by one; the first that is not what was written ends it with its place.
pub struct RowReader<'a> {
    rest: &'a [u8],
    before: (u64, Micros),
    index: u64,
}

/// A row of a block is not what was written: the one at this place, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DamagedRow(pub u64);

impl<'a> RowReader<'a> {
    /// Over a block's bytes; `before` as in [`pack`] for its first row.
    pub fn new(block: &'a [u8], before: (u64, Micros)) -> RowReader<'a> {
        RowReader {
            rest: block,
            before,
            index: 0,
        }
    }

    fn row(&mut self) -> Option<Row> {
        let (sum, rest) = self.rest.split_first_chunk::<4>()?;
        let (p, left) = postcard::take_from_bytes::<Packed>(rest).ok()?;
        if crc32fast::hash(&rest[..rest.len() - left.len()]) != u32::from_le_bytes(*sum) {
            return None;
        }
        self.rest = left;
        let row = Row {
            seq: self.before.0.checked_add(p.seq_step)?,
            time_us: self.before.1.wrapping_add(p.time_step as u64),
            tenant: p.tenant,
            class: p.class,
            answer: *ANSWERS.get(usize::from(p.answer & !JOINED))?,
            joined: p.answer & JOINED != 0,
            slots_milli: p.slots_milli,
            run_us: p.run_us,
            wasted_us: p.wasted_us,
            attempts: p.attempts,
            operation: match p.id {
                Id::Hex(bytes) => to_hex(bytes),
                Id::Text(text) => text.to_string(),
            },
            key: p.key,
        };
        self.before = (row.seq, row.time_us);
        Some(row)
    }
}

impl Iterator for RowReader<'_> {
    type Item = Result<Row, DamagedRow>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let index = self.index;
        self.index += 1;
        let row = self.row().ok_or(DamagedRow(index));
        if row.is_err() {
            self.rest = &[];
        }
        Some(row)
    }
}

/// The bytes of lower-case hex digits; none if these are not, or too many.
fn from_hex<'b>(text: &str, into: &'b mut [u8; 64]) -> Option<&'b [u8]> {
    let digit = |b: u8| match b {
        b'0'..=b'9' => Some(b - b'0'),
        b'a'..=b'f' => Some(b - b'a' + 10),
        _ => None,
    };
    let text = text.as_bytes();
    if text.is_empty() || !text.len().is_multiple_of(2) || text.len() > 128 {
        return None;
    }
    for (pair, byte) in text.chunks(2).zip(into.iter_mut()) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(&into[..text.len() / 2])
}

/// Lower-case hex digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for b in bytes {
        text.push(char::from(DIGITS[usize::from(b >> 4)]));
        text.push(char::from(DIGITS[usize::from(b & 15)]));
    }
    text
}
