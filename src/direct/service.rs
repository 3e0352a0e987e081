//! A small HTTP service for the platform and for other processes of the system.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::HeaderMap;
use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{InboundConnection, InboundError, InboundLimits, InboundRequest};
use bytes::Bytes;
use log::{debug, warn};
use std::any::Any;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// What other processes may send.
const LIMITS: InboundLimits = InboundLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    read_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(30),
};
/// Pause after a failed accept, so that a lack of descriptors does not busy the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes that are sent at once under a pacer.
const PACED_BYTES: usize = 4096;

/// An answer of the service.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Spreads the sending of the body, if it is not to crowd the link.
    pub pacer: Option<Rc<UploadPacer>>,
    /// Dropped once the answer is sent, or the caller is gone.
    pub until_sent: Option<Box<dyn Any>>,
}

impl ServiceAnswer {
    /// An answer that is sent at once.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let headers = HeaderMap::new();
        Self { status, headers, body: body.into(), pacer: None, until_sent: None }
    }

    /// An answer with a JSON body.
    pub fn json(value: &impl serde::Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(StatusCode::OK, body),
            Err(error) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

/// Spreads what is sent, so that little of it stands in the link's queue at any time.
#[derive(Debug)]
pub struct UploadPacer {
    bytes_per_second: f64,
    next_free: Cell<tokio::time::Instant>,
}

impl UploadPacer {
    /// A pacer of `bytes_per_second` for all that is sent under it.
    pub fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, next_free: Cell::new(tokio::time::Instant::now()) }
    }

    /// Waits until `bytes` more may be sent.
    async fn take(&self, bytes: usize) {
        let now = tokio::time::Instant::now();
        let start = self.next_free.get().max(now);
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.max(1.0));
        self.next_free.set(start + span);
        if start > now {
            tokio::time::sleep_until(start).await;
        }
    }
}

/// Answers calls on `listener` by `handler` for the rest of the process.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_service<H, F>(listener: std::net::TcpListener, handler: H) -> Result<()>
where
    H: Fn(InboundRequest) -> F + Clone + 'static,
    F: Future<Output = ServiceAnswer> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(actix_rt::spawn(serve(stream, handler.clone()))),
                Err(error) => {
                    warn!("event=accept_failed reason=\"{error}\"");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(InboundRequest) -> F,
    F: Future<Output = ServiceAnswer>,
{
    if let Err(error) = buckthornwharf_exchange::set_socket_options(&stream) {
        debug!("event=caller_not_prepared reason=\"{error}\"");
        return;
    }
    let mut caller = InboundConnection::new(stream);
    while let Ok(call) = next_call(&mut caller).await {
        let answer = handler(call).await;
        if send(&mut caller, answer).await.is_err() || !caller.keeps_alive() {
            return;
        }
    }
}

async fn next_call(caller: &mut InboundConnection) -> Result<InboundRequest, InboundError> {
    caller.wait_request(LIMITS.idle_timeout).await?;
    caller.read_request(&LIMITS).await
}

async fn send(caller: &mut InboundConnection, answer: ServiceAnswer) -> std::io::Result<()> {
    let _until_sent = answer.until_sent;
    let size = BodySize::Sized(answer.body.len() as u64);
    caller.put_head(answer.status, answer.headers, size, false)?;
    let mut body = answer.body;
    let Some(pacer) = answer.pacer else {
        if !body.is_empty() {
            caller.put_body(body)?;
        }
        return caller.flush().await;
    };
    while !body.is_empty() {
        let part = body.split_to(body.len().min(PACED_BYTES));
        pacer.take(part.len()).await;
        caller.put_body(part)?;
        caller.flush().await?;
    }
    Ok(())
}
