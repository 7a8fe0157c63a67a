//! Answers that can be checked: each token follows from the prompt, so that a caller can tell its
//! own answer from another's and a whole one from a part.

use domain::digest;

/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "water", "bus", "stop", "filter", "fish", "route", "seat", "plant", "clinic", "tank", "rider",
    "salt", "valley", "heater", "driver", "shrimp",
];

/// Returns token number `index` of the answer to a prompt.
pub fn token(prompt: u64, index: u64) -> String {
    let digest = digest::seeded(&index.to_le_bytes(), prompt);
    format!(
        "{}{} ",
        WORDS[(digest % 16) as usize],
        (digest >> 8) % 1_000
    )
}

/// Returns the whole answer of `count` tokens to a prompt.
pub fn complete(prompt: &str, count: u64) -> String {
    let prompt = digest::fast(prompt.as_bytes());
    (0..count).map(|index| token(prompt, index)).collect()
}
