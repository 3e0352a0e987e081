//! Whole calls: a request, and its answer read to the end within a deadline.

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

/// Idle connections that a client keeps.
const MAX_IDLE: usize = 4;
/// Time that an idle connection is kept for another call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which more of an answer's body must come.
const BODY_STALL: Duration = Duration::from_millis(1500);
/// Time for a connection to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A call to a server that is not part of a live request.
#[derive(Debug, Clone)]
pub struct OutboundCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: String,
    /// The body; empty for none.
    pub body: Bytes,
    /// The kind of the body.
    pub content_type: &'static str,
    /// Time until the head of the answer; its body must then keep coming.
    pub head_timeout: Duration,
    /// Most bytes of the answer's body.
    pub max_answer_bytes: usize,
}

impl OutboundCall {
    /// A call without a body that reads `path_and_query`.
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

/// Why a call has no whole answer.
#[derive(Debug, displaydoc::Display)]
pub enum CallError {
    /// no connection: {0}
    Unreachable(io::Error),
    /// no whole answer in time
    TimedOut,
    /// {0}
    Failed(ExchangeError),
    /// the answer is too long
    TooLong,
    /// the call cannot be put into a request
    InvalidRequest,
}

impl std::error::Error for CallError {}

/// Calls one server, on connections that are kept for a while.
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
    /// A client for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default() }
    }

    /// Sends a call and reads the whole answer; any status is an answer.
    ///
    /// # Errors
    ///
    /// [`CallError`]. Only [`CallError::Unreachable`] tells that the call did not reach the server.
    pub async fn call(&self, call: OutboundCall) -> Result<CallAnswer, CallError> {
        let max_answer_bytes = call.max_answer_bytes;
        let answered = tokio::time::timeout(call.head_timeout, self.begin(call)).await;
        let (mut connection, head) = answered.map_err(|_| CallError::TimedOut)??;
        let mut body = BytesMut::new();
        loop {
            let part = tokio::time::timeout(BODY_STALL, connection.read_body()).await;
            let part = part.map_err(|_| CallError::TimedOut)?;
            let BodyPart::Data(bytes) = part.map_err(CallError::Failed)? else {
                break;
            };
            if body.len() + bytes.len() > max_answer_bytes {
                return Err(CallError::TooLong);
            }
            body.extend_from_slice(&bytes);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && connection.is_reusable() {
            idle.push((Instant::now(), connection));
        }
        Ok(CallAnswer { status: head.status, headers: head.headers, body: body.freeze() })
    }

    async fn begin(
        &self,
        call: OutboundCall,
    ) -> Result<(OutboundConnection, AnswerHead), CallError> {
        let request = self.request_of(call)?;
        let mut connection = self.connection().await.map_err(CallError::Unreachable)?;
        let head = connection.exchange(request).await.map_err(CallError::Failed)?;
        Ok((connection, head))
    }

    fn request_of(&self, call: OutboundCall) -> Result<OutboundRequest, CallError> {
        let uri: Uri = call.path_and_query.parse().map_err(|_| CallError::InvalidRequest)?;
        let mut headers = HeaderMap::with_capacity(2);
        let host = HeaderValue::from_str(&self.address.to_string());
        headers.insert(HOST, host.map_err(|_| CallError::InvalidRequest)?);
        if !call.body.is_empty() {
            let kind = HeaderValue::from_static(call.content_type);
            headers.insert(actix_http::header::CONTENT_TYPE, kind);
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
        idle.retain(|(since, _)| now.duration_since(*since) < IDLE_TIMEOUT);
        while let Some((_, mut connection)) = idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }
}
