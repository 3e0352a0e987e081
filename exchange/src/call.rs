//! Complete calls: sends a request and reads its answer to the end, with timeouts.

use crate::{AnswerHead, BodyPart, ExchangeError, OutboundConnection, OutboundRequest};
use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};
use tokio::time::Instant;

/// Maximum idle connections that a client keeps.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// How long a connection is kept for another call after its last request was sent. A long poll leaves it
/// as unproved as an idle time does: whether the server still receives anything is not known.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time without progress while reading the body of an answer.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that the body of an answer may take however little of it arrives.
const SLOW_BODY_GRACE: Duration = Duration::from_secs(5);
/// Slowest average rate of a body after that time, in bytes per second.
const MIN_BODY_RATE: f64 = 1024.0;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the longest time in which `length` bytes of a body may arrive.
fn slow_body_time(length: usize) -> Duration {
    SLOW_BODY_GRACE + Duration::from_secs_f64(length as f64 / MIN_BODY_RATE)
}

/// A call to a server that is not part of a live request.
#[derive(Debug, Clone)]
pub struct OutboundCall {
    /// The method.
    pub method: Method,
    /// Path and query of the request.
    pub path_and_query: String,
    /// The body; empty if there is none.
    pub body: Bytes,
    /// `Content-Type` of the body; unused if the body is empty.
    pub content_type: &'static str,
    /// Timeout until the head of the answer has been read. The body may take longer, as long as it
    /// does not stall.
    pub head_timeout: Duration,
    /// Maximum body size of the answer.
    pub max_answer_bytes: usize,
}

impl OutboundCall {
    /// Creates a `GET` call without a body.
    pub fn get(path_and_query: String, head_timeout: Duration, max_answer_bytes: usize) -> Self {
        let (method, body, content_type) = (Method::GET, Bytes::new(), "");
        Self { method, path_and_query, body, content_type, head_timeout, max_answer_bytes }
    }
}

/// The answer to a call.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a call has no complete answer.
#[derive(Debug, displaydoc::Display)]
pub enum CallError {
    /// cannot connect: {0}
    Unreachable(io::Error),
    /// timed out waiting for the complete answer
    TimedOut,
    /// {0}
    Failed(ExchangeError),
    /// the body of the answer exceeds the size limit
    TooLong,
    /// the call has an invalid path or host
    InvalidRequest,
    /// the call was withdrawn before it was sent
    Withdrawn,
}

impl std::error::Error for CallError {}

/// Client of one server. Reuses connections whose last request was sent only briefly before.
#[derive(Clone)]
pub struct CallClient {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<(Instant, OutboundConnection)>>>,
}

impl fmt::Debug for CallClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallClient").field("address", &self.address).finish_non_exhaustive()
    }
}

impl CallClient {
    /// Creates a client of the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default() }
    }

    /// Sends a call and reads the complete answer, whatever its status. The body of an answer without
    /// framing may be truncated; its format or hash has to show that.
    ///
    /// # Errors
    ///
    /// [`CallError`]. Only [`CallError::Unreachable`] and [`CallError::InvalidRequest`] guarantee
    /// that the server did not receive the call.
    pub async fn call(&self, call: OutboundCall) -> Result<CallAnswer, CallError> {
        self.call_if(call, || true).await
    }

    /// Like [`CallClient::call`], but sends nothing if `may_send` returns false. It is asked once a connection
    /// is open, right before the call is written.
    ///
    /// # Errors
    ///
    /// [`CallError`]. [`CallError::Withdrawn`], too, guarantees that the server did not receive the call.
    pub async fn call_if(
        &self,
        call: OutboundCall,
        may_send: impl FnOnce() -> bool,
    ) -> Result<CallAnswer, CallError> {
        let sent_at = Instant::now();
        let max_answer_bytes = call.max_answer_bytes;
        let answered = tokio::time::timeout(call.head_timeout, self.send(call, may_send)).await;
        let (mut connection, head) = answered.map_err(|_| CallError::TimedOut)??;
        if head.length.is_some_and(|length| length > max_answer_bytes as u64) {
            return Err(CallError::TooLong);
        }
        let mut body = BytesMut::new();
        let body_started = Instant::now();
        loop {
            let slow_at = body_started + slow_body_time(body.len());
            let deadline = slow_at.min(Instant::now() + BODY_STALL_TIMEOUT);
            let part = tokio::time::timeout_at(deadline, connection.read_body()).await;
            let part = part.map_err(|_| CallError::TimedOut)?;
            let bytes = match part.map_err(CallError::Failed)? {
                BodyPart::Data(bytes) => bytes,
                BodyPart::End | BodyPart::Closed => break,
            };
            if body.len() + bytes.len() > max_answer_bytes {
                return Err(CallError::TooLong);
            }
            body.extend_from_slice(&bytes);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_reusable() {
            idle.push((sent_at, connection));
        }
        Ok(CallAnswer { status: head.status, headers: head.headers, body: body.freeze() })
    }

    /// Closes the idle connections, so that the next call opens a new one.
    pub fn close_idle_connections(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn send(
        &self,
        call: OutboundCall,
        may_send: impl FnOnce() -> bool,
    ) -> Result<(OutboundConnection, AnswerHead), CallError> {
        let request = self.build_request(call)?;
        let mut connection = self.connection().await.map_err(CallError::Unreachable)?;
        if !may_send() {
            return Err(CallError::Withdrawn);
        }
        let head = connection.exchange(request).await.map_err(CallError::Failed)?;
        Ok((connection, head))
    }

    fn build_request(&self, call: OutboundCall) -> Result<OutboundRequest, CallError> {
        let uri: Uri = call.path_and_query.parse().map_err(|_| CallError::InvalidRequest)?;
        let mut headers = HeaderMap::with_capacity(2);
        let host = HeaderValue::from_str(&self.address.to_string());
        headers.insert(HOST, host.map_err(|_| CallError::InvalidRequest)?);
        if !call.body.is_empty() {
            let content_type = HeaderValue::from_static(call.content_type);
            headers.insert(actix_http::header::CONTENT_TYPE, content_type);
        }
        Ok(OutboundRequest { method: call.method, uri, headers, body: call.body })
    }

    async fn connection(&self) -> io::Result<OutboundConnection> {
        match self.take_idle() {
            Some(connection) => Ok(connection),
            None => OutboundConnection::open(self.address, CONNECT_TIMEOUT).await,
        }
    }

    fn take_idle(&self) -> Option<OutboundConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(sent_at, _)| now.duration_since(*sent_at) < IDLE_TIMEOUT);
        while let Some((_, mut connection)) = idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }
}
