//! Encodes delivery marks with a checksum. Without it, a flipped bit would move usage between the totals of
//! served operations and those in doubt.

use crate::marks::Marks;

const CHECKSUM_BYTES: usize = 16;

fn checksum(epoch: u64, body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hash = blake3::Hasher::new();
    hash.update(&epoch.to_le_bytes()).update(body);
    let mut truncated = [0; CHECKSUM_BYTES];
    truncated.copy_from_slice(&hash.finalize().as_bytes()[..CHECKSUM_BYTES]);
    truncated
}

pub(super) fn to_bytes(epoch: u64, marks: &Marks) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(marks).expect("a plain struct can always be encoded");
    bytes.extend_from_slice(&checksum(epoch, &bytes));
    bytes
}

/// Decodes delivery marks. Returns `None` if the checksum does not match or the bytes cannot be decoded.
pub(super) fn from_bytes(epoch: u64, bytes: &[u8]) -> Option<Marks> {
    let (body, stored) = bytes.split_at(bytes.len().checked_sub(CHECKSUM_BYTES)?);
    (checksum(epoch, body) == *stored).then(|| postcard::from_bytes(body).ok())?
}

/// Computes the checksum of a name and its id.
pub(super) fn name_checksum(id: u32, name: &str) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&id.to_le_bytes());
    checksum.update(name.as_bytes());
    checksum.finalize()
}
