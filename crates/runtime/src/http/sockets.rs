//! Sockets with the options that the platform asks for.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// New connections that may wait: a full queue drops the opening packet, which is sent again only after seconds. After a
/// failover every agent connects at once.
const BACKLOG: i32 = 4_096;

/// Bytes that a peer leaves unacknowledged so long end the connection: a dead machine says nothing. Above the first two
/// resends of a lost packet.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// A resting connection is probed after so long, so that a dead peer's connection does not stay.
const PROBE_AFTER: Duration = Duration::from_secs(3);

/// Between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// Listens at `address`, also right after an earlier process there has ended.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `address`.
pub(super) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    tune(&stream)?;
    Ok(stream)
}

/// Sets what both sides of a connection want: small answers leave at once, dead peers are found.
pub(super) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
