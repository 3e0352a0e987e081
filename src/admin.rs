//! The administrative HTTP endpoint of a process: status and metrics.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use buckthornwharf_core::membership::{HostPhase, HostRole};
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};

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

/// An answer with a JSON body.
pub fn json_response(value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => with_type(StatusCode::OK, "application/json", body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer with a plain text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    with_type(status, "text/plain; charset=utf-8", text.into())
}

/// An answer with a body of the given type.
pub fn with_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", content_type))
        .body(body)
        .map_into_boxed_body()
}
