//! Signals heard on the event loop through pipes: a handler writes a byte, the loop reads it.
//!
//! Pipes, because the platform refuses the Unix sockets of `tokio::signal`. One pipe for each signal, as a handler writes
//! one byte that does not name it.

use rustix::pipe::{pipe_with, PipeFlags};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::unix::pipe::Receiver;

/// The signals that a process heeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: end within the platform's `grace_s`.
    Terminate,
    /// SIGINT: as SIGTERM, from a terminal.
    Interrupt,
    /// SIGHUP: the settings file has changed.
    Reload,
}

impl Signal {
    /// Whether it asks the process to end.
    pub fn ends(self) -> bool {
        self != Signal::Reload
    }
}

const HEEDED: [(Signal, i32); 3] = [
    (Signal::Terminate, signal_hook::consts::SIGTERM),
    (Signal::Interrupt, signal_hook::consts::SIGINT),
    (Signal::Reload, signal_hook::consts::SIGHUP),
];

/// The read ends of the pipes; the write ends are the handlers'.
pub struct Signals {
    pipes: Vec<(Signal, Receiver)>,
}

impl Signals {
    /// Heeds all of [`Signal`] from now on. Once in a process, within its runtime.
    ///
    /// # Errors
    /// No pipe or no handler could be made.
    pub fn new() -> io::Result<Signals> {
        let mut pipes = Vec::with_capacity(HEEDED.len());
        for (signal, number) in HEEDED {
            let (read, write) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
            signal_hook::low_level::pipe::register(number, write)?;
            pipes.push((signal, Receiver::from_owned_fd_unchecked(read)?));
        }
        Ok(Signals { pipes })
    }

    /// The next signal. Several of one kind that come together count as one.
    ///
    /// # Errors
    /// A pipe could not be read.
    pub async fn next(&mut self) -> io::Result<Signal> {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Signal>> {
        for (signal, pipe) in &mut self.pipes {
            let mut bytes = [0_u8; 64];
            let mut buffer = ReadBuf::new(&mut bytes);
            if let Poll::Ready(heard) = Pin::new(pipe).poll_read(context, &mut buffer) {
                return Poll::Ready(heard.map(|()| *signal));
            }
        }
        Poll::Pending
    }
}
