//! One HTTP/1.1 exchange with a target, on a new connection.
//!
//! Connections are not reused: a pooled one may be dead or closed by the target, and a request lost
//! on it cannot be distinguished from one that ran. The end of an answer is determined only by HTTP
//! framing, never by the end of the connection.

use super::TargetFailure;
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, ResponseHead, StatusCode, Uri};
use actix_rt::net::TcpStream;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
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
    body: Option<Framed<TcpStream, ClientPayloadCodec>>,
}

impl TargetRequest {
    /// Sends the request to `target` and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// [`TargetFailure`]; [`TargetFailure::Unreachable`] only if no byte was sent.
    pub async fn send(self, target: SocketAddr) -> Result<TargetResponse, TargetFailure> {
        let head = self.head(target).ok_or(TargetFailure::Unreachable)?;
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(TargetFailure::Unreachable);
        };
        let _ = stream.set_nodelay(true);
        let timeout = self.head_timeout;
        match actix_rt::time::timeout(timeout, self.exchange(stream, head)).await {
            Ok(response) => response,
            Err(_) => Err(TargetFailure::TimedOut),
        }
    }

    fn head(&self, target: SocketAddr) -> Option<RequestHead> {
        let mut head = RequestHead::default();
        head.method = Method::from_bytes(self.method.as_bytes()).ok()?;
        head.uri = self.path.parse::<Uri>().ok()?;
        head.set_connection_type(ConnectionType::Close);
        let host = ("host", target.to_string());
        for (name, value) in std::iter::once(&host).chain(&self.headers) {
            if !value.is_empty() {
                let value = HeaderValue::from_str(value).ok()?;
                head.headers.insert(HeaderName::from_static(name), value);
            }
        }
        Some(head)
    }

    async fn exchange(
        self,
        stream: TcpStream,
        head: RequestHead,
    ) -> Result<TargetResponse, TargetFailure> {
        let mut framed = Framed::new(stream, ClientCodec::default());
        let size = BodySize::Sized(self.body.len() as u64);
        let item = Message::Item((head.into(), size));
        framed.feed(item).await.map_err(|_| TargetFailure::ConnectionLost)?;
        if !self.body.is_empty() {
            let chunk = Message::Chunk(Some(self.body));
            framed.feed(chunk).await.map_err(|_| TargetFailure::ConnectionLost)?;
        }
        framed.send(Message::Chunk(None)).await.map_err(|_| TargetFailure::ConnectionLost)?;
        let Some(Ok(head)) = framed.next().await else {
            return Err(TargetFailure::ConnectionLost);
        };
        let content_type = head.headers.get("content-type");
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        // Without framing, the end of the body looks the same as a lost connection.
        if self.method.as_ref() != "HEAD" && !is_delimited(&head) {
            return Err(TargetFailure::InvalidAnswer);
        }
        let has_body = framed.codec_ref().message_type() != MessageType::None;
        let body = has_body.then(|| framed.into_map_codec(ClientCodec::into_payload_codec));
        Ok(TargetResponse { status: head.status, content_type: content_type.into(), body })
    }
}

fn is_delimited(head: &ResponseHead) -> bool {
    let is_bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    is_bodiless
        || head.headers.contains_key("content-length")
        || head.headers.contains_key("transfer-encoding")
}

impl TargetResponse {
    /// The next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`TargetFailure::ConnectionLost`] if the connection ended before the body did,
    /// [`TargetFailure::TimedOut`] if no data came within [`BODY_IDLE_TIMEOUT`].
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, TargetFailure> {
        let Some(body) = &mut self.body else { return Ok(None) };
        match actix_rt::time::timeout(BODY_IDLE_TIMEOUT, body.next()).await {
            Ok(Some(Ok(part))) => Ok(part),
            Ok(Some(Err(_)) | None) => Err(TargetFailure::ConnectionLost),
            Err(_) => Err(TargetFailure::TimedOut),
        }
    }
}
