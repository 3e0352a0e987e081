//! The administrative HTTP endpoint of a process: status and metrics.

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

/// What a process says of itself at `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The host.
    pub host: HostName,
    /// The site.
    pub site: SiteName,
    /// What the process is.
    pub role: HostRole,
    /// The generation in force; none before the first.
    pub generation: Option<ConfigGeneration>,
    /// The digest that the target serves; agents of engines only.
    pub serving: Option<VersionDigest>,
    /// Whether the process is leaving.
    pub phase: HostPhase,
}

/// Answers the administrative endpoint on `listener` by `handler` for the rest of the process.
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
        // The sender lives as long as the task, so that the server never stops by itself.
        let (_sender, never) = watch::channel(false);
        if let Err(error) = serve_http(listener, never, handler).await {
            log::error!("the administrative endpoint ended: {error:#}");
        }
    });
    Ok(())
}

/// The phase that goes with the signal to leave.
pub fn phase_of(leaving: &watch::Receiver<bool>) -> HostPhase {
    if *leaving.borrow() { HostPhase::Leaving } else { HostPhase::Live }
}

/// An answer with a JSON body.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => response_with_type(StatusCode::OK, "application/json", body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer with a plain text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    response_with_type(status, "text/plain; charset=utf-8", text.into())
}

/// An answer with a body of the given type.
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
