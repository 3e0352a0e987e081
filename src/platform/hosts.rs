//! Client for the platform's list of hosts.

use crate::platform::http::{HttpCall, HttpError, HttpResponse};
use awc::http::{Method, StatusCode};
use buckthornwharf_core::membership::HostRecord;
use bytes::Bytes;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Why the list of hosts could not be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum HostsError {
    /// request for the list of hosts failed: {0}
    Call(HttpError),
    /// request for the list of hosts returned status {0}
    Status(u16),
    /// malformed list of hosts: {0}
    Malformed(String),
}

impl std::error::Error for HostsError {}

/// Reads the list of hosts, unconditionally on each call.
#[derive(Debug, Clone, Copy)]
pub struct HostsClient {
    address: SocketAddr,
}

impl HostsClient {
    /// Creates a client for the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns the current list, sorted by name. It may be stale.
    ///
    /// # Errors
    ///
    /// [`HostsError`] if the list can't be read completely or parsed.
    pub async fn list(&self) -> Result<Vec<HostRecord>, HostsError> {
        parse_list(&self.read(None).await?.body)
    }

    async fn read(&self, if_none_match: Option<String>) -> Result<HttpResponse, HostsError> {
        let call = HttpCall {
            method: Method::GET,
            url: format!("http://{}/v1/hosts", self.address),
            body: Bytes::new(),
            if_none_match,
            timeout: LIST_TIMEOUT,
            max_response_bytes: MAX_LIST_BYTES,
        };
        let answer = call.send().await.map_err(HostsError::Call)?;
        let is_unchanged = answer.status == StatusCode::NOT_MODIFIED;
        if !answer.status.is_success() && !is_unchanged {
            return Err(HostsError::Status(answer.status.as_u16()));
        }
        Ok(answer)
    }
}

/// Polls the list of hosts; sends the last entity tag, so that an unchanged list is not sent again.
#[derive(Debug)]
pub struct HostsReader {
    client: HostsClient,
    etag: Option<String>,
    records: Vec<HostRecord>,
}

impl HostsReader {
    /// Creates a reader whose first read fetches the whole list.
    pub fn new(client: HostsClient) -> Self {
        Self { client, etag: None, records: Vec::new() }
    }

    /// Returns the current list, sorted by name. It may be stale.
    ///
    /// # Errors
    ///
    /// [`HostsError`] if the list can't be read completely or parsed.
    pub async fn read(&mut self) -> Result<Vec<HostRecord>, HostsError> {
        let answer = self.client.read(self.etag.clone()).await?;
        if answer.status != StatusCode::NOT_MODIFIED {
            self.records = parse_list(&answer.body)?;
            self.etag = answer.etag;
        }
        Ok(self.records.clone())
    }
}

/// Reads a list. A row that names no usable host does not invalidate the others.
fn parse_list(body: &[u8]) -> Result<Vec<HostRecord>, HostsError> {
    let rows: Vec<&RawValue> =
        serde_json::from_slice(body).map_err(|error| HostsError::Malformed(error.to_string()))?;
    let mut records: Vec<HostRecord> = rows.into_iter().filter_map(parse_row).collect();
    records.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(records)
}

fn parse_row(row: &RawValue) -> Option<HostRecord> {
    let record = serde_json::from_str(row.get());
    record.inspect_err(|error| log::debug!("ignoring a row of the list of hosts: {error}")).ok()
}
