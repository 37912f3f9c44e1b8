//! What is known of answers, as bytes under a checksum: a changed bit would move sums between served and in doubt.

use crate::marks::Marks;

const SUM: usize = 16;

fn sum(epoch: u64, body: &[u8]) -> [u8; SUM] {
    let mut hash = blake3::Hasher::new();
    hash.update(&epoch.to_le_bytes()).update(body);
    let mut short = [0; SUM];
    short.copy_from_slice(&hash.finalize().as_bytes()[..SUM]);
    short
}

pub(super) fn to_bytes(epoch: u64, marks: &Marks) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(marks).expect("a plain struct can always be encoded");
    bytes.extend_from_slice(&sum(epoch, &bytes));
    bytes
}

/// None if these are not the bytes that were written.
pub(super) fn from_bytes(epoch: u64, bytes: &[u8]) -> Option<Marks> {
    let (body, found) = bytes.split_at(bytes.len().checked_sub(SUM)?);
    (sum(epoch, body) == *found).then(|| postcard::from_bytes(body).ok())?
}

/// The checksum of a name and its number.
pub(super) fn name(id: u32, name: &str) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&id.to_le_bytes());
    sum.update(name.as_bytes());
    sum.finalize()
}
