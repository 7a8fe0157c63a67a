//! The lines of an engine's answer. There is one for each token, so a hand-written deserialiser
//! reads them in a single pass.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;

/// One line of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// One token of the answer.
    Chunk {
        /// The attempt number that the engine received with the request.
        attempt: u32,
        /// The position in the answer, in tokens, starting at zero.
        index: u64,
        /// The text of the token.
        text: String,
        /// The engine time of the prefill, in microseconds, if the engine reports it.
        prefill_us: Option<u64>,
    },
    /// The end of the answer.
    End {
        /// The attempt number that the engine received with the request.
        attempt: u32,
        /// The number of tokens in the whole answer.
        count: u64,
    },
}

/// The fields of either kind of line, collected in any order.
#[derive(Default)]
struct Fields {
    kind: Option<Kind>,
    attempt: Option<u32>,
    index: Option<u64>,
    count: Option<u64>,
    text: Option<String>,
    prefill_us: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Chunk,
    End,
}

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum Field {
    Type,
    Attempt,
    Index,
    Count,
    Text,
    PrefillUs,
    #[serde(other)]
    Other,
}

impl<'de> Deserialize<'de> for Line {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(LineVisitor)
    }
}

struct LineVisitor;

impl<'de> Visitor<'de> for LineVisitor {
    type Value = Line;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk or the end of an answer")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Line, A::Error> {
        let mut fields = Fields::default();
        while let Some(field) = map.next_key()? {
            match field {
                Field::Type => fields.kind = Some(map.next_value()?),
                Field::Attempt => fields.attempt = Some(map.next_value()?),
                Field::Index => fields.index = Some(map.next_value()?),
                Field::Count => fields.count = Some(map.next_value()?),
                Field::Text => fields.text = Some(map.next_value()?),
                Field::PrefillUs => fields.prefill_us = map.next_value()?,
                Field::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        fields.into_line()
    }
}

impl Fields {
    fn into_line<E: Error>(self) -> Result<Line, E> {
        let attempt = self.attempt.ok_or_else(|| E::missing_field("attempt"))?;
        match self.kind.ok_or_else(|| E::missing_field("type"))? {
            Kind::Chunk => Ok(Line::Chunk {
                attempt,
                index: self.index.ok_or_else(|| E::missing_field("index"))?,
                text: self.text.ok_or_else(|| E::missing_field("text"))?,
                prefill_us: self.prefill_us,
            }),
            Kind::End => Ok(Line::End {
                attempt,
                count: self.count.ok_or_else(|| E::missing_field("count"))?,
            }),
        }
    }
}
