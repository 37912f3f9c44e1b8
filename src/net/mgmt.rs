//! Listener for operators' calls. Each connection carries one line and one answer, and is then closed.
//! `crate::telemetry` implements the calls.

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

/// Maximum number of connections served at the same time; further ones are closed at once. The resource
/// limits reserve descriptors for these connections.
pub(crate) const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// Time limit for a caller to send its line: callers wait for 1 s, and some send nothing for 4 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for writing an answer, and again for reading the input that follows it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Listens at `addr` and returns the bound address.
pub(crate) fn listen(hub: &Rc<Hub>, addr: SocketAddr) -> io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(addr)?;
    let addr = listener.get_ref().local_addr()?;
    let (spawner, connections) = (hub.clone(), Rc::new(Cell::new(0usize)));
    hub.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if connections.get() >= MAX_OPERATOR_CONNECTIONS => drop(stream),
                Ok((stream, _)) => {
                    connections.set(connections.get() + 1);
                    let (hub, connections) = (spawner.clone(), connections.clone());
                    spawner.spawn(async move {
                        call(&hub, stream).await;
                        connections.set(connections.get() - 1);
                    });
                }
                Err(e) => {
                    warn!(spawner.log, "cannot accept an operator connection"; "error" => %e);
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
        let mut chunk = [0u8; 256];
        loop {
            match stream.read(&mut chunk).await {
                Ok(0) => return reader.end(),
                Ok(read) => match reader.feed(&chunk[..read]) {
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
    let Some(call) = future::or(read, value_after(REQUEST_TIMEOUT, None)).await else {
        return;
    };
    if let Call::Unknown(why) = &call {
        slog::info!(hub.log, "unknown operator call"; "why" => why);
    }
    let text = telemetry::answer(
        &call,
        hub.readiness(),
        || hub.figures(),
        |call| hub.fleet_report(call),
    );
    let written = async { stream.write_all(text.as_bytes()).await.is_ok() };
    if !future::or(written, value_after(RESPONSE_TIMEOUT, false)).await {
        return;
    }
    // Shuts down the sending side and reads the remaining input: closing with unread input would reset the
    // connection and lose the answer.
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let remaining_input = async {
        let mut chunk = [0u8; 256];
        while matches!(stream.read(&mut chunk).await, Ok(n) if n > 0) {}
    };
    future::or(remaining_input, value_after(RESPONSE_TIMEOUT, ())).await;
}

async fn value_after<T>(wait: Duration, value: T) -> T {
    Timer::after(wait).await;
    value
}
