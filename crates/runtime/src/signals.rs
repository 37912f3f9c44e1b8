//! Signals on the event loop, through pipes: a handler writes a byte, and the loop reads it.
//!
//! Pipes, since the platform refuses the Unix sockets of `tokio::signal`. One pipe for each signal, since a handler writes
//! one byte that does not name it.

use rustix::pipe::{pipe_with, PipeFlags};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::unix::pipe::Receiver;

/// The signals that a process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down within the platform's `grace_s`.
    Terminate,
    /// SIGINT: as SIGTERM, from a terminal.
    Interrupt,
    /// SIGHUP: the settings file has changed.
    Reload,
}

impl Signal {
    /// Whether it requests a shutdown.
    pub fn is_shutdown(self) -> bool {
        self != Signal::Reload
    }
}

const HANDLED_SIGNALS: [(Signal, i32); 3] = [
    (Signal::Terminate, signal_hook::consts::SIGTERM),
    (Signal::Interrupt, signal_hook::consts::SIGINT),
    (Signal::Reload, signal_hook::consts::SIGHUP),
];

/// Receives the signals of the process: the read ends of the pipes, whose write ends the handlers have.
pub struct Signals {
    pipes: Vec<(Signal, Receiver)>,
}

impl Signals {
    /// Handles each [`Signal`] from now on. Once in a process, within its event loop.
    ///
    /// # Errors
    /// A pipe or a handler could not be set up.
    pub fn new() -> io::Result<Signals> {
        let mut pipes = Vec::with_capacity(HANDLED_SIGNALS.len());
        for (signal, number) in HANDLED_SIGNALS {
            let (read_end, write_end) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
            signal_hook::low_level::pipe::register(number, write_end)?;
            pipes.push((signal, Receiver::from_owned_fd_unchecked(read_end)?));
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
            if let Poll::Ready(read) = Pin::new(pipe).poll_read(context, &mut buffer) {
                return Poll::Ready(read.map(|()| *signal));
            }
        }
        Poll::Pending
    }
}
