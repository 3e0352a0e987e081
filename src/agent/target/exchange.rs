//! One HTTP/1.1 exchange with a target, on a new connection.
//!
//! Connections are not reused: a pooled one may be dead or closed by the target, and a request lost
//! on it cannot be distinguished from one that ran.

use super::TargetFailure;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::{AnswerFraming, BodyPart, OutboundConnection, OutboundRequest};
use bytes::Bytes;
use std::net::SocketAddr;

/// Timeout of opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without data in the middle of an answer after which the target counts as dead.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request to a target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// HTTP method.
    pub method: Arc<str>,
    /// HTTP path with query.
    pub path: Arc<str>,
    /// HTTP headers; empty ones are not sent.
    pub headers: Vec<(&'static str, String)>,
    /// HTTP body.
    pub body: Bytes,
    /// Timeout from sending the request until the head of the answer has arrived.
    pub head_timeout: Duration,
}

/// The head of a target's answer, and its body to be read.
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP content type; empty if absent.
    pub content_type: Arc<str>,
    /// Whether the end of the body is marked. Otherwise the connection ends it, also if the target
    /// fails, and only the format of the body can show whether it is complete.
    pub is_delimited: bool,
    connection: OutboundConnection,
}

impl TargetRequest {
    /// Sends the request to `target` and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// [`TargetFailure`]; [`TargetFailure::Unreachable`] only if no byte was sent.
    pub async fn send(self, target: SocketAddr) -> Result<TargetResponse, TargetFailure> {
        let head_timeout = self.head_timeout;
        let request = self.outbound(target).ok_or(TargetFailure::Unreachable)?;
        let connection = OutboundConnection::open(target, CONNECT_TIMEOUT).await;
        let connection = connection.map_err(|_| TargetFailure::Unreachable)?;
        match actix_rt::time::timeout(head_timeout, exchange(connection, request)).await {
            Ok(response) => response,
            Err(_) => Err(TargetFailure::TimedOut),
        }
    }

    fn outbound(self, target: SocketAddr) -> Option<OutboundRequest> {
        let mut headers = HeaderMap::with_capacity(self.headers.len() + 1);
        let host = ("host", target.to_string());
        for (name, value) in std::iter::once(host).chain(self.headers) {
            if !value.is_empty() {
                let value = HeaderValue::from_str(&value).ok()?;
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        Some(OutboundRequest {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            uri: self.path.parse::<Uri>().ok()?,
            headers,
            body: self.body,
        })
    }
}

async fn exchange(
    mut connection: OutboundConnection,
    request: OutboundRequest,
) -> Result<TargetResponse, TargetFailure> {
    let head = connection.exchange(request).await.map_err(|_| TargetFailure::ConnectionLost)?;
    let content_type = head.headers.get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Ok(TargetResponse {
        status: head.status,
        content_type: content_type.into(),
        is_delimited: head.framing != AnswerFraming::UntilClose,
        connection,
    })
}

impl TargetResponse {
    /// The next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`TargetFailure::ConnectionLost`] if the connection ended before the marked end of the body,
    /// [`TargetFailure::TimedOut`] if no data came within [`BODY_IDLE_TIMEOUT`].
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, TargetFailure> {
        let reading = self.connection.read_body();
        match actix_rt::time::timeout(BODY_IDLE_TIMEOUT, reading).await {
            Ok(Ok(BodyPart::Data(part))) => Ok(Some(part)),
            Ok(Ok(BodyPart::End | BodyPart::Closed)) => Ok(None),
            Ok(Err(_)) => Err(TargetFailure::ConnectionLost),
            Err(_) => Err(TargetFailure::TimedOut),
        }
    }
}
