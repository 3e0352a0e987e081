//! HTTP requests that the stand-ins receive, and their responses.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Method, Request, Response, StatusCode};
use buckthornwharf_core::prelude::*;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::str::FromStr;

/// Response to a request.
pub type StandinResponse = Response<BoxBody>;

/// An HTTP request with its complete body.
#[derive(Debug)]
pub struct StandinRequest {
    /// The method.
    pub method: Method,
    /// The path without the query; not percent-decoded.
    pub path: String,
    /// The query parameters; not percent-decoded.
    pub query: SortedTable<String, String>,
    /// The headers.
    pub headers: HeaderMap,
    /// Address of the client.
    pub peer: Option<SocketAddr>,
    /// The body.
    pub body: Bytes,
}

/// {status}: {text}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct StandinError {
    /// Status of the response.
    pub status: StatusCode,
    /// Description of the error, sent in the response body.
    pub text: String,
}

impl std::error::Error for StandinError {}

impl StandinError {
    /// Creates an error with this status and description.
    pub fn new(status: StatusCode, text: impl Into<String>) -> Self {
        Self { status, text: text.into() }
    }

    /// Creates an error for an invalid request: status 400.
    pub fn bad_request(text: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, text)
    }

    /// Creates an error for an unknown path or record: status 404.
    pub fn not_found(text: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, text)
    }
}

impl From<StandinError> for StandinResponse {
    fn from(error: StandinError) -> Self {
        let body = serde_json::json!({ "error": error.text });
        json_response(error.status, &body)
    }
}

impl StandinRequest {
    /// Reads `request` with its complete body.
    ///
    /// # Errors
    ///
    /// 413 if the body is longer than `max_body_bytes`, 400 if it can't be read to its end.
    pub async fn read(mut request: Request, max_body_bytes: usize) -> Result<Self, StandinError> {
        let body = read_body(&mut request, max_body_bytes).await?;
        let query = parse_query(request.uri().query().unwrap_or_default());
        Ok(Self {
            method: request.method().clone(),
            path: request.path().to_owned(),
            query,
            headers: request.head().headers().clone(),
            peer: request.peer_addr(),
            body,
        })
    }

    /// Returns the header `name` as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the parsed header `name`; none if it is absent.
    ///
    /// # Errors
    ///
    /// 400 if it does not parse.
    pub fn parsed_header<T: FromStr>(&self, name: &str) -> Result<Option<T>, StandinError> {
        let Some(text) = self.header(name) else { return Ok(None) };
        let value = text
            .parse()
            .map_err(|_| StandinError::bad_request(format!("invalid header {name}")))?;
        Ok(Some(value))
    }

    /// Returns the parsed query parameter `name`; none if it is absent.
    ///
    /// # Errors
    ///
    /// 400 if it does not parse.
    pub fn parsed_query<T: FromStr>(&self, name: &str) -> Result<Option<T>, StandinError> {
        let Some(text) = self.query.get(name) else { return Ok(None) };
        let value = text
            .parse()
            .map_err(|_| StandinError::bad_request(format!("invalid query parameter {name}")))?;
        Ok(Some(value))
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// 400 if decoding fails, with the line and column.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, StandinError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| StandinError::bad_request(error.to_string()))
    }
}

async fn read_body(request: &mut Request, max_body_bytes: usize) -> Result<Bytes, StandinError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| StandinError::bad_request(error.to_string()))?;
        if body.len() + part.len() > max_body_bytes {
            let text = format!("the request body exceeds the limit of {max_body_bytes} bytes");
            return Err(StandinError::new(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

fn parse_query(query: &str) -> SortedTable<String, String> {
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let rows = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    rows.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Returns a response with `value` as JSON.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> StandinResponse {
    let body = match serde_json::to_vec(value) {
        Ok(body) => body,
        Err(error) => {
            log::error!("can't serialise a response; sending status 500: {error}");
            return Response::new(StatusCode::INTERNAL_SERVER_ERROR);
        }
    };
    let mut answer = Response::build(status);
    answer.insert_header((CONTENT_TYPE, "application/json"));
    answer.body(body).map_into_boxed_body()
}

/// Returns a response with status 200 and `value` as JSON.
pub fn json_ok<T: Serialize>(value: &T) -> Result<StandinResponse, StandinError> {
    Ok(json_response(StatusCode::OK, value))
}

/// Returns the error for a method and path that the role does not support.
pub fn unknown_route(request: &StandinRequest) -> StandinError {
    StandinError::not_found(format!("unknown route: {} {}", request.method, request.path))
}

/// Returns a response with `value` as JSON and an `ETag`, or 304 if `If-None-Match` equals it.
///
/// # Errors
///
/// 500 if `value` can't be serialised.
pub fn json_with_etag(
    request: &StandinRequest,
    value: &impl Serialize,
) -> Result<StandinResponse, StandinError> {
    let body = serde_json::to_vec(value)
        .map_err(|error| StandinError::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))?;
    let etag = format!("\"{}\"", blake3::hash(&body).to_hex());
    let client_etag = request.headers.get("if-none-match").and_then(|tag| tag.to_str().ok());
    let is_unmodified = client_etag == Some(etag.as_str());
    let status = if is_unmodified { StatusCode::NOT_MODIFIED } else { StatusCode::OK };
    let mut builder = Response::build(status);
    builder.insert_header(("etag", etag));
    builder.insert_header(("content-type", "application/json"));
    let body = if is_unmodified { Vec::new() } else { body };
    Ok(builder.body(body).map_into_boxed_body())
}
