//! Client for the platform's key-value service.

use crate::clock;
use crate::platform::http::{HttpCall, HttpError, HttpResponse};
use awc::http::{Method, StatusCode};
use base64::prelude::{BASE64_STANDARD, Engine};
use buckthornwharf_core::config::budget::{CallBudget, RetryBackoff};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::percent_encode;
use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Size limit of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to the wait of a watch to get the timeout of its call.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
const VERIFY_ATTEMPTS: u32 = 5;
const CALLS_PER_SECOND: f64 = 50.0;
const CALL_BURST: f64 = 100.0;

/// A key with its value and metadata.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvRow {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// Index of the last write to the key, which a compare-and-swap expects.
    pub index: u64,
    /// The session that holds the key's lock.
    pub session: Option<KvSession>,
}

/// Id of a session. The service deletes the keys that a session holds when the session ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Deserialize)]
#[serde(transparent)]
pub struct KvSession(Arc<str>);

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum KvError {
    /// can't reach the key-value service: {0}
    Unreachable(String),
    /// call to the key-value service not sent: this process exceeds its rate limit
    OverBudget,
    /// value exceeds the key-value service's limit of 1 MiB
    TooLarge,
    /// key-value service rejected the call with status {0}
    Refused(u16),
    /// no usable response from the key-value service: {0}
    Unknown(String),
}

impl std::error::Error for KvError {}

impl KvError {
    /// Whether the call certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, KvError::Unknown(_))
    }

    /// Whether the same call may succeed if it is retried later.
    pub fn is_transient(&self) -> bool {
        !matches!(self, KvError::TooLarge | KvError::Refused(_))
    }
}

/// Client for the key-value service. Clones share one rate limit.
#[derive(Debug, Clone)]
pub struct KvClient {
    address: SocketAddr,
    budget: Arc<Mutex<CallBudget>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RowBody {
    key: Arc<str>,
    #[serde(default)]
    value: Option<String>,
    modify_index: u64,
    #[serde(default)]
    session: Option<KvSession>,
}

#[derive(Deserialize)]
struct SessionBody {
    #[serde(rename = "ID")]
    id: KvSession,
}

impl KvClient {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let budget = CallBudget::new(CALLS_PER_SECOND, CALL_BURST, clock::now());
        Self { address, budget: Arc::new(Mutex::new(budget)) }
    }

    /// Reads the row of `key`; `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// [`KvError`] if the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<KvRow>, KvError> {
        let rows = self.read_rows(&format!("kv/{}", percent_encode(key)), CALL_TIMEOUT).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// [`KvError`] if the call fails.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KvRow>, KvError> {
        let path = format!("kv/{}?recurse=true", percent_encode(prefix));
        self.read_rows(&path, CALL_TIMEOUT).await
    }

    /// Long poll: returns the row of `key` as soon as its index exceeds `after_index`, or its current
    /// state after `wait`.
    ///
    /// # Errors
    ///
    /// [`KvError`] if the call fails.
    pub async fn watch(
        &self,
        key: &str,
        after_index: u64,
        wait: Duration,
    ) -> Result<Option<KvRow>, KvError> {
        let wait_ms = wait.as_millis();
        let path = format!("kv/{}?index={after_index}&wait={wait_ms}ms", percent_encode(key));
        let rows = self.read_rows(&path, wait + WATCH_MARGIN).await?;
        Ok(rows.into_iter().next())
    }

    /// Compare-and-swap: sets `key` if its index is `index` (0: if the key is absent). Returns whether
    /// the key was set.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if the write may have taken effect. Any other error means that it did not.
    pub async fn put_cas(&self, key: &str, value: Bytes, index: u64) -> Result<bool, KvError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(KvError::TooLarge);
        }
        let path = format!("kv/{}?cas={index}", percent_encode(key));
        self.write(Method::PUT, &path, value).await
    }

    /// Like [`KvClient::put_cas`], but resolves the outcome of a write whose response was lost: reads
    /// the key back and, while its index is still `index`, writes again. The value must be unique to
    /// this write. `false` means that the key holds another value.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if the outcome could not be determined. Any other error means that the
    /// write had no effect.
    pub async fn put_cas_verified(
        &self,
        key: &str,
        value: Bytes,
        index: u64,
    ) -> Result<bool, KvError> {
        let lost_response = match self.put_cas(key, value.clone(), index).await {
            Err(error @ KvError::Unknown(_)) => error,
            outcome => return outcome,
        };
        let backoff = RetryBackoff::default();
        for attempt in 0..VERIFY_ATTEMPTS {
            tokio::time::sleep(backoff.delay(attempt, &mut rand::rng())).await;
            let Ok(row) = self.get(key).await else { continue };
            if row.as_ref().is_some_and(|row| row.value == value) {
                return Ok(true);
            }
            if row.map_or(0, |row| row.index) != index {
                return Ok(false);
            }
            // The first write may still be in flight; at most one of the two can take effect, since both
            // expect the same index.
            if self.put_cas(key, value.clone(), index).await == Ok(true) {
                return Ok(true);
            }
        }
        Err(lost_response)
    }

    /// Deletes `key` if its index is `index`. Returns whether the key was deleted.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if the deletion may have taken effect. Any other error means that it did not.
    pub async fn delete_cas(&self, key: &str, index: u64) -> Result<bool, KvError> {
        let path = format!("kv/{}?cas={index}", percent_encode(key));
        self.write(Method::DELETE, &path, Bytes::new()).await
    }

    /// Creates a session that expires `ttl` after its last renewal. The service then deletes the keys
    /// that the session holds.
    ///
    /// # Errors
    ///
    /// [`KvError`] if the call fails.
    pub async fn create_session(&self, ttl: Duration) -> Result<KvSession, KvError> {
        let body = format!(r#"{{"TTL":"{}ms","Behavior":"delete"}}"#, ttl.as_millis());
        let answer = self.call(Method::PUT, "session/create", body.into(), CALL_TIMEOUT).await?;
        let session: SessionBody = parse(&check(answer)?)?;
        Ok(session.id)
    }

    /// Renews a session. Returns `false` if the session no longer exists.
    ///
    /// # Errors
    ///
    /// [`KvError`] if the call fails; the session may have been renewed.
    pub async fn renew_session(&self, session: &KvSession) -> Result<bool, KvError> {
        self.update_session("renew", session).await
    }

    /// Ends a session, which deletes the keys that it holds. Returns `false` if the session no longer
    /// exists.
    ///
    /// # Errors
    ///
    /// [`KvError`] if the call fails; the session may have ended.
    pub async fn destroy_session(&self, session: &KvSession) -> Result<bool, KvError> {
        self.update_session("destroy", session).await
    }

    /// Sets `key` and locks it for `session`, unless another session holds it. Returns whether the key
    /// was acquired.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if the write may have taken effect. Any other error means that it did not.
    pub async fn acquire(
        &self,
        key: &str,
        value: Bytes,
        session: &KvSession,
    ) -> Result<bool, KvError> {
        let path = format!("kv/{}?acquire={}", percent_encode(key), session.0);
        self.write(Method::PUT, &path, value).await
    }

    /// Unlocks `key` if `session` holds it. Returns whether the key was released.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if the write may have taken effect. Any other error means that it did not.
    pub async fn release(&self, key: &str, session: &KvSession) -> Result<bool, KvError> {
        let path = format!("kv/{}?release={}", percent_encode(key), session.0);
        self.write(Method::PUT, &path, Bytes::new()).await
    }

    async fn update_session(&self, verb: &str, session: &KvSession) -> Result<bool, KvError> {
        let path = format!("session/{verb}/{}", session.0);
        let answer = self.call(Method::PUT, &path, Bytes::new(), CALL_TIMEOUT).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        check(answer).map(|_| true)
    }

    async fn read_rows(&self, path: &str, timeout: Duration) -> Result<Vec<KvRow>, KvError> {
        let answer = self.call(Method::GET, path, Bytes::new(), timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        let rows: Vec<RowBody> = parse(&check(answer)?)?;
        rows.into_iter().map(RowBody::decode).collect()
    }

    async fn write(&self, method: Method, path: &str, value: Bytes) -> Result<bool, KvError> {
        let answer = self.call(method, path, value, CALL_TIMEOUT).await?;
        parse(&check(answer)?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, KvError> {
        if !self.try_take_call() {
            return Err(KvError::OverBudget);
        }
        let url = format!("http://{}/v1/{path}", self.address);
        let call = HttpCall {
            method,
            url,
            body,
            if_none_match: None,
            timeout,
            max_response_bytes: MAX_RESPONSE_BYTES,
        };
        call.send().await.map_err(KvError::from)
    }

    fn try_take_call(&self) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_take(clock::now())
    }
}

impl RowBody {
    fn decode(self) -> Result<KvRow, KvError> {
        let value = BASE64_STANDARD.decode(self.value.unwrap_or_default());
        let value = value.map_err(|error| KvError::Unknown(error.to_string()))?;
        let Self { key, modify_index, session, .. } = self;
        Ok(KvRow { key, value: value.into(), index: modify_index, session })
    }
}

impl From<HttpError> for KvError {
    fn from(error: HttpError) -> Self {
        if error.never_sent() {
            return KvError::Unreachable(error.to_string());
        }
        KvError::Unknown(error.to_string())
    }
}

fn check(answer: HttpResponse) -> Result<Bytes, KvError> {
    if answer.status.is_success() {
        return Ok(answer.body);
    }
    if answer.status == StatusCode::PAYLOAD_TOO_LARGE {
        return Err(KvError::TooLarge);
    }
    // A server error may be sent after the write took effect.
    if answer.status.is_server_error() {
        return Err(KvError::Unknown(format!("status {}", answer.status.as_u16())));
    }
    Err(KvError::Refused(answer.status.as_u16()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(body).map_err(|error| KvError::Unknown(error.to_string()))
}
