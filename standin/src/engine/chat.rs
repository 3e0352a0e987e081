//! The JSON objects of chat completions.

use crate::call::StandinError;
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Tokens of an answer whose request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Upper limit on the tokens of an answer.
const MAX_TOKENS: u32 = 1 << 16;

/// A request for a chat completion; unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// Digest of a loaded version; any other name selects the version loaded last.
    #[serde(default)]
    pub model: String,
    /// The messages that form the prompt.
    pub messages: Vec<ChatMessage>,
    /// Tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A message of a chat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FinishReason {
    /// All tokens were generated.
    Length,
    /// The request was cancelled.
    Abort,
}

impl ChatRequest {
    /// Returns the prompt: the contents of the messages, joined by line breaks.
    pub fn prompt(&self) -> String {
        let contents: Vec<&str> =
            self.messages.iter().map(|message| message.content.as_str()).collect();
        contents.join("\n")
    }

    /// Returns the number of tokens of the answer.
    ///
    /// # Errors
    ///
    /// 400 if `max_tokens` exceeds the engine's limit.
    pub fn answer_tokens(&self) -> Result<u32, StandinError> {
        let tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if tokens > MAX_TOKENS {
            return Err(StandinError::bad_request(format!(
                "max_tokens {tokens} exceeds the limit of {MAX_TOKENS}"
            )));
        }
        Ok(tokens)
    }
}

/// The fields that all objects of one answer share.
#[derive(Debug, Clone)]
pub struct ChatMetadata {
    /// Id of the answer.
    pub id: String,
    /// Model name from the request.
    pub model: String,
    /// Digest of the weights that generate the answer.
    pub fingerprint: VersionDigest,
}

impl ChatMetadata {
    /// Returns the object of a streamed answer that carries `content`.
    pub fn token_chunk(&self, content: &str) -> Value {
        self.chunk(&json!({ "role": "assistant", "content": content }), None)
    }

    /// Returns the last object of a streamed answer.
    pub fn last_chunk(&self, reason: FinishReason) -> Value {
        self.chunk(&json!({}), Some(reason))
    }

    fn chunk(&self, delta: &Value, reason: Option<FinishReason>) -> Value {
        let reason: Option<&str> = reason.map(FinishReason::into);
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "system_fingerprint": self.fingerprint,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        })
    }

    /// Returns the object of an answer that is not streamed.
    pub fn completion(&self, content: &str, tokens: u32, reason: FinishReason) -> Value {
        let reason: &str = reason.into();
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "system_fingerprint": self.fingerprint,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": reason,
            }],
            "usage": {
                "prompt_tokens": 0,
                "completion_tokens": tokens,
                "total_tokens": tokens,
            },
        })
    }
}
