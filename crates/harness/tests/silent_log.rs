//! Entries whose connections to the log fall silent, or whose reads of it fail.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use async_io::block_on;
use harness::Cluster;
use harness::Customer;
use harness::cluster::Options;
use harness::cluster::secret;
use harness::customer;
use serde_json::json;

/// The time within which a change must be in effect on all entries.
const EFFECT_LIMIT: Duration = Duration::from_secs(16);
/// The time within which what has no stated target must happen.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// The additional time of each call to the log while its connections are opened, so that calls overlap.
const LOG_DELAY_MS: u64 = 150;
/// The number of bookings at the same time. Each shard of their keys calls the log on its own.
const BOOKINGS: usize = 32;
/// The least number of connections that these calls open.
const CONNECTIONS: usize = 10;
/// The time after which the outcomes of bookings are in the log too, so that the connections are idle.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// A proxy between the entries and the platform, whose connections can fall silent.
struct Relay {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Both ends of the connections that carry bytes.
    open: Vec<TcpStream>,
    /// The same of those that have fallen silent. They stay open.
    silent: Vec<TcpStream>,
    /// Raised each time that the connections fall silent.
    generation: u32,
    /// The first lines of the reads of the configuration.
    reads: Vec<String>,
}

impl Relay {
    fn start(platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State::default()));
        let accepting = state.clone();
        thread::spawn(move || {
            for near in listener.incoming() {
                let near = near.expect("a connection");
                let Ok(far) = TcpStream::connect(platform) else {
                    continue;
                };
                let generation = accepting.lock().expect("a lock").generation;
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let from = from.try_clone().expect("a socket");
                    let to = to.try_clone().expect("a socket");
                    let state = accepting.clone();
                    thread::spawn(move || forward(from, to, generation, &state));
                }
                accepting.lock().expect("a lock").open.extend([near, far]);
            }
        });
        Self { address, state }
    }

    /// Makes all connections fall silent for good that are open now.
    fn silence(&self) {
        let mut state = self.state.lock().expect("a lock");
        state.generation += 1;
        let open = std::mem::take(&mut state.open);
        state.silent.extend(open);
    }

    /// Returns the number of connections that were opened since the last ones fell silent.
    fn connections(&self) -> usize {
        self.state.lock().expect("a lock").open.len() / 2
    }

    /// Returns the first lines of the reads of the configuration so far.
    fn reads(&self) -> Vec<String> {
        self.state.lock().expect("a lock").reads.clone()
    }
}

/// Forwards bytes in one direction until the connection ends or falls silent.
fn forward(mut from: TcpStream, mut to: TcpStream, generation: u32, state: &Mutex<State>) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let length = from.read(&mut bytes).unwrap_or(0);
        let mut state = state.lock().expect("a lock");
        if state.generation != generation {
            return;
        }
        if bytes[..length].starts_with(b"GET /log/config?") {
            let text = String::from_utf8_lossy(&bytes[..length]);
            state.reads.extend(text.lines().next().map(str::to_owned));
        }
        drop(state);
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Starts a cluster whose entries, and the operators' tool, reach the platform through a relay.
fn start(entries: usize) -> (Cluster, Relay) {
    let options = Options {
        entries: 0,
        engines: 1,
        ..Options::default()
    };
    let mut cluster = Cluster::start(options).unwrap();
    let relay = Relay::start(cluster.platform.address);
    cluster.platform.address = relay.address;
    for _ in 0..entries {
        cluster.start_entry().unwrap();
    }
    cluster.update_instances().unwrap();
    cluster.wait_ready().unwrap();
    (cluster, relay)
}

/// Returns the priority of a customer in the configuration that is in effect on an entry.
fn priority(cluster: &Cluster, entry: SocketAddr) -> Option<u64> {
    let config = cluster.get_json(entry, "/config").ok()?;
    config["entries"]["contract/forum"]["value"]["contract"]["priority"].as_u64()
}

/// Publishes a change and waits until it is in effect.
fn check_change(cluster: &Cluster, expected: u8) {
    let mut fleet = cluster.fleet();
    let contracts = fleet.contracts.iter_mut();
    contracts
        .filter(|it| it.customer == "forum")
        .for_each(|it| it.priority = expected);
    cluster.publish(&fleet).unwrap();
    let is_in_effect = || {
        let mut entries = cluster.entries.iter();
        entries.all(|it| priority(cluster, it.operator_address) == Some(expected.into()))
    };
    cluster
        .wait_until(EFFECT_LIMIT, "the change is in effect", is_in_effect)
        .unwrap();
}

/// Runs bookings whose claims are appended to the log, all at the same time.
fn book_at_once(cluster: &Cluster, relay: &Relay) {
    let before = relay.connections();
    let faults = json!({ "delay_ms": LOG_DELAY_MS });
    cluster
        .set_faults(cluster.platform.address, &faults)
        .unwrap();
    thread::scope(|scope| {
        for number in 0..BOOKINGS {
            let entry = cluster.entry_address(number % cluster.entries.len());
            scope.spawn(move || {
                let customer = Customer::new(secret("riders"));
                let key = customer::generate_key().to_string();
                block_on(customer.service(entry, "bookings/seats", Some(&key))).unwrap();
            });
        }
    });
    cluster
        .set_faults(cluster.platform.address, &json!({}))
        .unwrap();
    thread::sleep(QUIET_TIME);
    let opened = relay.connections() - before;
    assert!(opened >= CONNECTIONS, "{opened} connections");
}

/// Guards against reads that wait for their whole timeout one after another, since each of them uses another one of the
/// connections that have fallen silent together.
#[test]
fn change_after_connections_fell_silent_takes_effect() {
    let (cluster, relay) = start(1);
    book_at_once(&cluster, &relay);
    relay.silence();
    check_change(&cluster, 5);
}

/// Guards against a log that counts as unavailable for as long as a long poll lasts after it is back.
#[test]
fn read_after_a_failed_one_does_not_wait_for_records() {
    let (cluster, relay) = start(1);
    let platform = cluster.platform.address;
    cluster
        .set_faults(platform, &json!({ "log_outage_ms": 600_000 }))
        .unwrap();
    let first = relay.reads().len();
    // The first one may have begun before the outage.
    let has_retried = || relay.reads().len() >= first + 3;
    cluster
        .wait_until(WAIT_LIMIT, "the entry reads again", has_retried)
        .unwrap();
    let retries = relay.reads()[first + 1..].to_vec();
    assert!(
        retries.iter().all(|it| it.contains("&wait_ms=0 ")),
        "{retries:?}"
    );
    cluster.set_faults(platform, &json!({})).unwrap();
    let is_waiting = || {
        relay
            .reads()
            .last()
            .is_some_and(|it| it.contains("&wait_ms=5000 "))
    };
    cluster
        .wait_until(WAIT_LIMIT, "a read waits again", is_waiting)
        .unwrap();
}
