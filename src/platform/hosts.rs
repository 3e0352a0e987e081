//! The client of the platform's list of hosts.

use crate::platform::http::{HttpCall, HttpError, HttpResponse};
use awc::http::{Method, StatusCode};
use buckthornwharf_core::membership::HostRecord;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

const LIST_DEADLINE: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum HostsError {
    /// the list of hosts can't be read: {0}
    Call(HttpError),
    /// the list of hosts answered with status {0}
    Status(u16),
    /// the list of hosts is malformed: {0}
    Malformed(String),
}

impl std::error::Error for HostsError {}

/// A client of the list of hosts.
#[derive(Debug, Clone, Copy)]
pub struct HostsClient {
    addr: SocketAddr,
}

impl HostsClient {
    /// A client of the list at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// The list as it stands, sorted by name. It lags behind the fleet.
    ///
    /// # Errors
    ///
    /// [`HostsError`] if there is no whole and sound list.
    pub async fn list(&self) -> Result<Vec<HostRecord>, HostsError> {
        parse_list(&self.read(None).await?.body)
    }

    async fn read(&self, if_none_match: Option<String>) -> Result<HttpResponse, HostsError> {
        let call = HttpCall {
            method: Method::GET,
            url: format!("http://{}/v1/hosts", self.addr),
            body: Bytes::new(),
            if_none_match,
            timeout: LIST_DEADLINE,
            max_response_bytes: MAX_LIST_BYTES,
        };
        let answer = call.send().await.map_err(HostsError::Call)?;
        let is_known = answer.status == StatusCode::NOT_MODIFIED;
        if !answer.status.is_success() && !is_known {
            return Err(HostsError::Status(answer.status.as_u16()));
        }
        Ok(answer)
    }
}

/// Reads the list again and again, and has it sent only when it has changed.
#[derive(Debug)]
pub struct HostsReader {
    client: HostsClient,
    etag: Option<String>,
    records: Vec<HostRecord>,
}

impl HostsReader {
    /// A reader that knows nothing yet.
    pub fn new(client: HostsClient) -> Self {
        Self { client, etag: None, records: Vec::new() }
    }

    /// The list as it stands, sorted by name. It lags behind the fleet.
    ///
    /// # Errors
    ///
    /// [`HostsError`] if there is no whole and sound list.
    pub async fn read(&mut self) -> Result<Vec<HostRecord>, HostsError> {
        let answer = self.client.read(self.etag.clone()).await?;
        if answer.status != StatusCode::NOT_MODIFIED {
            self.records = parse_list(&answer.body)?;
            self.etag = answer.etag;
        }
        Ok(self.records.clone())
    }
}

fn parse_list(body: &[u8]) -> Result<Vec<HostRecord>, HostsError> {
    let mut records: Vec<HostRecord> =
        serde_json::from_slice(body).map_err(|error| HostsError::Malformed(error.to_string()))?;
    records.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(records)
}
