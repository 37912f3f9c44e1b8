//! Where operators call: one line a connection, one answer, then the end. The calls are `crate::telemetry`'s.

use crate::runtime::Hub;
use crate::telemetry::{self, Call, LineReader, ReadStatus};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use slog::warn;
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Callers served at once; one more is turned away at once. Their descriptors are kept aside by the limits.
pub(crate) const CALLERS: usize = 16;
/// A caller who has not finished its line by then is ended: callers wait 1 s, and some say nothing for 4 s.
const CALL: Duration = Duration::from_millis(1_500);
/// How long an answer may take to be written, and what comes after it to be read.
const AFTER: Duration = Duration::from_millis(500);

/// Listens at `addr`; gives the address that was bound.
pub(crate) fn listen(hub: &Rc<Hub>, addr: SocketAddr) -> io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(addr)?;
    let addr = listener.get_ref().local_addr()?;
    let (spawner, callers) = (hub.clone(), Rc::new(Cell::new(0usize)));
    hub.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if callers.get() >= CALLERS => drop(stream),
                Ok((stream, _)) => {
                    callers.set(callers.get() + 1);
                    let (hub, callers) = (spawner.clone(), callers.clone());
                    spawner.spawn(async move {
                        call(&hub, stream).await;
                        callers.set(callers.get() - 1);
                    });
                }
                Err(e) => {
                    warn!(spawner.log, "an operator's call could not be accepted"; "error" => %e);
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
            future::yield_now().await;
        }
    });
    Ok(addr)
}

async fn call(hub: &Hub, mut stream: Async<TcpStream>) {
    let mut reader = LineReader::default();
    let read = async {
        let mut piece = [0u8; 256];
        loop {
            match stream.read(&mut piece).await {
                Ok(0) => return reader.end(),
                Ok(n) => match reader.feed(&piece[..n]) {
                    ReadStatus::Incomplete => {}
                    ReadStatus::Line(call) => return Some(call),
                    ReadStatus::TooLong => {
                        return Some(Call::Unknown("the call is too long".into()))
                    }
                },
                Err(_) => return None,
            }
        }
    };
    let Some(call) = future::or(read, after(CALL, None)).await else {
        return;
    };
    if let Call::Unknown(why) = &call {
        slog::info!(hub.log, "an operator's call is not known"; "why" => why);
    }
    let text = telemetry::answer(
        &call,
        hub.readiness(),
        || hub.figures(),
        |call| hub.of_the_fleet(call),
    );
    let written = async { stream.write_all(text.as_bytes()).await.is_ok() };
    if !future::or(written, after(AFTER, false)).await {
        return;
    }
    // Told the end, then read: closing with bytes unread would reset the connection and lose the answer.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let rest = async {
        let mut piece = [0u8; 256];
        while matches!(stream.read(&mut piece).await, Ok(n) if n > 0) {}
    };
    future::or(rest, after(AFTER, ())).await;
}

async fn after<T>(wait: Duration, value: T) -> T {
    Timer::after(wait).await;
    value
}
