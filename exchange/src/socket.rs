//! Socket options of every connection.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the connection is considered broken.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection is considered broken.
const ACK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Connects within `timeout` and sets the socket options.
///
/// # Errors
///
/// The error of the operating system, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let result = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Limits the kernel's buffers of the connections that `listener` will accept.
///
/// # Errors
///
/// The error of the operating system.
pub fn limit_buffers(listener: &impl AsFd, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}

/// Sets the options of a connection: `TCP_NODELAY`, and keep-alive probes and an acknowledgement
/// timeout, which tell a dead peer from a slow one.
///
/// # Errors
///
/// The error of the operating system.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
