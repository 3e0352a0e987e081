//! HTTP calls with a timeout for the whole call and a size limit for the response body.

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::header::{self, HeaderMap};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use std::io::ErrorKind;
use std::time::Duration;

thread_local! {
    static CLIENT: Client = Client::builder().disable_timeout().finish();
}

/// An HTTP request to one of the platform's interfaces.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The HTTP method.
    pub method: Method,
    /// The absolute URL.
    pub url: String,
    /// The request body; may be empty.
    pub body: Bytes,
    /// Entity tag of the copy that the caller has; an unchanged resource is not sent again. Without
    /// a tag it is always sent.
    pub if_none_match: Option<String>,
    /// Timeout for the whole call, including the response body.
    pub timeout: Duration,
    /// Size limit of the response body, in bytes.
    pub max_response_bytes: usize,
}

/// A response with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The entity tag, if the server sent one.
    pub etag: Option<String>,
    /// The response body.
    pub body: Bytes,
}

/// Why a call got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum HttpError {
    /// can't connect: {0}
    Unreachable(String),
    /// no complete response within {0:?}
    TimedOut(Duration),
    /// connection failed before the response was complete: {0}
    Broken(String),
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// Whether the request certainly did not reach the server.
    pub fn never_sent(&self) -> bool {
        matches!(self, HttpError::Unreachable(_))
    }
}

impl HttpCall {
    /// Sends the request with this thread's client and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response in time. A response with an error status is not
    /// an error.
    pub async fn send(self) -> Result<HttpResponse, HttpError> {
        let timeout = self.timeout;
        match tokio::time::timeout(timeout, self.exchange()).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::TimedOut(timeout)),
        }
    }

    async fn exchange(self) -> Result<HttpResponse, HttpError> {
        let mut request = CLIENT.with(|client| client.request(self.method, self.url));
        if let Some(etag) = self.if_none_match {
            request = request.insert_header(("if-none-match", etag));
        }
        let mut response = request.send_body(self.body).await.map_err(describe_send_error)?;
        let body = response.body().limit(self.max_response_bytes).await;
        let body = body.map_err(|error| HttpError::Broken(error.to_string()))?;
        if response.status() != StatusCode::NOT_MODIFIED {
            check_length(response.headers(), &body)?;
        }
        let etag = response.headers().get("etag");
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        Ok(HttpResponse { status: response.status(), etag, body })
    }
}

/// Compares the body with `Content-Length`: `awc` takes a lost connection for the end of a body. The
/// length of an encoded body cannot be compared, since `awc` has decoded it.
fn check_length(headers: &HeaderMap, body: &[u8]) -> Result<(), HttpError> {
    let is_encoded = headers.contains_key(header::CONTENT_ENCODING);
    let Some(announced) = headers.get(header::CONTENT_LENGTH).filter(|_| !is_encoded) else {
        return Ok(());
    };
    let announced = announced.to_str().unwrap_or_default();
    if announced.parse() == Ok(body.len()) {
        return Ok(());
    }
    Err(HttpError::Broken(format!("{} of {announced} bytes arrived", body.len())))
}

fn describe_send_error(error: SendRequestError) -> HttpError {
    if is_never_sent(&error) {
        return HttpError::Unreachable(error.to_string());
    }
    HttpError::Broken(error.to_string())
}

/// Whether the request certainly did not reach the server. `awc` also reports a connection that is
/// closed before the response as a connect error, so only errors that occur before a connection is
/// established count.
pub fn is_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}
