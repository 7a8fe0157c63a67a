//! Deterministic answers: each token is derived from the prompt and its index, so that a caller can
//! detect an answer to another prompt or an incomplete answer.

use domain::digest;

/// The words that answers consist of.
const WORDS: [&str; 16] = [
    "water", "bus", "stop", "filter", "fish", "route", "seat", "plant", "clinic", "tank", "rider",
    "salt", "valley", "heater", "driver", "shrimp",
];

/// Returns the token at `index` in the answer to the prompt with digest `prompt_digest`.
pub fn token(prompt_digest: u64, index: u64) -> String {
    let digest = digest::seeded(&index.to_le_bytes(), prompt_digest);
    format!(
        "{}{} ",
        WORDS[(digest % 16) as usize],
        (digest >> 8) % 1_000
    )
}

/// Returns the complete answer of `count` tokens to a prompt.
pub fn complete(prompt: &str, count: u64) -> String {
    let prompt_digest = digest::fast(prompt.as_bytes());
    (0..count)
        .map(|index| token(prompt_digest, index))
        .collect()
}
