//! Detects damage in the write-ahead log that SQLite itself takes for the end of the log.
//!
//! SQLite reads its write-ahead log up to the first frame whose checksum does not match. A commit left
//! incomplete by a crash looks the same as a byte that changed later, and all commits after it would be lost
//! silently. But a commit begins only once the preceding one is on disk, so at most one commit can be torn.
//! If two or more are unreadable, acknowledged commits are affected. The log format is described at
//! <https://www.sqlite.org/fileformat2.html#the_write_ahead_log>.

use std::fs::File;
use std::io::{self, BufReader, Read};
use std::path::Path;

const HEADER_BYTES: usize = 32;
const FRAME_HEADER_BYTES: usize = 24;
/// First word of the log with its last bit cleared. Checksums are over big-endian words if that bit is set,
/// over little-endian words otherwise.
const MAGIC: u32 = 0x377f_0682;

fn word(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}

/// Continues the running checksum over `bytes`, eight bytes at a time.
fn checksum(bytes: &[u8], big_endian: bool, mut state: (u32, u32)) -> (u32, u32) {
    let read = |chunk: &[u8]| {
        let chunk = [chunk[0], chunk[1], chunk[2], chunk[3]];
        if big_endian {
            u32::from_be_bytes(chunk)
        } else {
            u32::from_le_bytes(chunk)
        }
    };
    for pair in bytes.chunks_exact(8) {
        state.0 = state.0.wrapping_add(read(&pair[..4])).wrapping_add(state.1);
        state.1 = state.1.wrapping_add(read(&pair[4..])).wrapping_add(state.0);
    }
    state
}

/// Returns the number of commits in the current log that SQLite would ignore when it reads the log. One of
/// them may be torn.
pub(super) fn ignored_commits(path: &Path) -> io::Result<usize> {
    let Ok(file) = File::open(path) else {
        return Ok(0);
    };
    let mut file = BufReader::with_capacity(1 << 16, file);
    let mut header = [0; HEADER_BYTES];
    if file.read_exact(&mut header).is_err() || word(&header, 0) & !1 != MAGIC {
        return Ok(0);
    }
    let big_endian = word(&header, 0) & 1 == 1;
    let page_size = word(&header, 8) as usize;
    if !(512..=65_536).contains(&page_size) || !page_size.is_power_of_two() {
        return Ok(0);
    }
    let salt = &header[16..24];
    let mut running = checksum(&header[..24], big_endian, (0, 0));
    // If the checksum of the log header does not match, SQLite ignores the whole log.
    let mut valid = running == (word(&header, 24), word(&header, 28));
    let (mut frame, mut ignored) = (vec![0; FRAME_HEADER_BYTES + page_size], 0);
    while file.read_exact(&mut frame).is_ok() {
        let is_current = &frame[8..16] == salt;
        if valid {
            running = checksum(&frame[..8], big_endian, running);
            running = checksum(&frame[FRAME_HEADER_BYTES..], big_endian, running);
            valid = is_current && running == (word(&frame, 16), word(&frame, 20));
        }
        // Frames with other salts remain from an earlier log.
        let is_commit = word(&frame, 4) != 0;
        ignored += usize::from(!valid && is_current && is_commit);
    }
    Ok(ignored)
}
