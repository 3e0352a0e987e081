//! The client of the platform's list of hosts.

use crate::platform::http::{HttpCall, HttpError};
use awc::http::Method;
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
        let call = HttpCall {
            method: Method::GET,
            url: format!("http://{}/v1/hosts", self.addr),
            body: Bytes::new(),
            deadline: LIST_DEADLINE,
            max_answer_bytes: MAX_LIST_BYTES,
        };
        let answer = call.send().await.map_err(HostsError::Call)?;
        if !answer.status.is_success() {
            return Err(HostsError::Status(answer.status.as_u16()));
        }
        let mut records: Vec<HostRecord> = serde_json::from_slice(&answer.body)
            .map_err(|error| HostsError::Malformed(error.to_string()))?;
        records.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(records)
    }
}
