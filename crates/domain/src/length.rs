//! Prompt lengths, and the length classes used for routing and reports.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The number of bytes of English or Romanian text per token, as the engines count them.
pub const BYTES_PER_TOKEN: u64 = 4;

/// The length class of a prompt, by its number of tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Length {
    /// Up to 4,000 tokens, for example a forum thread or a rider's message.
    #[default]
    Short,
    /// Up to 32,000 tokens, for example a route review or a tank journal.
    Medium,
    /// Up to 200,000 tokens, for example a year of journals.
    Long,
    /// Above 200,000 tokens, for example an archived care guide of up to a million tokens.
    Huge,
}

impl Length {
    /// All classes, the shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// The longest prompt of the short class, in tokens.
    pub const SHORT_LIMIT: u64 = 4_000;
    /// The longest prompt of the medium class, in tokens.
    pub const MEDIUM_LIMIT: u64 = 32_000;
    /// The longest prompt of the long class, in tokens.
    pub const LONG_LIMIT: u64 = 200_000;

    /// Returns the class of a prompt of `tokens` tokens.
    pub fn of(tokens: u64) -> Self {
        let upper_limits = [Self::SHORT_LIMIT, Self::MEDIUM_LIMIT, Self::LONG_LIMIT];
        let class = upper_limits.iter().position(|limit| tokens <= *limit);
        class.map_or(Self::Huge, |index| Self::ALL[index])
    }

    /// Returns the name used in reports and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        }
    }
}

impl fmt::Display for Length {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// Returns the estimated number of tokens in a prompt of `bytes` bytes, rounded up.
pub fn tokens(bytes: usize) -> u64 {
    (bytes as u64).div_ceil(BYTES_PER_TOKEN)
}
