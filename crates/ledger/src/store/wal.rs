//! Finds damage in the database's log of changes that the database itself takes for the end of the log.
//!
//! SQLite reads its write-ahead log up to the first frame whose checksum does not fit: what a crash left half-written
//! looks the same as a byte that changed later, and all commits behind it would be gone without a word. But a commit
//! begins only once the one before it is on the disk, so at most one may be torn: two that cannot be read were both
//! answered for. The form of the log is <https://www.sqlite.org/fileformat2.html#the_write_ahead_log>.

use std::fs::File;
use std::io::{self, BufReader, Read};
use std::path::Path;

const HEAD: usize = 32;
const FRAME: usize = 24;
/// Checksums are over big-endian words with the last bit set, little-endian ones without.
const MAGIC: u32 = 0x377f_0682;

fn word(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// The running checksum, over eight bytes at a time.
fn sum(bytes: &[u8], big: bool, mut s: (u32, u32)) -> (u32, u32) {
    let read = |b: &[u8]| {
        let b = [b[0], b[1], b[2], b[3]];
        if big {
            u32::from_be_bytes(b)
        } else {
            u32::from_le_bytes(b)
        }
    };
    for pair in bytes.chunks_exact(8) {
        s.0 = s.0.wrapping_add(read(&pair[..4])).wrapping_add(s.1);
        s.1 = s.1.wrapping_add(read(&pair[4..])).wrapping_add(s.0);
    }
    s
}

/// Commits of the log that was written last which its reader would leave out; one of them may be torn.
pub(super) fn commits_cut_off(path: &Path) -> io::Result<usize> {
    let Ok(file) = File::open(path) else {
        return Ok(0);
    };
    let mut file = BufReader::with_capacity(1 << 16, file);
    let mut head = [0; HEAD];
    if file.read_exact(&mut head).is_err() || word(&head, 0) & !1 != MAGIC {
        return Ok(0);
    }
    let big = word(&head, 0) & 1 == 1;
    let page = word(&head, 8) as usize;
    if !(512..=65_536).contains(&page) || !page.is_power_of_two() {
        return Ok(0);
    }
    let salt = &head[16..24];
    let mut running = sum(&head[..24], big, (0, 0));
    // A head that does not fit: its reader takes nothing of the log.
    let mut whole = running == (word(&head, 24), word(&head, 28));
    let (mut frame, mut cut_off) = (vec![0; FRAME + page], 0);
    while file.read_exact(&mut frame).is_ok() {
        let ours = &frame[8..16] == salt;
        if whole {
            running = sum(&frame[..8], big, running);
            running = sum(&frame[FRAME..], big, running);
            whole = ours && running == (word(&frame, 16), word(&frame, 20));
        }
        // Frames with other salts are left from a log before this one.
        let commits = word(&frame, 4) != 0;
        cut_off += usize::from(!whole && ours && commits);
    }
    Ok(cut_off)
}
