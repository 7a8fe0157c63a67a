//! Idempotency keys: the identifiers of requests that may run at most once.
//!
//! Two kinds exist, told apart by the UUID's version alone, so that every entry instance sends a
//! key to the same authority:
//!
//! - *Minted* keys (UUIDv7) come from the caller. Their authority is the platform's log.
//! - *Tickets* (UUIDv8) come from an entry instance and name the incarnation that issued them,
//!   which is their only authority. A ticket needs no log, no clock and no agreement.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// The number of bits of a ticket that name its incarnation.
const INCARNATION_BITS: u32 = 40;
/// The number of bits of a ticket that hold the low part of its sequence number.
const SEQUENCE_LOW_BITS: u32 = 22;
const TIME_SHIFT: u32 = 80;
const VERSION_SHIFT: u32 = 76;
const SEQUENCE_HIGH_SHIFT: u32 = 64;
const VARIANT: u128 = 0b10 << 62;
const TICKET_VERSION: u128 = 8;

/// One life of an entry process, drawn at random when it starts. 40 bits are used.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the incarnation that `random` bits stand for.
    pub fn from_random(random: u64) -> Self {
        Self(random & ((1 << INCARNATION_BITS) - 1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:010x}", self.0)
    }
}

/// A key that marks a request as non-idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Uuid);

/// The authority that decides whether a key may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The first claim in the platform's log decides.
    Log,
    /// The named incarnation of an entry instance decides, from its memory.
    Issuer(Incarnation),
}

/// A text that is no usable key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is no UUID.
    #[error("is no UUID: send a UUIDv7, or take a ticket from POST /v1/keys")]
    Syntax,
    /// The UUID has a version that does not tell its age.
    #[error("is a UUID of version {0}: send a UUIDv7, or take a ticket from POST /v1/keys")]
    Version(usize),
}

impl Key {
    /// Parses a key from a caller's header.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let uuid = Uuid::try_parse(text.trim()).map_err(|_| Error::Syntax)?;
        match uuid.get_version_num() {
            7 | 8 => Ok(Self(uuid)),
            version => Err(Error::Version(version)),
        }
    }

    /// Returns the key that a caller mints `since_epoch` after the Unix epoch.
    pub fn generate(since_epoch: Duration, random: u128) -> Self {
        let millis = since_epoch.as_millis() & ((1 << 48) - 1);
        let low = random & ((1 << 62) - 1);
        let high = (random >> 62) & 0xfff;
        let bits =
            millis << TIME_SHIFT | 7 << VERSION_SHIFT | high << SEQUENCE_HIGH_SHIFT | VARIANT | low;
        Self(Uuid::from_u128(bits))
    }

    /// Returns ticket number `sequence` of an incarnation, issued `since_epoch` after the epoch.
    pub fn ticket(since_epoch: Duration, issuer: Incarnation, sequence: u64) -> Self {
        let millis = since_epoch.as_millis() & ((1 << 48) - 1);
        let sequence = u128::from(sequence) & ((1 << (12 + SEQUENCE_LOW_BITS)) - 1);
        let bits = millis << TIME_SHIFT
            | TICKET_VERSION << VERSION_SHIFT
            | (sequence >> SEQUENCE_LOW_BITS) << SEQUENCE_HIGH_SHIFT
            | VARIANT
            | u128::from(issuer.0) << SEQUENCE_LOW_BITS
            | sequence & ((1 << SEQUENCE_LOW_BITS) - 1);
        Self(Uuid::from_u128(bits))
    }

    /// Returns who decides whether this key may still run.
    pub fn authority(self) -> Authority {
        if self.0.get_version_num() == 7 {
            return Authority::Log;
        }
        let bits = self.0.as_u128() >> SEQUENCE_LOW_BITS;
        let issuer = bits as u64 & ((1 << INCARNATION_BITS) - 1);
        Authority::Issuer(Incarnation(issuer))
    }

    /// Returns the sequence number of a ticket.
    pub fn sequence(self) -> u64 {
        let bits = self.0.as_u128();
        let high = (bits >> SEQUENCE_HIGH_SHIFT) & 0xfff;
        let low = bits & ((1 << SEQUENCE_LOW_BITS) - 1);
        (high << SEQUENCE_LOW_BITS | low) as u64
    }

    /// Returns the time between the Unix epoch and the moment at which the key was made.
    pub fn created(self) -> Duration {
        Duration::from_millis((self.0.as_u128() >> TIME_SHIFT) as u64)
    }

    /// Returns the key's 128 bits.
    pub fn as_u128(self) -> u128 {
        self.0.as_u128()
    }

    /// Returns the key that the bits of [`Key::as_u128`] stand for.
    pub fn from_u128(bits: u128) -> Result<Self, Error> {
        let uuid = Uuid::from_u128(bits);
        match uuid.get_version_num() {
            7 | 8 => Ok(Self(uuid)),
            version => Err(Error::Version(version)),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl Serialize for Key {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl serde::de::Visitor<'_> for Visitor {
            type Value = Key;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a UUIDv7 or a ticket")
            }

            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Key, E> {
                Key::parse(text).map_err(E::custom)
            }
        }

        deserializer.deserialize_str(Visitor)
    }
}
