//! Repair of a journal whose last batch is torn.
//!
//! A batch is written in several steps and then synced. After a loss of power each step of an unsynced batch is there,
//! torn or missing. fjall drops a batch whose end is missing, but refuses a journal whose last batch has its end and not
//! all of its middle. Cutting the last byte of that end turns the second case into the first. Only the last batch can be
//! meant, as each one before it was synced; where an earlier one is damaged the journal is refused again.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// How each batch ends in fjall's journals of format 3.
const BATCH_END: &[u8] = b"FJL\x03";
/// A journal is searched backwards in chunks of this size.
const CHUNK_BYTES: u64 = 64 << 10;
const JOURNAL_SUFFIX: &str = ".jnl";

/// Cuts the last byte of the last batch in the newest journal, and syncs it.
///
/// # Errors
/// The disk refuses, or there is no batch to cut.
pub(super) fn truncate_last_batch(folder: &Path) -> io::Result<()> {
    let journal = newest_journal(folder)?.ok_or(io::ErrorKind::NotFound)?;
    let mut file = OpenOptions::new().read(true).write(true).open(journal)?;
    let end = last_batch_end(&mut file)?.ok_or(io::ErrorKind::InvalidData)?;
    file.set_len(end - 1)?;
    file.sync_all()
}

fn newest_journal(folder: &Path) -> io::Result<Option<PathBuf>> {
    let mut newest: Option<(u64, PathBuf)> = None;
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let Some(number) = journal_number(&path) else {
            continue;
        };
        let is_newer = newest
            .as_ref()
            .is_none_or(|(newest_number, _)| number > *newest_number);
        if is_newer {
            newest = Some((number, path));
        }
    }
    Ok(newest.map(|(_, path)| path))
}

/// The number in a journal's name, `NUMBER.jnl`; none for other files.
fn journal_number(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?;
    name.strip_suffix(JOURNAL_SUFFIX)?.parse().ok()
}

/// Position just after the last batch's end, searched from the file's end in overlapping chunks.
fn last_batch_end(file: &mut File) -> io::Result<Option<u64>> {
    let mut end = file.metadata()?.len();
    let overlap = BATCH_END.len() as u64 - 1;
    loop {
        let start = end.saturating_sub(CHUNK_BYTES);
        let bytes = read_range(file, start, end)?;
        let marker = bytes
            .windows(BATCH_END.len())
            .rposition(|window| window == BATCH_END);
        if let Some(offset) = marker {
            return Ok(Some(start + (offset + BATCH_END.len()) as u64));
        }
        if start == 0 {
            return Ok(None);
        }
        end = start + overlap;
    }
}

fn read_range(file: &mut File, start: u64, end: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    file.seek(SeekFrom::Start(start))?;
    file.by_ref().take(end - start).read_to_end(&mut bytes)?;
    Ok(bytes)
}
