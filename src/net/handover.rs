//! What two processes of one dispatcher share while one replaces the other: `$TMPDIR`, private to the dispatcher.
//!
//! Each process that serves writes its pid in a note named by its clients' address; the one that is being replaced
//! learns of its successor there, and the successor of its predecessor before it writes its own. Call-backs reach
//! either process, as both listen at one address: one that matches nothing here is posted to the other's mailbox,
//! a folder of whole files that the other reads while both live.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;

fn tmp() -> Option<PathBuf> {
    std::env::var_os("TMPDIR")
        .filter(|d| !d.is_empty())
        .map(PathBuf::from)
}

/// Whether there is a place that two processes share.
pub(crate) fn is_possible() -> bool {
    tmp().is_some()
}

fn note(listen: SocketAddr) -> Option<PathBuf> {
    let name = listen.to_string().replace([':', '[', ']'], "_");
    Some(tmp()?.join(format!("streamusher-{name}.serving")))
}

fn mailbox(pid: u32) -> Option<PathBuf> {
    Some(tmp()?.join(format!("streamusher-mail-{pid}")))
}

/// Whether a process of this pid lives.
pub(crate) fn alive(pid: u32) -> bool {
    PathBuf::from(format!("/proc/{pid}")).exists()
}

/// The living process other than this one that the note names.
fn named(listen: SocketAddr) -> Option<u32> {
    let text = std::fs::read_to_string(note(listen)?).ok()?;
    text.trim()
        .parse::<u32>()
        .ok()
        .filter(|&pid| pid != std::process::id() && alive(pid))
}

/// This process serves at `listen` from now on; gives the process that served there before, if it lives. Without
/// `$TMPDIR` there is nowhere to say so, and nothing is said.
pub(crate) fn announce(listen: SocketAddr) -> std::io::Result<Option<u32>> {
    let Some(path) = note(listen) else {
        return Ok(None);
    };
    let before = named(listen);
    if let Some(own) = mailbox(std::process::id()) {
        std::fs::create_dir_all(own)?;
    }
    let part = path.with_extension("part");
    std::fs::write(&part, std::process::id().to_string())?;
    std::fs::rename(part, path)?; // whole or not at all: the other process may read it at any moment
    Ok(before)
}

/// Another living process has announced itself at `listen` since this one did.
pub(crate) fn successor(listen: SocketAddr) -> Option<u32> {
    named(listen)
}

/// Posts a call-back to the other process's mailbox, whole.
pub(crate) fn post(to: u32, body: &[u8]) -> std::io::Result<()> {
    thread_local!(static NEXT: Cell<u64> = const { Cell::new(0) });
    let n = NEXT.with(|n| n.replace(n.get() + 1));
    let dir = mailbox(to).ok_or_else(|| std::io::Error::other("no TMPDIR"))?;
    let part = dir.join(format!("{}-{n}.part", std::process::id()));
    std::fs::write(&part, body)?;
    std::fs::rename(&part, part.with_extension("json"))
}

/// Takes what was posted to this process, oldest first as far as names tell.
pub(crate) fn collect() -> Vec<Vec<u8>> {
    let Some(dir) = mailbox(std::process::id()) else {
        return Vec::new();
    };
    let Ok(entries) = std::fs::read_dir(&dir) else {
        return Vec::new();
    };
    let mut paths: Vec<PathBuf> = entries
        .flatten()
        .map(|e| e.path())
        .filter(|p| p.extension().is_some_and(|x| x == "json"))
        .collect();
    paths.sort();
    paths
        .into_iter()
        .filter_map(|p| {
            std::fs::read(&p)
                .ok()
                .inspect(|_| drop(std::fs::remove_file(&p)))
        })
        .collect()
}

/// Removes this process's mailbox at its end.
pub(crate) fn close() {
    if let Some(dir) = mailbox(std::process::id()) {
        let _ = std::fs::remove_dir_all(dir);
    }
}
