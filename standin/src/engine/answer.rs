//! The text that an engine generates: a function of the prompt alone, so that a test can check that
//! an answer is complete and belongs to its prompt.

/// Hexadecimal digits of the prompt's hash that each token contains.
const HASH_DIGITS: usize = 8;

/// Returns the token at `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    let gap = if index == 0 { "" } else { " " };
    format!("{gap}t{index}-{}", &hash[..HASH_DIGITS])
}

/// Returns the complete answer to `prompt`, of `max_tokens` tokens.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens).map(|index| token_text(prompt, index)).collect()
}
