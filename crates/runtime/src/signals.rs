//! Receives signals on the event loop through pipes: a signal handler writes one byte, and the event loop
//! reads it.
//!
//! Pipes are used because the platform does not permit the Unix sockets that `tokio::signal` needs. Each
//! signal has a pipe of its own, because the byte that a handler writes does not identify the signal.

use rustix::pipe::{pipe_with, PipeFlags};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::unix::pipe::Receiver;

/// A signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: the process shuts down within the platform's grace period, `grace_s`.
    Terminate,
    /// SIGINT: handled like SIGTERM; sent from a terminal.
    Interrupt,
    /// SIGHUP: the settings file has changed and is to be reloaded.
    Reload,
}

impl Signal {
    /// Returns true if the signal requests a shutdown.
    pub fn is_shutdown(self) -> bool {
        self != Signal::Reload
    }
}

const HANDLED_SIGNALS: [(Signal, i32); 3] = [
    (Signal::Terminate, signal_hook::consts::SIGTERM),
    (Signal::Interrupt, signal_hook::consts::SIGINT),
    (Signal::Reload, signal_hook::consts::SIGHUP),
];

/// Receives the signals of the process. Holds the read ends of the pipes; the signal handlers hold the write
/// ends.
pub struct Signals {
    pipes: Vec<(Signal, Receiver)>,
}

impl Signals {
    /// Registers a handler for each [`Signal`]. Call it once per process, within the event loop.
    ///
    /// # Errors
    /// Returns an error if a pipe or a handler cannot be set up.
    pub fn new() -> io::Result<Signals> {
        let mut pipes = Vec::with_capacity(HANDLED_SIGNALS.len());
        for (signal, number) in HANDLED_SIGNALS {
            let (read_end, write_end) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
            signal_hook::low_level::pipe::register(number, write_end)?;
            pipes.push((signal, Receiver::from_owned_fd_unchecked(read_end)?));
        }
        Ok(Signals { pipes })
    }

    /// Waits for the next signal. Several signals of one kind that arrive before a read are reported as one.
    ///
    /// # Errors
    /// Returns an error if a pipe cannot be read.
    pub async fn next(&mut self) -> io::Result<Signal> {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<io::Result<Signal>> {
        for (signal, pipe) in &mut self.pipes {
            let mut bytes = [0_u8; 64];
            let mut buffer = ReadBuf::new(&mut bytes);
            if let Poll::Ready(read) = Pin::new(pipe).poll_read(context, &mut buffer) {
                return Poll::Ready(read.map(|()| *signal));
            }
        }
        Poll::Pending
    }
}
