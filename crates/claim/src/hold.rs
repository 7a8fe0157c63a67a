//! The holder of one key: the rules that claims in the log and tickets share.

use serde::Deserialize;
use serde::Serialize;

use crate::Nonce;
use crate::Outcome;
use crate::Verdict;

/// The holder of one key and the outcome of its request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hold {
    holder: Option<Nonce>,
    released: Vec<Nonce>,
    outcome: Outcome,
}

impl Hold {
    /// Makes `nonce` the holder if the key has none. A released nonce never becomes the holder
    /// again, so a late duplicate of its claim has no effect.
    pub fn claim(&mut self, nonce: Nonce) {
        if self.holder.is_none() && !self.released.contains(&nonce) {
            self.holder = Some(nonce);
        }
    }

    /// Releases the claim of `nonce`, whose holder did not run the request and never will. The
    /// release may arrive before the claim itself.
    pub fn release(&mut self, nonce: Nonce) {
        self.released.push(nonce);
        if self.holder == Some(nonce) {
            self.holder = None;
        }
    }

    /// Records the outcome of the request if `nonce` is the holder.
    pub fn settle(&mut self, nonce: Nonce, outcome: Outcome) {
        if self.holder == Some(nonce) {
            self.outcome = outcome;
        }
    }

    /// Returns the verdict on the claim of `nonce`, or `None` if the key has no holder.
    pub fn verdict(&self, nonce: Nonce) -> Option<Verdict> {
        match self.holder? {
            holder if holder == nonce => Some(Verdict::Granted),
            _ => Some(Verdict::Used(self.outcome.clone())),
        }
    }
}
