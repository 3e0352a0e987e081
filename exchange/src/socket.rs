//! Options that every connection gets.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time without traffic after which the other side is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between probes of a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection counts as broken.
const PROBE_COUNT: u32 = 2;
/// Time that sent bytes may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Connects within `timeout` and sets the options.
///
/// # Errors
///
/// What the system reports, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection: no delay of small writes, and probes that tell a dead peer
/// from a slow one.
///
/// # Errors
///
/// What the system reports.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
