//! Cost estimates of requests, and hashes of prompt prefixes.

use super::hash::{combine_hashes, hash_bytes, hash_text};
use crate::prelude::*;

/// Average bytes of a request body per prompt token.
const BYTES_PER_TOKEN: usize = 4;
/// Answer tokens assumed for a request without `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Leading messages of a conversation that are hashed: the system prompt and the first question.
const PREFIX_MESSAGES: usize = 2;
/// Leading bytes of each of these messages that are hashed.
const PREFIX_MESSAGE_BYTES: usize = 4096;

/// Estimates the cost, in tokens, of a request with a body of `body_bytes` bytes whose answer is
/// limited to `max_tokens` tokens. At least 1.
pub fn estimate_tokens(body_bytes: usize, max_tokens: Option<u32>) -> u32 {
    let prompt = u32::try_from(body_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let answer = max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    prompt.saturating_add(answer).max(1)
}

/// Hashes the start of a conversation. The hash is the same for all turns of a conversation and for
/// all conversations of an organisation with the same start. `messages` are the message texts in
/// order; returns `None` if there are none.
pub fn prefix_hash<'a>(
    organisation: &OrganisationName,
    messages: impl IntoIterator<Item = &'a str>,
) -> Option<u64> {
    let mut messages = messages.into_iter().take(PREFIX_MESSAGES).peekable();
    messages.peek()?;
    let seed = hash_text(organisation.as_str());
    Some(messages.fold(seed, |hash, text| {
        let prefix = &text.as_bytes()[..text.len().min(PREFIX_MESSAGE_BYTES)];
        combine_hashes(hash, hash_bytes(prefix))
    }))
}
