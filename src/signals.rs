//! Receives Unix signals on the event loop through pipes: a signal handler writes a byte, the event loop
//! reads it.
//!
//! Uses the pipe handler of `signal-hook`, because the platform's fleet does not permit the pair of Unix
//! sockets that the alternative, `async-signal`, needs. Each signal has its own pipe, as its handler writes
//! one byte that does not identify the signal.

use async_io::Async;
use futures_lite::future;
use std::future::Future;
use std::io;
use std::os::fd::OwnedFd;

/// Signals that the program handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Term,
    Int,
    Usr1,
    Hup,
}

const HANDLED: [(Signal, libc::c_int); 4] = [
    (Signal::Term, libc::SIGTERM),
    (Signal::Int, libc::SIGINT),
    (Signal::Usr1, libc::SIGUSR1),
    (Signal::Hup, libc::SIGHUP),
];

/// The read ends of the pipes, one per signal; the signal handlers own the write ends.
pub(crate) struct Signals {
    pipes: Vec<(Signal, Async<OwnedFd>)>,
}

impl Signals {
    /// Installs the handlers for every [`Signal`]. Call once per process: the handlers are not removed.
    pub(crate) fn new() -> io::Result<Signals> {
        use rustix::pipe::{pipe_with, PipeFlags};
        let mut pipes = Vec::with_capacity(HANDLED.len());
        for (signal, number) in HANDLED {
            let (read, write) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
            signal_hook::low_level::pipe::register(number, write)?;
            pipes.push((signal, Async::new(read)?));
        }
        Ok(Signals { pipes })
    }

    /// Waits for the next signal. Several signals of one kind that arrive together count as one.
    pub(crate) async fn next(&mut self) -> io::Result<Signal> {
        let pending = self.pipes.iter().map(|(signal, pipe)| {
            Box::pin(async move {
                pipe.readable().await?;
                let mut bytes = [0u8; 16];
                while matches!(rustix::io::read(pipe.get_ref(), &mut bytes), Ok(n) if n == bytes.len()) {}
                Ok(*signal)
            })
        });
        let mut all: Vec<_> = pending.collect();
        future::poll_fn(move |cx| {
            let mut all = all.iter_mut();
            all.find_map(|f| match f.as_mut().poll(cx) {
                std::task::Poll::Ready(r) => Some(r),
                std::task::Poll::Pending => None,
            })
            .map_or(std::task::Poll::Pending, std::task::Poll::Ready)
        })
        .await
    }
}
