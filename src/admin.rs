//! Administrative HTTP endpoint of a process (status, metrics) and helpers for HTTP responses.

use crate::http_server::serve_http;
use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use actix_rt::net::TcpListener;
use anyhow::Result;
use buckthornwharf_core::membership::{HostPhase, HostRole};
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::future::Future;
use tokio::sync::watch;

/// Response body of `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The host that the process runs on.
    pub host: HostName,
    /// The site of the host.
    pub site: SiteName,
    /// Whether the process is an entry or an agent.
    pub role: HostRole,
    /// The active configuration generation; `None` before the first.
    pub generation: Option<ConfigGeneration>,
    /// Digest of the version that the target serves; only from agents of engines.
    pub serving: Option<VersionDigest>,
    /// Whether the process is live or shutting down.
    pub phase: HostPhase,
}

/// Serves the administrative endpoint on `listener` with `handler` until the process exits.
///
/// # Errors
///
/// Fails if the listener cannot be used on this thread.
pub fn start_admin<H, F>(listener: std::net::TcpListener, handler: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    actix_rt::spawn(async move {
        // The sender is kept for the lifetime of the task: the server would stop once it is dropped.
        let (_stop_sender, stop) = watch::channel(false);
        if let Err(error) = serve_http(listener, stop, handler).await {
            log::error!(
                "administrative endpoint stopped, status and metrics are not available: {error:#}"
            );
        }
    });
    Ok(())
}

/// Returns the phase for the state of the shutdown signal: leaving once it is set.
pub fn phase_of(leaving: &watch::Receiver<bool>) -> HostPhase {
    if *leaving.borrow() { HostPhase::Leaving } else { HostPhase::Live }
}

/// Builds a response with a JSON body, or one with status 500 if `value` can't be serialized.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => response_with_type(StatusCode::OK, "application/json", body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a response with a plain text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    response_with_type(status, "text/plain; charset=utf-8", text.into())
}

/// Builds a response with the given status, content type and body.
pub fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", content_type))
        .body(body)
        .map_into_boxed_body()
}
