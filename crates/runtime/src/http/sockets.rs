//! TCP sockets with the options that the platform requires.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of connections that wait to be accepted. It is large because all agents connect at once
/// after a failover, and a full queue drops the SYN, which the client resends only after seconds.
const LISTEN_BACKLOG: i32 = 4_096;

/// How long sent data may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`), because a
/// machine that has failed sends no reset. The value is above the first two retransmissions of a lost packet.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keep-alive probe. Probes close connections to peers that have failed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);

/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Listens on `address`. `SO_REUSEADDR` lets this succeed right after an earlier process on that address has
/// ended.
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

/// Connects to `address` and sets the options of [`configure`].
pub(super) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    configure(&stream)?;
    Ok(stream)
}

/// Sets the options that both sides of a connection use: no delay of small writes, and detection of failed
/// peers.
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
