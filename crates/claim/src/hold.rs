//! Who holds one key: the rule that claims through the log and tickets share.

use serde::Deserialize;
use serde::Serialize;

use crate::Nonce;
use crate::Outcome;
use crate::Verdict;

/// Who holds one key, and what became of the request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hold {
    holder: Option<Nonce>,
    released: Vec<Nonce>,
    outcome: Outcome,
}

impl Hold {
    /// Lets `nonce` hold the key if nobody does. A nonce that was released never holds again, so
    /// that a second copy of its claim, which comes late, is harmless.
    pub fn claim(&mut self, nonce: Nonce) {
        if self.holder.is_none() && !self.released.contains(&nonce) {
            self.holder = Some(nonce);
        }
    }

    /// Takes the claim of `nonce` back, which its holder did not run and never will. This may come
    /// before the claim itself.
    pub fn release(&mut self, nonce: Nonce) {
        self.released.push(nonce);
        if self.holder == Some(nonce) {
            self.holder = None;
        }
    }

    /// Notes how the request of the holder ended.
    pub fn settle(&mut self, nonce: Nonce, outcome: Outcome) {
        if self.holder == Some(nonce) {
            self.outcome = outcome;
        }
    }

    /// Returns what is said to `nonce`, or `None` if nobody holds the key.
    pub fn verdict(&self, nonce: Nonce) -> Option<Verdict> {
        match self.holder? {
            holder if holder == nonce => Some(Verdict::Granted),
            _ => Some(Verdict::Used(self.outcome.clone())),
        }
    }
}
