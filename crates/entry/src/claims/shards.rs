//! What is known of the claim streams of the log.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use claim::Nonce;
use claim::Pending;
use claim::Shard;
use claim::ShardId;
use claim::record::Event;
use claim::record::Kind;
use domain::Key;
use domain::Moment;
use platform::Error as LogError;
use wire::call::Decision;

/// The claim streams for which this entry has been the authority.
#[derive(Default)]
pub struct Streams {
    pub(super) shards: RefCell<HashMap<ShardId, Rc<Stream>>>,
}

/// One claim stream.
pub(super) struct Stream {
    pub id: ShardId,
    pub state: RefCell<State>,
}

/// What is known of a claim stream.
pub(super) struct State {
    pub shard: Shard,
    pub is_loaded: bool,
    pub is_flushing: bool,
    /// Until when the log counts as out, after it did not answer.
    pub out_until: Moment,
    pub pending: Pending,
    pub waiters: HashMap<(Key, Nonce), Sender<Decision>>,
}

impl Stream {
    /// Tells all who wait that the log is out. Their claims may still take effect; whoever asked
    /// releases them.
    pub fn fail_waiters(&self, error: &LogError) {
        let mut state = self.state.borrow_mut();
        let waiters = std::mem::take(&mut state.waiters);
        drop(state);
        for sender in waiters.into_values() {
            let _ = sender.try_send(Decision::Unavailable(error.to_string()));
        }
    }
}

impl State {
    /// Answers those who wait for claims in `events`, which the log took at `at`. Without it, only
    /// what the fold knows is answered.
    pub fn answer(&mut self, events: &[Event], at: Option<Duration>) {
        for event in events.iter().filter(|it| it.kind == Kind::Claim) {
            let (key, nonce) = (event.key, event.nonce);
            let known = self.shard.verdict(key, nonce).map(Decision::Verdict);
            let misdated = at
                .and_then(|at| self.shard.misdated(key, at))
                .map(Decision::Verdict);
            let decision = known
                .or(misdated)
                .unwrap_or_else(|| Decision::Unavailable("claims have expired unread".to_owned()));
            if let Some(sender) = self.waiters.remove(&(key, nonce)) {
                let _ = sender.try_send(decision);
            }
        }
    }
}
