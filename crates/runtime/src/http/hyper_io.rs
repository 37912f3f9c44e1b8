//! Adapters that let hyper use tokio's TCP streams and timers.

use hyper::rt::{ReadBufCursor, Sleep, Timer};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes per read: the size of hyper's initial buffer.
const READ_BYTES: usize = 8_192;

/// Implements hyper's read and write traits for a TCP connection.
pub(super) struct Stream(pub(super) TcpStream);

impl hyper::rt::Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // The buffer is zeroed so that no unsafe code is needed. The cost is low because the buffer is small.
        let mut chunk = [0_u8; READ_BYTES];
        let max_bytes = cursor.remaining().min(READ_BYTES);
        let mut buffer = ReadBuf::new(&mut chunk[..max_bytes]);
        ready!(Pin::new(&mut self.0).poll_read(context, &mut buffer))?;
        cursor.put_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, parts)
    }
}

/// Runs hyper's time-outs on the timer of the event loop.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoopTimer;

impl Timer for LoopTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(LoopSleep(Box::pin(tokio::time::sleep_until(
            deadline.into(),
        ))))
    }
}

struct LoopSleep(Pin<Box<tokio::time::Sleep>>);

impl Future for LoopSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Sleep for LoopSleep {}
