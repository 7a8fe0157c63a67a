//! Streams: being the authority for keys whose claims the platform's log decides.

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

/// The time in which an authority decides, or says that it can't.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The pause after the log has failed to take events that nobody waits for.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often a due time is looked at again.
const DUE_CHECK: Duration = Duration::from_millis(5);

/// Decides on a claim by the log.
pub async fn decide(node: &Rc<Node>, key: Key, nonce: Nonce) -> Decision {
    let stream = stream(node, key);
    let (sender, receiver) = async_channel::bounded(1);
    {
        let mut state = stream.state.borrow_mut();
        if let Some(verdict) = state.shard.verdict(key, nonce).filter(|_| state.is_loaded) {
            return Decision::Verdict(verdict);
        }
        if clock::now() < state.out_until {
            return Decision::Unavailable("the platform's log is out".to_owned());
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
            Decision::Unavailable("the platform's log is slow".to_owned())
        }
    }
}

/// Appends word of a claim to the log.
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
    let mut shards = node.claim_streams.shards.borrow_mut();
    let stream = shards.entry(id).or_insert_with(|| {
        let state = State {
            shard: Shard::new(retention),
            is_loaded: false,
            is_flushing: false,
            out_until: Moment::default(),
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

/// Starts appending what is pending, unless that is under way.
fn flush(node: &Rc<Node>, stream: &Rc<Stream>) {
    if std::mem::replace(&mut stream.state.borrow_mut().is_flushing, true) {
        return;
    }
    let (node, stream) = (node.clone(), stream.clone());
    let executor = node.executor.clone();
    let work = async move {
        loop {
            let due = stream.state.borrow().pending.due(clock::now());
            let Some(due) = due else { break };
            wait_until_due(&stream, due).await;
            if let Err(error) = stream.append(&node).await {
                node.metrics.log_errors.inc();
                log::debug!(target: "claims", "{}: {error}. Retrying.", stream.id.stream());
                let out_until = clock::now() + RETRY_PAUSE;
                stream.state.borrow_mut().out_until = out_until;
                stream.fail_waiters(&error);
                clock::wait_until(out_until).await;
            }
        }
        stream.state.borrow_mut().is_flushing = false;
    };
    executor.spawn(work).detach();
}

/// Waits until the next append is due, which a new claim may bring forward.
async fn wait_until_due(stream: &Stream, mut due: Moment) {
    while clock::now() < due {
        async_io::Timer::after(clock::now().until(due).min(DUE_CHECK)).await;
        due = stream
            .state
            .borrow()
            .pending
            .due(clock::now())
            .unwrap_or(due);
    }
}

impl Stream {
    /// Appends one batch and answers those who wait for it.
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
                let at = Duration::from_millis(appended.at_ms);
                let mut state = self.state.borrow_mut();
                let _ = state.shard.read(appended.offset, at, data.as_bytes());
                state.answer(&record.events, Some(at));
            }
            Ok(appended) => {
                let at = Duration::from_millis(appended.at_ms);
                let is_judged = self.catch_up(node).await?;
                self.state
                    .borrow_mut()
                    .answer(&record.events, is_judged.then_some(at));
            }
            Err(error) => self.settle_lost_answer(node, record.events, error).await?,
        }
        Ok(())
    }

    /// The append may or may not have taken effect: reads on, and appends again what is missing.
    async fn settle_lost_answer(
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
        let (decided, open) = events.into_iter().partition::<Vec<_>, _>(|it| {
            it.kind == Kind::Claim && state.shard.verdict(it.key, it.nonce).is_some()
        });
        state.answer(&decided, None);
        state.pending.put_back(open);
        Ok(())
    }

    /// Reads the stream for the first time.
    async fn load(&self, node: &Node) -> Result<(), LogError> {
        if !self.state.borrow().is_loaded {
            self.catch_up(node).await?;
            self.state.borrow_mut().is_loaded = true;
        }
        Ok(())
    }

    /// Reads to the end of the stream. Returns whether nothing was missed.
    async fn catch_up(&self, node: &Node) -> Result<bool, LogError> {
        let mut is_whole = true;
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
                    is_whole = false;
                }
                state.shard.restart(batch.first);
            }
            for record in &batch.records {
                let at = Duration::from_millis(record.at_ms);
                let _ = state.shard.read(record.offset, at, record.data.as_bytes());
            }
            if state.shard.next() >= batch.head {
                return Ok(is_whole);
            }
        }
    }
}
