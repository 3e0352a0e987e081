//! Routing properties of a request, derived from its body.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::hash::{combine_hashes, hash_bytes, hash_text};
use buckthornwharf_core::routing::{PickAffinity, estimate_tokens, prefix_hash};
use serde::Deserialize;

#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(default, borrow)]
    messages: Vec<ChatMessage<'a>>,
    max_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(default, borrow)]
    content: std::borrow::Cow<'a, str>,
}

/// Routing properties of a request. A body that is not a chat request counts as one without messages
/// and token limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSummary {
    /// Estimated cost in tokens.
    pub cost_tokens: u32,
    /// The key for target affinity: the idempotency key or else the prompt prefix.
    pub affinity: PickAffinity,
    /// Hash of path and body, to recognise a request that crashes targets.
    pub fingerprint: u64,
}

impl PromptSummary {
    /// Summarises the body of a request of `organisation` to `path`.
    pub fn read(
        organisation: &OrganisationName,
        path: &str,
        idempotency_key: Option<&str>,
        body: &[u8],
    ) -> Self {
        let chat: Option<ChatBody> = serde_json::from_slice(body).ok();
        let max_tokens = chat.as_ref().and_then(|chat| chat.max_tokens);
        let texts = chat.iter().flat_map(|chat| &chat.messages).map(|message| &*message.content);
        let prefix = prefix_hash(organisation, texts);
        let affinity = match (idempotency_key, prefix) {
            (Some(key), _) => PickAffinity::Key(idempotency_key_hash(organisation, key)),
            (None, Some(prefix)) => PickAffinity::Prefix(prefix),
            (None, None) => PickAffinity::None,
        };
        Self {
            cost_tokens: estimate_tokens(body.len(), max_tokens),
            affinity,
            fingerprint: combine_hashes(hash_text(path), hash_bytes(body)),
        }
    }
}

fn idempotency_key_hash(organisation: &OrganisationName, key: &str) -> u64 {
    combine_hashes(hash_text(organisation.as_str()), hash_text(key))
}
