//! A small HTTP server for the platform and for other processes of the system.

use super::inbound_guard::InboundGuard;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::HeaderMap;
use anyhow::Result;
use buckthornwharf_core::direct::memory::ConnectionKind;
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{
    ConnectionMemory, InboundConnection, InboundError, InboundLimits, InboundRequest,
};
use bytes::Bytes;
use log::debug;
use std::any::Any;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Limits on requests of other processes.
const LIMITS: InboundLimits = InboundLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    read_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(30),
};
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time in which a part of an answer has to be read. Longer than for callers, as links between processes may be
/// interrupted for some seconds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes that are sent at a time if the answer has a pacer.
const PACED_PART_BYTES: usize = 4096;

/// An answer of the service.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Limits the rate at which the body is sent; `None` sends it at once.
    pub pacer: Option<Rc<UploadPacer>>,
    /// Dropped once the answer is sent or the connection has failed.
    pub until_sent: Option<Box<dyn Any>>,
}

impl ServiceAnswer {
    /// Creates an answer without headers that is sent at once.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let headers = HeaderMap::new();
        Self { status, headers, body: body.into(), pacer: None, until_sent: None }
    }

    /// Creates an answer with a JSON body.
    pub fn json(value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(StatusCode::OK, body),
            Err(error) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

/// Rate limiter for uploads, so that little of their data is in the link's queue at any time.
#[derive(Debug)]
pub struct UploadPacer {
    bytes_per_second: f64,
    next_free: Cell<tokio::time::Instant>,
}

impl UploadPacer {
    /// Creates a pacer that allows `bytes_per_second` for all its uploads together.
    pub fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, next_free: Cell::new(tokio::time::Instant::now()) }
    }

    /// Waits until `bytes` more bytes may be sent.
    async fn wait_for(&self, bytes: usize) {
        let now = tokio::time::Instant::now();
        let start = self.next_free.get().max(now);
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.max(1.0));
        self.next_free.set(start + duration);
        if start > now {
            tokio::time::sleep_until(start).await;
        }
    }
}

/// Answers requests on `listener` with `handler` for the rest of the process, within the bounds of `guard`.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_service<H, F>(
    listener: std::net::TcpListener,
    guard: Rc<InboundGuard>,
    handler: H,
) -> Result<()>
where
    H: Fn(InboundRequest) -> F + Clone + 'static,
    F: Future<Output = ServiceAnswer> + 'static,
{
    guard.prepare_listener(&listener);
    let listener = TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, source)) => {
                    if let Some(memory) = guard.admit(ConnectionKind::Service, source) {
                        let (guard, handler) = (guard.clone(), handler.clone());
                        actix_rt::spawn(serve(stream, memory, guard, handler));
                    }
                }
                Err(error) => {
                    debug!("event=accept_failed reason=\"{error}\"");
                    guard.count("accept_failed");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<H, F>(
    stream: TcpStream,
    memory: ConnectionMemory,
    guard: Rc<InboundGuard>,
    handler: H,
) where
    H: Fn(InboundRequest) -> F,
    F: Future<Output = ServiceAnswer>,
{
    if let Err(error) = buckthornwharf_exchange::set_socket_options(&stream) {
        debug!("event=caller_not_prepared reason=\"{error}\"");
        return;
    }
    let mut connection = InboundConnection::with_memory(stream, memory);
    connection.set_write_timeout(WRITE_TIMEOUT);
    loop {
        let request = match next_request(&mut connection).await {
            Ok(request) => request,
            Err(failure) => return guard.count_unread(&failure),
        };
        let answer = handler(request).await;
        if send(&mut connection, answer).await.is_err() || !connection.keeps_alive() {
            return;
        }
    }
}

async fn next_request(connection: &mut InboundConnection) -> Result<InboundRequest, InboundError> {
    connection.wait_request(LIMITS.idle_timeout).await?;
    connection.read_request(&LIMITS).await
}

async fn send(connection: &mut InboundConnection, answer: ServiceAnswer) -> std::io::Result<()> {
    let _until_sent = answer.until_sent;
    let size = BodySize::Sized(answer.body.len() as u64);
    connection.put_head(answer.status, answer.headers, size, false)?;
    let mut body = answer.body;
    let Some(pacer) = answer.pacer else {
        if !body.is_empty() {
            connection.put_body(body)?;
        }
        return connection.flush().await;
    };
    while !body.is_empty() {
        let part = body.split_to(body.len().min(PACED_PART_BYTES));
        pacer.wait_for(part.len()).await;
        connection.put_body(part)?;
        connection.flush().await?;
    }
    Ok(())
}
