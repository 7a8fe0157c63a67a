//! The state of the claim streams of the log.

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
    pub(super) by_shard: RefCell<HashMap<ShardId, Rc<Stream>>>,
}

/// One claim stream of the log.
pub(super) struct Stream {
    pub id: ShardId,
    pub state: RefCell<State>,
}

/// The state of a claim stream.
pub(super) struct State {
    pub shard: Shard,
    pub is_loaded: bool,
    pub is_flushing: bool,
    /// When the log may be tried again after a failed append. Until then new claims fail at once.
    pub unavailable_until: Moment,
    pub pending: Pending,
    pub waiters: HashMap<(Key, Nonce), Sender<Decision>>,
}

impl Stream {
    /// Answers all waiting claims with the log's error. They may still take effect, so the
    /// requesters release them.
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
    /// Answers the requesters of the claims in `events`, which the log appended at `appended_at`.
    /// Without a time, only the state of the shard decides.
    pub fn answer(&mut self, events: &[Event], appended_at: Option<Duration>) {
        for event in events.iter().filter(|it| it.kind == Kind::Claim) {
            let (key, nonce) = (event.key, event.nonce);
            let recorded = self.shard.verdict(key, nonce).map(Decision::Verdict);
            let window_violation = appended_at
                .and_then(|it| self.shard.window_violation(key, it))
                .map(Decision::Verdict);
            let decision = recorded
                .or(window_violation)
                .unwrap_or_else(|| Decision::Unavailable("claims expired unread".to_owned()));
            if let Some(sender) = self.waiters.remove(&(key, nonce)) {
                let _ = sender.try_send(decision);
            }
        }
    }
}
