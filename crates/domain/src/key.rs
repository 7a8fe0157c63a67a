//! Idempotency keys: identifiers of requests that may run at most once.
//!
//! Two kinds exist. The version of the UUID alone tells them apart, so every entry instance sends
//! a key to the same authority:
//!
//! - *Caller-generated* keys (UUIDv7). Their authority is the platform's log.
//! - *Tickets* (UUIDv8), which an entry instance issues. A ticket contains the incarnation of its
//!   issuer, which is its only authority, so tickets need no log, no clock and no consensus.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// The number of bits of a ticket that hold the incarnation of its issuer.
const INCARNATION_BITS: u32 = 40;
/// The number of bits of a ticket that hold the low part of its sequence number.
const SEQUENCE_LOW_BITS: u32 = 22;
/// The bit position of the creation time: 48 bits, in milliseconds since the Unix epoch.
const TIME_SHIFT: u32 = 80;
/// The bit position of the UUID version.
const VERSION_SHIFT: u32 = 76;
/// The bit position of the high 12 bits of a ticket's sequence number. In a UUIDv7 they are random.
const SEQUENCE_HIGH_SHIFT: u32 = 64;
/// The variant bits of a UUID as RFC 9562 defines them.
const VARIANT: u128 = 0b10 << 62;
/// The UUID version of tickets, whose contents RFC 9562 leaves to the application.
const TICKET_VERSION: u128 = 8;

/// The random number that identifies one run of an entry process. It uses 40 bits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns an incarnation made from the low bits of `random`.
    pub fn from_random(random: u64) -> Self {
        Self(random & ((1 << INCARNATION_BITS) - 1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:010x}", self.0)
    }
}

/// An idempotency key. It marks a request as non-idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Uuid);

/// The authority that decides whether the request of a key may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The platform's log: the first claim in it wins.
    Log,
    /// The incarnation of the entry instance that issued the ticket, which decides from its memory.
    Issuer(Incarnation),
}

/// The reason why a text or a number isn't a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text isn't a UUID.
    #[error("isn't a UUID: send a UUIDv7, or get a ticket from POST /v1/keys")]
    Syntax,
    /// The UUID has a version other than 7 or 8, so it doesn't contain its creation time.
    #[error("is a UUID of version {0}: send a UUIDv7, or get a ticket from POST /v1/keys")]
    Version(usize),
}

impl Key {
    /// Parses the key in a caller's header.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let uuid = Uuid::try_parse(text.trim()).map_err(|_| Error::Syntax)?;
        match uuid.get_version_num() {
            7 | 8 => Ok(Self(uuid)),
            version => Err(Error::Version(version)),
        }
    }

    /// Returns a caller-generated key (UUIDv7), created `since_epoch` after the Unix epoch.
    pub fn generate(since_epoch: Duration, random: u128) -> Self {
        let millis = since_epoch.as_millis() & ((1 << 48) - 1);
        let low = random & ((1 << 62) - 1);
        let high = (random >> 62) & 0xfff;
        let bits =
            millis << TIME_SHIFT | 7 << VERSION_SHIFT | high << SEQUENCE_HIGH_SHIFT | VARIANT | low;
        Self(Uuid::from_u128(bits))
    }

    /// Returns ticket number `sequence` of `issuer`, created `since_epoch` after the Unix epoch.
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

    /// Returns the authority that decides whether the request of this key may still run.
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

    /// Returns the time of the key's creation, since the Unix epoch.
    pub fn created(self) -> Duration {
        Duration::from_millis((self.0.as_u128() >> TIME_SHIFT) as u64)
    }

    /// Returns the key's 128 bits.
    pub fn as_u128(self) -> u128 {
        self.0.as_u128()
    }

    /// Returns the key with the bits of [`Key::as_u128`].
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
