//! State shared by two processes of one dispatcher while one replaces the other. It is kept in `$TMPDIR`,
//! which is private to the dispatcher.
//!
//! Each serving process writes its pid to a file named after the address that it listens at for clients. The
//! process that is being replaced finds its successor there, and the successor reads the pid of its
//! predecessor before it writes its own. Both processes listen at the same address, so a call-back may reach
//! either one. A call-back that matches no step of the receiving process is posted to the mailbox of the
//! other, a folder of complete files that the other process reads while both are running.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;

fn shared_dir() -> Option<PathBuf> {
    std::env::var_os("TMPDIR")
        .filter(|d| !d.is_empty())
        .map(PathBuf::from)
}

/// Whether `$TMPDIR` is set, so that two processes can share state.
pub(crate) fn is_possible() -> bool {
    shared_dir().is_some()
}

fn announcement_file(listen: SocketAddr) -> Option<PathBuf> {
    let name = listen.to_string().replace([':', '[', ']'], "_");
    Some(shared_dir()?.join(format!("streamusher-{name}.serving")))
}

fn mailbox(pid: u32) -> Option<PathBuf> {
    Some(shared_dir()?.join(format!("streamusher-mail-{pid}")))
}

/// Whether a process with this pid is running.
pub(crate) fn is_running(pid: u32) -> bool {
    PathBuf::from(format!("/proc/{pid}")).exists()
}

/// Pid in the file for this address, if it belongs to another process that is running.
fn announced_process(listen: SocketAddr) -> Option<u32> {
    let text = std::fs::read_to_string(announcement_file(listen)?).ok()?;
    text.trim()
        .parse::<u32>()
        .ok()
        .filter(|&pid| pid != std::process::id() && is_running(pid))
}

/// Announces that this process serves at `listen` from now on. Returns the pid of the process that served
/// there before, if it is still running. Does nothing without `$TMPDIR`.
pub(crate) fn announce(listen: SocketAddr) -> std::io::Result<Option<u32>> {
    let Some(path) = announcement_file(listen) else {
        return Ok(None);
    };
    let before = announced_process(listen);
    if let Some(own_mailbox) = mailbox(std::process::id()) {
        std::fs::create_dir_all(own_mailbox)?;
    }
    let partial = path.with_extension("part");
    std::fs::write(&partial, std::process::id().to_string())?;
    std::fs::rename(partial, path)?; // atomic: the other process may read the file at any moment
    Ok(before)
}

/// Pid of another running process that has announced itself at `listen` after this one.
pub(crate) fn successor(listen: SocketAddr) -> Option<u32> {
    announced_process(listen)
}

/// Posts a call-back to the mailbox of the other process as one complete file.
pub(crate) fn post_callback(recipient_pid: u32, body: &[u8]) -> std::io::Result<()> {
    thread_local!(static NEXT: Cell<u64> = const { Cell::new(0) });
    let sequence = NEXT.with(|sequence| sequence.replace(sequence.get() + 1));
    let dir = mailbox(recipient_pid).ok_or_else(|| std::io::Error::other("no TMPDIR"))?;
    let partial = dir.join(format!("{}-{sequence}.part", std::process::id()));
    std::fs::write(&partial, body)?;
    std::fs::rename(&partial, partial.with_extension("json"))
}

/// Removes and returns the call-backs posted to this process, in the order of their file names.
pub(crate) fn take_callbacks() -> Vec<Vec<u8>> {
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

/// Removes the mailbox of this process when it ends.
pub(crate) fn close() {
    if let Some(dir) = mailbox(std::process::id()) {
        let _ = std::fs::remove_dir_all(dir);
    }
}
