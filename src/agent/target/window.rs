//! Limits how far a target's answer is read ahead of the links.

use buckthornwharf_core::request::ledger::MAX_ANSWER_BYTES;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of an answer that may wait to be sent, beside those that the ledger keeps of it.
const MAX_UNSENT_BYTES: usize = 1024 * 1024;
/// Bytes of an answer that an agent may hold.
pub const ANSWER_WINDOW_BYTES: usize = MAX_ANSWER_BYTES as usize + MAX_UNSENT_BYTES;

/// The bytes that the agent holds of one answer. Reading waits while they fill the window.
#[derive(Debug)]
pub struct AnswerWindow {
    free_bytes: Arc<Semaphore>,
}

/// A part of an answer, and its share of the window.
struct HeldPart {
    bytes: Bytes,
    _share: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Default for AnswerWindow {
    fn default() -> Self {
        Self { free_bytes: Arc::new(Semaphore::new(ANSWER_WINDOW_BYTES)) }
    }
}

impl AnswerWindow {
    /// Waits until the window has room for `bytes`, and returns them. They fill it until their last copy is
    /// dropped. A part that is larger than the window fills all of it.
    pub async fn hold(&self, bytes: Bytes) -> Bytes {
        let count = u32::try_from(bytes.len().min(ANSWER_WINDOW_BYTES)).unwrap_or(u32::MAX);
        match self.free_bytes.clone().acquire_many_owned(count).await {
            Ok(share) => Bytes::from_owner(HeldPart { bytes, _share: share }),
            // The semaphore is never closed.
            Err(_) => bytes,
        }
    }
}
