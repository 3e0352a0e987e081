//! HTTP calls with a deadline for the whole call and a limit on the answer's body.

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use std::io::ErrorKind;
use std::time::Duration;

thread_local! {
    static CLIENT: Client = Client::builder().disable_timeout().finish();
}

/// A call to one of the platform's interfaces.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The whole URL.
    pub url: String,
    /// The body; empty for none.
    pub body: Bytes,
    /// The tag of what is known already, so that it is not sent again; none to get it anyway.
    pub if_none_match: Option<String>,
    /// Time for the whole call, with the answer's body.
    pub timeout: Duration,
    /// Most bytes of the answer's body.
    pub max_response_bytes: usize,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The tag of what was read, if the other side gives one.
    pub etag: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum HttpError {
    /// no connection: {0}
    Unreachable(String),
    /// no answer within {0:?}
    TimedOut(Duration),
    /// the connection broke off: {0}
    Broken(String),
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// Whether nothing of the call can have reached the other side.
    pub fn never_sent(&self) -> bool {
        matches!(self, HttpError::Unreachable(_))
    }
}

impl HttpCall {
    /// Sends the call on this thread's client and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no whole answer in time; any status is an answer.
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
        let etag = response.headers().get("etag");
        let etag = etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned);
        Ok(HttpResponse { status: response.status(), etag, body })
    }
}

fn describe_send_error(error: SendRequestError) -> HttpError {
    if is_never_sent(&error) {
        return HttpError::Unreachable(error.to_string());
    }
    HttpError::Broken(error.to_string())
}

/// Whether nothing of the call can have reached the other side. The client reports a connection
/// that is closed before the answer as a failure to connect, too, so only those failures count
/// that come before there is a connection.
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
