//! Digests: SHA-256 for secrets, and a fast 64-bit hash for placement and fingerprints.

use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the SHA-256 digest of a caller's secret key, as 64 lowercase hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    use std::fmt::Write;

    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(text.as_bytes()) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

/// Returns a 64-bit digest that is the same in every process and release. It isn't cryptographic.
pub fn fast(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns a 64-bit digest of `bytes` that differs for each `seed`.
pub fn seeded(bytes: &[u8], seed: u64) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}
