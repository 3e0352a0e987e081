//! The text that an engine generates: a function of the prompt alone, so that a test can tell
//! whether an answer is whole and its own.

/// Hexadecimal digits of the prompt's hash in each token.
const HASH_DIGITS: usize = 8;

/// The token at `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hash = blake3::hash(prompt.as_bytes()).to_hex();
    let gap = if index == 0 { "" } else { " " };
    format!("{gap}t{index}-{}", &hash[..HASH_DIGITS])
}

/// The whole answer of `max_tokens` tokens to `prompt`.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens).map(|index| token_text(prompt, index)).collect()
}
