//! Checks whether a target listens: a closed connection does not tell whether its process has ended.

use buckthornwharf_core::direct::RegisteredTarget;
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::connect;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Timeout for opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which the connection must stay open. The operating system closes the sockets of an ended process
/// one after the other, its listener perhaps last, and resets what the listener has taken until then.
const OPEN_TIME: Duration = Duration::from_millis(50);

/// How a target reacts to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ListenStatus {
    Listens,
    /// It refuses the connection, so its process is gone.
    Refuses,
    /// Nothing answers; the host may be cut off.
    Silent,
}

/// Opens a connection to the target and returns how it reacts.
pub(super) async fn listen_status(target: &RegisteredTarget) -> ListenStatus {
    let stream = match connect(target.address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(error) => return status_of(&error),
    };
    if stays_open(stream).await {
        return ListenStatus::Listens;
    }
    match connect(target.address, CONNECT_TIMEOUT).await {
        Ok(_) => ListenStatus::Listens,
        Err(error) => status_of(&error),
    }
}

async fn stays_open(mut stream: TcpStream) -> bool {
    let mut byte = [0; 1];
    let read = tokio::time::timeout(OPEN_TIME, stream.read(&mut byte)).await;
    !matches!(read, Ok(Ok(0) | Err(_)))
}

fn status_of(error: &io::Error) -> ListenStatus {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ListenStatus::Refuses,
        _ => ListenStatus::Silent,
    }
}
