//! Signals heard on the event loop through pipes: a handler writes a byte, the loop reads it.
//!
//! Pipes rather than a pair of Unix sockets, as the platform's fleet refuses those: `signal-hook`'s pipe handler,
//! weighed against `async-signal`, which needs such a pair. One pipe a signal, as its handler writes one byte.

use async_io::Async;
use futures_lite::future;
use std::future::Future;
use std::io;
use std::os::fd::OwnedFd;

/// The signals that the program heeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Term,
    Int,
    Usr1,
    Hup,
}

const ALL: [(Signal, libc::c_int); 4] = [
    (Signal::Term, libc::SIGTERM),
    (Signal::Int, libc::SIGINT),
    (Signal::Usr1, libc::SIGUSR1),
    (Signal::Hup, libc::SIGHUP),
];

/// The read ends of the pipes, one a signal; the write ends are the handlers'.
pub(crate) struct Signals {
    pipes: Vec<(Signal, Async<OwnedFd>)>,
}

impl Signals {
    /// Heeds all of [`Signal`] from now on. Once in a process: handlers are not taken back.
    pub(crate) fn new() -> io::Result<Signals> {
        use rustix::pipe::{pipe_with, PipeFlags};
        let mut pipes = Vec::with_capacity(ALL.len());
        for (signal, number) in ALL {
            let (read, write) = pipe_with(PipeFlags::CLOEXEC | PipeFlags::NONBLOCK)?;
            signal_hook::low_level::pipe::register(number, write)?;
            pipes.push((signal, Async::new(read)?));
        }
        Ok(Signals { pipes })
    }

    /// The next signal that came. Several of one kind that come together count as one.
    pub(crate) async fn next(&mut self) -> io::Result<Signal> {
        let heard = self.pipes.iter().map(|(signal, pipe)| {
            Box::pin(async move {
                pipe.readable().await?;
                let mut bytes = [0u8; 16];
                while matches!(rustix::io::read(pipe.get_ref(), &mut bytes), Ok(n) if n == bytes.len()) {}
                Ok(*signal)
            })
        });
        let mut all: Vec<_> = heard.collect();
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
