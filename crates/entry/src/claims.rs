//! Claims: asks the authority of a key, and is that authority for some keys.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use claim::Nonce;
use claim::Outcome;
use claim::Pending;
use claim::Shard;
use claim::ShardId;
use claim::record::Event;
use claim::record::Kind;
use domain::Key;
use domain::Moment;
use domain::key::Authority;
use platform::Error as LogError;
use web::stream::within;
use wire::call::Decision;

use crate::clock;
use crate::node::Node;
use crate::peers::caller;

/// The time for a call to another authority.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time in which an authority decides, or says that it can't.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The attempts to tell an authority how a request ended.
const TELL_ATTEMPTS: u32 = 3;
/// The pause after the log has failed to take events that nobody waits for.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The claim streams for which this entry has been the authority.
#[derive(Default)]
pub struct Claims {
    shards: RefCell<HashMap<ShardId, Rc<Stream>>>,
}

/// One claim stream.
struct Stream {
    id: ShardId,
    state: RefCell<State>,
}

struct State {
    shard: Shard,
    is_loaded: bool,
    is_flushing: bool,
    /// Until when the log counts as out, after it did not answer.
    out_until: Moment,
    pending: Pending,
    waiters: HashMap<(Key, Nonce), Sender<Decision>>,
}

/// Claims a key for this entry.
pub async fn claim(node: &Rc<Node>, key: Key, nonce: Nonce, customer: &str) -> Decision {
    let Some(peer) = authority(node, key) else {
        return gone();
    };
    let Some(peer) = peer else {
        return decide(node, key, nonce, customer).await;
    };
    let ask = || {
        node.pool
            .claim(&node.executor, peer, key, nonce, customer, CALL_TIMEOUT)
    };
    match caller::twice(ask).await {
        Ok(decision) => decision,
        // Any entry may append claims: the log decides, not the home.
        Err(caller::Error::Unreachable) if key.authority() == Authority::Log => {
            decide(node, key, nonce, customer).await
        }
        Err(error) => Decision::Unavailable(error.to_string()),
    }
}

/// Tells the authority that this entry did not run the request and never will.
pub async fn release(node: &Rc<Node>, key: Key, nonce: Nonce) {
    let Some(peer) = authority(node, key) else {
        return;
    };
    let Some(peer) = peer else {
        return release_here(node, key, nonce);
    };
    for _ in 0..TELL_ATTEMPTS {
        let told = node
            .pool
            .release(&node.executor, peer, key, nonce, CALL_TIMEOUT)
            .await;
        if told.is_ok() {
            return;
        }
    }
    // For the log any entry will do; a ticket whose issuer is gone can't run anyway.
    release_here(node, key, nonce);
}

/// Tells the authority how a request ended, so that repeats learn it.
pub async fn settle(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Outcome) {
    let Some(peer) = authority(node, key) else {
        return;
    };
    let Some(peer) = peer else {
        return settle_here(node, key, nonce, outcome);
    };
    for _ in 0..TELL_ATTEMPTS {
        let told = node
            .pool
            .settle(&node.executor, peer, key, nonce, &outcome, CALL_TIMEOUT);
        if told.await.is_ok() {
            return;
        }
    }
    settle_here(node, key, nonce, outcome);
}

/// Decides on a claim as its authority.
pub async fn decide(node: &Rc<Node>, key: Key, nonce: Nonce, customer: &str) -> Decision {
    match key.authority() {
        Authority::Issuer(issuer) if issuer == node.incarnation => {
            let verdict = node
                .core
                .borrow_mut()
                .book
                .claim(clock::now(), key, nonce, customer);
            Decision::Verdict(verdict)
        }
        Authority::Issuer(_) => gone(),
        Authority::Log => decide_by_log(node, key, nonce).await,
    }
}

/// Takes a claim back as its authority.
pub fn release_here(node: &Rc<Node>, key: Key, nonce: Nonce) {
    match key.authority() {
        Authority::Issuer(_) => node.core.borrow_mut().book.release(key, nonce),
        Authority::Log => {
            let stream = stream(node, key);
            stream.state.borrow_mut().pending.push(Event {
                key,
                nonce,
                kind: Kind::Release,
            });
            flush(node, &stream);
        }
    }
}

/// Notes how a request ended as its authority.
pub fn settle_here(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Outcome) {
    match key.authority() {
        Authority::Issuer(_) => node.core.borrow_mut().book.settle(key, nonce, outcome),
        Authority::Log => {
            let stream = stream(node, key);
            let mut state = stream.state.borrow_mut();
            state.shard.settle(key, nonce, outcome.clone());
            state.pending.push(Event {
                key,
                nonce,
                kind: Kind::Settle(outcome),
            });
            drop(state);
            flush(node, &stream);
        }
    }
}

/// Returns the address of a key's authority: `Some(None)` if it is this entry, `None` if it is
/// gone.
fn authority(node: &Node, key: Key) -> Option<Option<std::net::SocketAddr>> {
    let core = node.core.borrow();
    let member = match key.authority() {
        Authority::Issuer(issuer) if issuer == node.incarnation => return Some(None),
        Authority::Issuer(issuer) => core.members.get(issuer)?,
        Authority::Log => core.members.home(ShardId::of(key).stream().as_bytes()),
    };
    Some((member.incarnation != node.incarnation).then_some(member.peers))
}

fn gone() -> Decision {
    Decision::Unavailable("the entry that issued the ticket does not answer".to_owned())
}

fn stream(node: &Node, key: Key) -> Rc<Stream> {
    let id = ShardId::of(key);
    let retention = Duration::from_millis(node.settings.log_retention_ms);
    let mut shards = node.claims.shards.borrow_mut();
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

async fn decide_by_log(node: &Rc<Node>, key: Key, nonce: Nonce) -> Decision {
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
            // The claim may still take effect; releasing it lets the caller come back.
            stream.state.borrow_mut().waiters.remove(&(key, nonce));
            release_here(node, key, nonce);
            Decision::Unavailable("the platform's log is slow".to_owned())
        }
    }
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
                stream.give_up_waiters(&error);
                clock::wait_until(out_until).await;
            }
        }
        stream.state.borrow_mut().is_flushing = false;
    };
    executor.spawn(work).detach();
}

/// Waits until the next append is due, which a new claim may bring forward.
async fn wait_until_due(stream: &Stream, mut due: Moment) {
    /// How often a due time is looked at again.
    const STEP: Duration = Duration::from_millis(5);
    while clock::now() < due {
        async_io::Timer::after(clock::now().until(due).min(STEP)).await;
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

    /// Tells all who wait that the log is out. Their claims may still take effect, so they are
    /// released.
    fn give_up_waiters(&self, error: &LogError) {
        let mut state = self.state.borrow_mut();
        let waiters = std::mem::take(&mut state.waiters);
        for ((key, nonce), sender) in waiters {
            let _ = sender.try_send(Decision::Unavailable(error.to_string()));
            state.pending.push(Event {
                key,
                nonce,
                kind: Kind::Release,
            });
        }
    }
}

impl State {
    /// Answers those who wait for claims in `events`, which the log took at `at`. Without it, only
    /// what the fold knows is answered.
    fn answer(&mut self, events: &[Event], at: Option<Duration>) {
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
