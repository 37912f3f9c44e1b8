//! The note by which a process that is being replaced learns of its successor. Both share `$TMPDIR`, which is
//! private to the dispatcher; each process that serves writes its pid under the name of its clients' address.

use std::net::SocketAddr;
use std::path::PathBuf;

fn note(listen: SocketAddr) -> Option<PathBuf> {
    let dir = std::env::var_os("TMPDIR").filter(|d| !d.is_empty())?;
    Some(
        PathBuf::from(dir)
            .join(format!("streamusher-{}.serving", listen.to_string().replace([':', '[', ']'], "_"))),
    )
}

/// This process serves at `listen` from now on. Without `$TMPDIR` there is nowhere to say so, and nothing is said.
pub(crate) fn announce(listen: SocketAddr) -> std::io::Result<()> {
    let Some(path) = note(listen) else { return Ok(()) };
    let part = path.with_extension("part");
    std::fs::write(&part, std::process::id().to_string())?;
    std::fs::rename(part, path) // whole or not at all: the other process may read it at any moment
}

/// Another living process has announced itself at `listen` since this one did.
pub(crate) fn successor(listen: SocketAddr) -> bool {
    let Some(text) = note(listen).and_then(|p| std::fs::read_to_string(p).ok()) else { return false };
    match text.trim().parse::<u32>() {
        Ok(pid) if pid != std::process::id() => PathBuf::from(format!("/proc/{pid}")).exists(),
        _ => false,
    }
}
