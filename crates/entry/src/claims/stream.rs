//! The authority for keys whose claims are ordered by the platform's log.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use claim::Nonce;
use claim::Outcome;
use claim::Pending;
use claim::Shard;
use claim::ShardId;
use claim::record::Event;
use claim::record::Kind;
use domain::Key;
use domain::Moment;
use platform::Error as LogError;
use web::stream::within;
use wire::call::Decision;

use crate::claims::shards::State;
use crate::claims::shards::Stream;
use crate::node::Node;

/// The timeout after which a claim is answered as unavailable.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The interval at which a due time is checked again.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Decides a claim by appending it to the log.
pub async fn decide(node: &Rc<Node>, key: Key, nonce: Nonce) -> Decision {
    let stream = stream(node, key);
    let (sender, receiver) = async_channel::bounded(1);
    {
        let mut state = stream.state.borrow_mut();
        if let Some(verdict) = state.shard.verdict(key, nonce).filter(|_| state.is_loaded) {
            return Decision::Verdict(verdict);
        }
        if clock::now() < state.unavailable_until {
            return Decision::Unavailable("the platform's log is unavailable".to_owned());
        }
        state.waiters.insert((key, nonce), sender);
        state.pending.push(Event {
            key,
            nonce,
            kind: Kind::Claim,
        });
    }
    flush(node, &stream);
    match within(DECISION_TIMEOUT, receiver.recv()).await {
        Some(Ok(decision)) => decision,
        _ => {
            stream.state.borrow_mut().waiters.remove(&(key, nonce));
            Decision::Unavailable("the platform's log did not answer in time".to_owned())
        }
    }
}

/// Appends the outcome of a claim to the log, or its release without one.
pub fn record_outcome(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Option<Outcome>) {
    let stream = stream(node, key);
    let mut state = stream.state.borrow_mut();
    let kind = match outcome {
        Some(outcome) => {
            state.shard.settle(key, nonce, outcome.clone());
            Kind::Settle(outcome)
        }
        None => Kind::Release,
    };
    state.pending.push(Event { key, nonce, kind });
    drop(state);
    flush(node, &stream);
}

fn stream(node: &Node, key: Key) -> Rc<Stream> {
    let id = ShardId::of(key);
    let retention = Duration::from_millis(node.settings.log_retention_ms);
    let mut by_shard = node.claim_streams.by_shard.borrow_mut();
    let stream = by_shard.entry(id).or_insert_with(|| {
        let state = State {
            shard: Shard::new(retention),
            is_loaded: false,
            is_flushing: false,
            unavailable_until: Moment::default(),
            pending: Pending::default(),
            waiters: HashMap::new(),
        };
        Rc::new(Stream {
            id,
            state: RefCell::new(state),
        })
    });
    stream.clone()
}

/// Starts a task that appends the pending events, unless one is running.
fn flush(node: &Rc<Node>, stream: &Rc<Stream>) {
    if std::mem::replace(&mut stream.state.borrow_mut().is_flushing, true) {
        return;
    }
    let (node, stream) = (node.clone(), stream.clone());
    let executor = node.executor.clone();
    let append_all = async move {
        loop {
            let due = stream.state.borrow().pending.due(clock::now());
            let Some(due) = due else { break };
            wait_until_due(&stream, due).await;
            if let Err(error) = stream.append(&node).await {
                node.metrics.log_errors.inc();
                log::debug!(target: "claims", "{}: {error}. Retrying.", stream.id.stream());
                let unavailable_until = clock::now() + RETRY_DELAY;
                stream.state.borrow_mut().unavailable_until = unavailable_until;
                stream.fail_waiters(&error);
                clock::wait_until(unavailable_until).await;
            }
        }
        stream.state.borrow_mut().is_flushing = false;
    };
    executor.spawn(append_all).detach();
}

/// Waits until the next append is due. A new claim may make it due earlier.
async fn wait_until_due(stream: &Stream, mut due: Moment) {
    while clock::now() < due {
        async_io::Timer::after(clock::now().until(due).min(DUE_CHECK_INTERVAL)).await;
        due = stream
            .state
            .borrow()
            .pending
            .due(clock::now())
            .unwrap_or(due);
    }
}

impl Stream {
    /// Appends one batch of pending events and answers its claims.
    async fn append(&self, node: &Node) -> Result<(), LogError> {
        self.load(node).await?;
        let record = self.state.borrow_mut().pending.take(clock::now());
        let data = serde_json::to_string(&record).unwrap_or_default();
        let appended = node.platform.append(&self.id.stream(), data.clone()).await;
        node.metrics.appends.inc();
        let is_next = appended
            .as_ref()
            .is_ok_and(|it| it.offset == self.state.borrow().shard.next());
        match appended {
            Ok(appended) if is_next => {
                let appended_at = Duration::from_millis(appended.at_ms);
                let mut state = self.state.borrow_mut();
                let _ = state
                    .shard
                    .read(appended.offset, appended_at, data.as_bytes());
                state.answer(&record.events, Some(appended_at));
            }
            Ok(appended) => {
                let appended_at = Duration::from_millis(appended.at_ms);
                let is_complete = self.catch_up(node).await?;
                self.state
                    .borrow_mut()
                    .answer(&record.events, is_complete.then_some(appended_at));
            }
            Err(error) => self.recover_append(node, record.events, error).await?,
        }
        Ok(())
    }

    /// Handles an append that may or may not have taken effect: reads to the end of the stream, and
    /// queues the events that are missing there again.
    async fn recover_append(
        &self,
        node: &Node,
        events: Vec<Event>,
        error: LogError,
    ) -> Result<(), LogError> {
        let caught_up = self.catch_up(node).await;
        let mut state = self.state.borrow_mut();
        if caught_up.is_err() {
            state.pending.put_back(events);
            return Err(error);
        }
        let (decided, undecided) = events.into_iter().partition::<Vec<_>, _>(|it| {
            it.kind == Kind::Claim && state.shard.verdict(it.key, it.nonce).is_some()
        });
        state.answer(&decided, None);
        state.pending.put_back(undecided);
        Ok(())
    }

    /// Reads the stream to its end before its first use.
    async fn load(&self, node: &Node) -> Result<(), LogError> {
        if !self.state.borrow().is_loaded {
            self.catch_up(node).await?;
            self.state.borrow_mut().is_loaded = true;
        }
        Ok(())
    }

    /// Reads to the end of the stream. Returns whether no record was missed.
    async fn catch_up(&self, node: &Node) -> Result<bool, LogError> {
        let mut is_complete = true;
        loop {
            let next = self.state.borrow().shard.next();
            let batch = node
                .platform
                .read(&self.id.stream(), next, Duration::ZERO)
                .await?;
            let mut state = self.state.borrow_mut();
            if let Err(gap) = state.shard.check(batch.first) {
                if state.is_loaded {
                    log::warn!(target: "claims", "{}: {gap}.", self.id.stream());
                    is_complete = false;
                }
                state.shard.restart(batch.first);
            }
            for record in &batch.records {
                let appended_at = Duration::from_millis(record.at_ms);
                let _ = state
                    .shard
                    .read(record.offset, appended_at, record.data.as_bytes());
            }
            if state.shard.next() >= batch.head {
                return Ok(is_complete);
            }
        }
    }
}
