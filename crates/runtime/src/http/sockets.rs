//! TCP sockets with the options that the platform requires.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted. A full queue drops the SYN, which is sent again only after seconds, and after
/// a failover all agents connect at once.
const LISTEN_BACKLOG: i32 = 4_096;

/// How long data may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`): a dead machine sends no reset.
/// Above the first two retransmissions of a lost packet.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before a connection is probed, so that the connection of a dead peer does not stay.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// Interval of probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes that close a connection.
const KEEPALIVE_PROBES: u32 = 2;

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
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `address`.
pub(super) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    configure(&stream)?;
    Ok(stream)
}

/// Sets the options of both sides: small writes leave at once, and dead peers are detected.
pub(super) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
