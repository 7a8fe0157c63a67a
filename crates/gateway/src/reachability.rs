//! Finds out whether this entry reaches backend servers: passes on evidence and opens probes.
//!
//! [`placement::reach`] decides. Probes are connections that carry no request. They cost servers memory and
//! processor time, so none are opened without a suspicion.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use h1::Stream;
use placement::Reach;
use placement::reach::Candidate;
use placement::reach::Failure;
use placement::reach::Transition;
use web::stream::within;

use crate::Node;
use crate::datagrams;
use crate::node::State;

/// The timeout of a probe. Servers accept within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which the connection of a probe fails if the server acknowledges nothing.
const ACK_TIMEOUT: Duration = h1::stream::SHORTEST_ACK_TIMEOUT;
/// The interval between two checks for silent servers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time in which a suspicion is decided: two rounds of probes.
const DECISION_TIME: Duration = Duration::from_millis(900);
/// The interval between two checks for the end of a suspicion, which mostly comes within milliseconds.
const DECISION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An attempt in progress. Dropping it records its end.
pub struct Attempt<'a>(&'a Node);

impl<'a> Attempt<'a> {
    /// Records that an attempt begins.
    pub fn begin(node: &'a Node) -> Self {
        let now = clock::now();
        node.state.borrow_mut().reach.record_begin(now);
        Self(node)
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().reach.record_end();
    }
}

/// Records that a server accepted a connection.
pub fn record_connection(node: &Node) {
    let now = clock::now();
    node.state.borrow_mut().reach.record_connection(now);
    apply(node);
}

/// Records that a server sent data.
pub fn record_answer(node: &Node) {
    let now = clock::now();
    node.state.borrow_mut().reach.record_answer(now);
}

/// Records that an attempt at a server failed.
pub fn record_failure(node: &Node, server: u64, failure: Failure) {
    let is_doubtful = {
        let mut state = node.state.borrow_mut();
        let now = clock::now();
        state.reach.record_failure(now, server, failure);
        state.reach.is_doubtful(now)
    };
    if is_doubtful {
        // The channel holds one notice. If one is already there, this one is not needed.
        let _ = node.suspicions.0.try_send(());
    }
}

/// Returns whether this entry is isolated. Waits for the decision if there is a suspicion.
pub async fn is_isolated(node: &Node) -> bool {
    let deadline = clock::now() + DECISION_TIME;
    while is_doubtful(node) && clock::now() < deadline {
        within(DECISION_CHECK_INTERVAL, node.isolation.wait()).await;
    }
    node.isolation.is_set()
}

fn is_doubtful(node: &Node) -> bool {
    node.state.borrow().reach.is_doubtful(clock::now())
}

/// Probes servers whenever there is a suspicion, until the process ends.
pub async fn watch(node: Rc<Node>) {
    loop {
        let targets = due(&node);
        if !targets.is_empty() {
            probe(&node, &targets).await;
            let now = clock::now();
            with_candidates(&node, |reach, servers| {
                reach.finish_round(now, servers);
            });
        }
        apply(&node);
        if is_doubtful(&node) && !targets.is_empty() {
            continue;
        }
        let noticed = async {
            // The node holds the sender, so the channel stays open.
            let _ = node.suspicions.1.recv().await;
        };
        let passed = async {
            Timer::after(CHECK_INTERVAL).await;
        };
        future::or(noticed, passed).await;
    }
}

fn due(node: &Node) -> Vec<u64> {
    let now = clock::now();
    let mut targets = Vec::new();
    with_candidates(node, |reach, servers| {
        targets = reach.probe(now, servers, &mut rand::rng());
    });
    targets
}

/// Calls `decide` with the servers that can be probed: those that are listed and don't leave.
fn with_candidates(node: &Node, decide: impl FnOnce(&mut Reach, &[Candidate<'_>])) {
    let mut state = node.state.borrow_mut();
    let State { reach, servers, .. } = &mut *state;
    let staying = servers.all().filter(|it| !it.server.is_leaving);
    let candidates = staying.map(|it| Candidate {
        key: it.key(),
        service: &it.server.service,
        data_centre: &it.server.data_centre,
    });
    let candidates: Vec<Candidate<'_>> = candidates.collect();
    decide(reach, &candidates);
}

/// Opens a connection to each server at the same time, and records the results as they come.
async fn probe(node: &Rc<Node>, targets: &[u64]) {
    let probes = targets.iter().map(|key| {
        let node = node.clone();
        let key = *key;
        let executor = node.executor.clone();
        executor.spawn(async move {
            let address = {
                let mut state = node.state.borrow_mut();
                state.servers.get_mut(key).map(|it| it.server.address)
            };
            let Some(address) = address else {
                return;
            };
            let connect = Stream::connect(address, ACK_TIMEOUT);
            let is_open = matches!(within(PROBE_TIMEOUT, connect).await, Some(Ok(_)));
            node.metrics.record_probe(is_open);
            let now = clock::now();
            let mut state = node.state.borrow_mut();
            state.reach.record_probe(now, key, is_open);
            drop(state);
            apply(&node);
        })
    });
    let probes: Vec<_> = probes.collect();
    for probe in probes {
        probe.await;
    }
}

/// Puts the changes of the decision into effect.
fn apply(node: &Node) {
    let transitions = node.state.borrow_mut().reach.take_transitions();
    for transition in transitions {
        match transition {
            Transition::Suspected(evidence) => {
                log::info!(target: "reach", failed_servers = evidence.failed_servers, attempts = evidence.attempts, quiet_ms = evidence.silence.as_millis() as u64; "this instance may not reach any server; probing some");
            }
            Transition::Isolated(evidence) => {
                log::warn!(target: "reach", failed_servers = evidence.failed_servers, attempts = evidence.attempts, quiet_ms = evidence.silence.as_millis() as u64, is_answered = evidence.is_answered; "this instance reaches no server; relaying requests to other instances");
                node.metrics.isolations.inc();
                node.metrics.isolated.set(1);
                node.isolation.set();
                datagrams::announce_phase(node);
            }
            Transition::Connected(after) => {
                let was_isolated = node.isolation.is_set();
                log::info!(target: "reach", was_isolated, after_ms = after.as_millis() as u64; "this instance reaches servers");
                if was_isolated {
                    node.metrics.isolated.set(0);
                    node.isolation.clear();
                    node.state.borrow_mut().servers.close_breakers();
                    datagrams::announce_phase(node);
                }
            }
        }
    }
}
