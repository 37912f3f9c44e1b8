//! Repair of a journal whose last batch is torn.
//!
//! A batch is written in several steps and then synced. After a power loss, each step of an unsynced batch
//! may be present, torn or missing. fjall drops a batch whose end marker is missing, but rejects a journal
//! whose last batch has its end marker and lacks some of its middle. Truncating the last byte of that marker
//! turns the second case into the first. Only the last batch can be affected, as every batch before it was
//! synced; if an earlier batch is damaged, fjall rejects the journal again.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// The end marker of each batch in fjall's journals of format 3.
const BATCH_END: &[u8] = b"FJL\x03";
/// A journal is searched backwards in chunks of this size.
const CHUNK_BYTES: u64 = 64 << 10;
const JOURNAL_SUFFIX: &str = ".jnl";

/// Truncates the last byte of the last batch in the newest journal, and syncs the file.
///
/// # Errors
/// A disk operation failed, or no batch was found.
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

/// The number in a journal's name, `NUMBER.jnl`; `None` for other files.
fn journal_number(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?;
    name.strip_suffix(JOURNAL_SUFFIX)?.parse().ok()
}

/// The position just after the last batch's end marker, searched backwards from the end of the file in
/// overlapping chunks.
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
