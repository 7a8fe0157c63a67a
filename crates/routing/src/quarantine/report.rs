//! What entries tell each other about suspects.

/// Suspects, and digests that are no longer suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The suspects.
    pub suspects: Vec<Suspicion>,
    /// Digests of requests that ran to their end.
    pub cleared: Vec<u64>,
}

/// A digest under suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The digest of a request or of a part of a prompt.
    pub digest: u64,
    /// The digests of the servers that crashed, each with the weight of its evidence.
    pub crashes: Vec<(u64, u8)>,
}
