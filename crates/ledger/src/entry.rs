//! Ledger entries and their encoding. Each final answer is recorded as one entry.
//!
//! A block holds consecutive entries of one epoch and one period, written by one commit. Each entry has its
//! own checksum, so a changed byte can be attributed to a single entry.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Microseconds: Unix time for points in time, a plain duration otherwise.
pub type Micros = u64;

/// Outcome of an operation, as answered to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Answered with a worker's result.
    Served,
    /// Answered with a busy reply. Attempts that ran are not billed.
    Busy,
    /// Answered with a failure.
    Failed,
    /// The client disconnected before there was an answer.
    Gone,
}

/// Keyed hash of an idempotency key. The key itself is never stored in a ledger.
pub type KeyHash = [u8; 16];

/// Record of one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Sequence number within the epoch, starting at 1.
    pub seq: u64,
    /// System clock time of the answer, in microseconds of Unix time.
    pub time_us: Micros,
    /// Operation id chosen by the client.
    pub operation: String,
    /// Tenant that the operation is billed to.
    pub tenant: Arc<str>,
    /// Service class of the operation.
    pub class: Arc<str>,
    /// Outcome of the operation.
    pub answer: Answer,
    /// Whether this was a repeated request that received the answer of an earlier operation. No attempt ran
    /// for it.
    pub joined: bool,
    /// Slots used by the operation, in thousandths.
    pub slots_milli: u32,
    /// Running time of the attempt that gave the answer.
    pub run_us: Micros,
    /// Total running time of all other attempts.
    pub wasted_us: Micros,
    /// Number of attempts sent to workers.
    pub attempts: u32,
    /// Hash of the idempotency key, which identifies repeats of the same request. `None` if the client sent
    /// no key.
    pub key: Option<KeyHash>,
}

/// Converts thousandths of slots times microseconds to slot-microseconds, rounded to the nearest.
fn slot_us(slots_milli: u32, run_us: Micros) -> u64 {
    let exact = u128::from(slots_milli) * u128::from(run_us);
    u64::try_from((exact + 500) / 1_000).unwrap_or(u64::MAX)
}

/// Hashes an idempotency key under the ledger's key. Instances that share the ledger's key get the same hash
/// for the same idempotency key.
pub fn key_hash(ledger_key: &[u8; 32], idempotency_key: &str) -> KeyHash {
    let full_hash = blake3::keyed_hash(ledger_key, idempotency_key.as_bytes());
    let mut hash = KeyHash::default();
    hash.copy_from_slice(&full_hash.as_bytes()[..16]);
    hash
}

/// Encoded operation id. Most ids are hex digits, which are stored in half as many bytes.
#[derive(Serialize, Deserialize)]
enum Id<'a> {
    Hex(#[serde(borrow)] &'a [u8]),
    Text(&'a str),
}

/// Encoded entry. Sequence number and time are differences to the preceding entry; tenant and class are ids
/// from the table of names.
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

/// Bit of `Packed::answer` that marks a repeated request (`Entry::joined`).
const JOINED: u8 = 0x80;

const ANSWERS: [Answer; 4] = [Answer::Served, Answer::Busy, Answer::Failed, Answer::Gone];

/// A decoded entry whose tenant and class are still numeric ids, which suffices to compute totals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// See [`Entry::seq`].
    pub seq: u64,
    /// See [`Entry::time_us`].
    pub time_us: Micros,
    /// Id of the tenant's name.
    pub tenant: u32,
    /// Id of the class's name.
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
    /// Billable usage in slot-microseconds, rounded to the nearest. 0 unless the operation was served.
    pub fn slot_us(&self) -> u64 {
        if self.answer == Answer::Served {
            slot_us(self.slots_milli, self.run_us)
        } else {
            0
        }
    }

    /// Creates the row for an entry whose names have the ids `tenant` and `class`.
    pub fn from_entry(entry: &Entry, tenant: u32, class: u32) -> Row {
        Row {
            seq: entry.seq,
            time_us: entry.time_us,
            tenant,
            class,
            answer: entry.answer,
            joined: entry.joined,
            slots_milli: entry.slots_milli,
            run_us: entry.run_us,
            wasted_us: entry.wasted_us,
            attempts: entry.attempts,
            operation: entry.operation.clone(),
            key: entry.key,
        }
    }
}

/// Appends the encoding of one row to `out`. `previous` is the sequence number and time of the preceding row.
pub fn pack(row: &Row, previous: (u64, Micros), out: &mut Vec<u8>) {
    let mut hex_buffer = [0; 64];
    let answer = ANSWERS.iter().position(|a| *a == row.answer).unwrap_or(0) as u8;
    let packed = Packed {
        seq_step: row.seq - previous.0,
        time_step: row.time_us.wrapping_sub(previous.1) as i64,
        tenant: row.tenant,
        class: row.class,
        answer: answer | if row.joined { JOINED } else { 0 },
        slots_milli: row.slots_milli,
        run_us: row.run_us,
        wasted_us: row.wasted_us,
        attempts: row.attempts,
        id: match from_hex(&row.operation, &mut hex_buffer) {
            Some(bytes) => Id::Hex(bytes),
            None => Id::Text(&row.operation),
        },
        key: row.key,
    };
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    let bytes = postcard::to_extend(&packed, std::mem::take(out));
    *out = bytes.expect("appending to a vector cannot fail");
    let checksum = crc32fast::hash(&out[start + 4..]);
    out[start..start + 4].copy_from_slice(&checksum.to_le_bytes());
}

/// Decodes the rows of a block. Iteration ends after the first damaged row, which is returned as an error
/// with its index.
pub struct RowReader<'a> {
    rest: &'a [u8],
    previous: (u64, Micros),
    index: u64,
}

/// A row does not match its checksum or cannot be decoded. Holds the index of the row in its block, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DamagedRow(pub u64);

impl<'a> RowReader<'a> {
    /// Reads the encoded `block`. `previous` is the sequence number and time that its first row is relative to,
    /// as in [`pack`].
    pub fn new(block: &'a [u8], previous: (u64, Micros)) -> RowReader<'a> {
        RowReader {
            rest: block,
            previous,
            index: 0,
        }
    }

    fn row(&mut self) -> Option<Row> {
        let (checksum, rest) = self.rest.split_first_chunk::<4>()?;
        let (packed, remaining) = postcard::take_from_bytes::<Packed>(rest).ok()?;
        if crc32fast::hash(&rest[..rest.len() - remaining.len()]) != u32::from_le_bytes(*checksum) {
            return None;
        }
        self.rest = remaining;
        let row = Row {
            seq: self.previous.0.checked_add(packed.seq_step)?,
            time_us: self.previous.1.wrapping_add(packed.time_step as u64),
            tenant: packed.tenant,
            class: packed.class,
            answer: *ANSWERS.get(usize::from(packed.answer & !JOINED))?,
            joined: packed.answer & JOINED != 0,
            slots_milli: packed.slots_milli,
            run_us: packed.run_us,
            wasted_us: packed.wasted_us,
            attempts: packed.attempts,
            operation: match packed.id {
                Id::Hex(bytes) => to_hex(bytes),
                Id::Text(text) => text.to_string(),
            },
            key: packed.key,
        };
        self.previous = (row.seq, row.time_us);
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

/// Decodes lower-case hex digits. Returns `None` if `text` is empty, has other characters, an odd length or
/// more than 128 digits.
fn from_hex<'b>(text: &str, buffer: &'b mut [u8; 64]) -> Option<&'b [u8]> {
    let digit = |b: u8| match b {
        b'0'..=b'9' => Some(b - b'0'),
        b'a'..=b'f' => Some(b - b'a' + 10),
        _ => None,
    };
    let text = text.as_bytes();
    if text.is_empty() || !text.len().is_multiple_of(2) || text.len() > 128 {
        return None;
    }
    for (pair, byte) in text.chunks(2).zip(buffer.iter_mut()) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(&buffer[..text.len() / 2])
}

/// Encodes bytes as lower-case hex digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for b in bytes {
        text.push(char::from(DIGITS[usize::from(b >> 4)]));
        text.push(char::from(DIGITS[usize::from(b & 15)]));
    }
    text
}
