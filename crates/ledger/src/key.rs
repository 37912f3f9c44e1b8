//! The ledger's key: 64 hex digits in a file. Instances that share it find each other's repeats.

use crate::entry::to_hex;
use std::io::Write;
use std::path::Path;

/// Reads one. The message names the file, never what stands in it.
pub fn load(path: &Path) -> Result<[u8; 32], String> {
    let at = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{at}: {e}"))?;
    let text = text.trim();
    let mut key = [0; 32];
    let digits = text.len() == 64 && text.is_ascii();
    let read = digits
        && key
            .iter_mut()
            .zip(text.as_bytes().chunks(2))
            .all(|(byte, pair)| {
                let digits = std::str::from_utf8(pair)
                    .ok()
                    .and_then(|p| u8::from_str_radix(p, 16).ok());
                digits.map(|d| *byte = d).is_some()
            });
    match read {
        true => Ok(key),
        false => Err(format!("{at}: not a key: 64 hex digits are wanted")),
    }
}

/// Makes a new one that others cannot read. Written beside and renamed: a key that is half there would lock its
/// ledger.
pub fn make(path: &Path) -> Result<(), String> {
    let failed = |e: std::io::Error| format!("{}: {e}", path.display());
    let mut key = [0; 32];
    getrandom::fill(&mut key).map_err(|e| format!("{}: no random numbers: {e}", path.display()))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    std::fs::create_dir_all(folder).map_err(failed)?;
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(failed)?; // readable by its owner alone
    writeln!(file, "{}", to_hex(&key))
        .and_then(|()| file.as_file().sync_all())
        .map_err(failed)?;
    file.persist(path).map(drop).map_err(|e| failed(e.error))
}
