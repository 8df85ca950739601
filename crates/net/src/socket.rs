//! Sockets between processes and their options.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::{io, net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time after which a connection fails if written bytes are not acknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time of a connection before the first keep-alive probe, and the interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keep-alive probes after which a connection fails.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Listens on an address, also if a former process of this machine has used it a moment ago (`SO_REUSEADDR`).
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to an address, with the options of [`set_options`].
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    set_options(&SockRef::from(&socket))?;
    socket.connect(address).await
}

/// Sets the options by which small writes are sent without delay, and the failure of the other machine is noticed
/// within seconds.
pub(crate) fn set_options(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}
