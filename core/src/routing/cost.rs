//! What a request costs, estimated before it runs, and which prompts share a prefix.

use super::hash::{combine_hashes, hash_bytes, hash_text};
use crate::prelude::*;

/// Bytes of a request's body that make one token, on average.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer whose request names no bound.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Messages at the start of a conversation that make its prefix: instructions and first question.
const PREFIX_MESSAGES: usize = 2;
/// Bytes of each of these messages that count.
const PREFIX_MESSAGE_BYTES: usize = 4096;

/// Estimated cost in tokens of a request with a body of `body_bytes` bytes that asks for an answer
/// of at most `max_tokens` tokens. At least 1.
pub fn estimate_tokens(body_bytes: usize, max_tokens: Option<u32>) -> u32 {
    let prompt = u32::try_from(body_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let answer = max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    prompt.saturating_add(answer).max(1)
}

/// Hash of the start of a conversation: equal for all turns of one conversation, and for
/// conversations of an organisation that start alike. `messages` are the texts of the messages in
/// order; none if there is no message.
pub fn prefix_hash<'a>(
    organisation: &OrganisationName,
    messages: impl IntoIterator<Item = &'a str>,
) -> Option<u64> {
    let mut messages = messages.into_iter().take(PREFIX_MESSAGES).peekable();
    messages.peek()?;
    let start = hash_text(organisation.as_str());
    Some(messages.fold(start, |hash, text| {
        let kept = &text.as_bytes()[..text.len().min(PREFIX_MESSAGE_BYTES)];
        combine_hashes(hash, hash_bytes(kept))
    }))
}
