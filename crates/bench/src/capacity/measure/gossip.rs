//! Measures membership gossip and the encoded size of allotments.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use domain::Moment;
use domain::key::Incarnation;
use limit::Ask;
use limit::Grant;
use membership::Member;
use membership::Members;
use membership::member::Phase;
use membership::message::Datagram;
use wire::Frame;

use super::heap;
use super::random;
use crate::capacity::fit::Line;

/// The interval between two ticks of each node.
const TICK: Duration = Duration::from_millis(100);
/// The warm-up time per node, in which all nodes discover one another and the gossip about it ends.
const WARM_UP_PER_NODE: Duration = Duration::from_millis(800);
/// The minimum warm-up time.
const MIN_WARM_UP: Duration = Duration::from_secs(30);
/// The simulated time that is measured.
const TIME: Duration = Duration::from_secs(10);

/// The cost of membership per node and second, as a function of the number of nodes.
pub struct Gossip {
    /// Datagrams sent.
    pub datagrams: Line,
    /// Bytes sent.
    pub bytes: Line,
    /// Processor seconds, including encoding and decoding.
    pub cpu: Line,
    /// Heap in use, in bytes.
    pub heap: Line,
}

/// The result for one number of nodes.
struct Sample {
    datagrams: f64,
    bytes: f64,
    cpu: f64,
    heap: f64,
}

impl Gossip {
    /// Measures with each number of nodes.
    pub fn measure(nodes: &[usize]) -> Self {
        let samples: Vec<(f64, Sample)> =
            nodes.iter().map(|it| (*it as f64, sample(*it))).collect();
        let line = |value: &dyn Fn(&Sample) -> f64| {
            let points: Vec<(f64, f64)> = samples.iter().map(|(x, it)| (*x, value(it))).collect();
            Line::fit(&points)
        };
        Self {
            datagrams: line(&|it| it.datagrams),
            bytes: line(&|it| it.bytes),
            cpu: line(&|it| it.cpu),
            heap: line(&|it| it.heap),
        }
    }
}

/// All nodes in one process. Datagrams are encoded and decoded as on the wire.
struct Network {
    members: Vec<Members>,
    index: HashMap<SocketAddr, usize>,
    now: Moment,
    datagrams: usize,
    bytes: usize,
}

impl Network {
    fn new(nodes: usize) -> Self {
        let address = |index: usize, port| {
            SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port))
        };
        let member = |index: usize| Member {
            incarnation: Incarnation(index as u64 + 1),
            name: format!("entry-{index:04}"),
            data_centre: format!("data-centre-{}", index % 23),
            caller_address: address(index, 1),
            peer_address: address(index, 2),
            phase: Phase::Ready,
            version: 0,
            capacity: 0,
            relay_address: None,
        };
        let mut members: Vec<Members> = (0..nodes).map(|it| Members::new(member(it))).collect();
        let listed: Vec<SocketAddr> = (0..nodes).map(|it| address(it, 2)).collect();
        for it in &mut members {
            // The datagrams of the start are dropped, since only steady traffic is measured.
            it.set_listed(&listed, &mut rand::rng());
        }
        let index = listed
            .into_iter()
            .enumerate()
            .map(|(index, address)| (address, index))
            .collect();
        Self {
            members,
            index,
            now: Moment::from_millis(1),
            datagrams: 0,
            bytes: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let mut random = random();
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            for index in 0..self.members.len() {
                let output = self.members[index].tick(self.now, &mut random);
                self.deliver(index, output.datagrams);
            }
        }
    }

    fn deliver(&mut self, from: usize, datagrams: Vec<Datagram>) {
        let mut queue: Vec<(usize, Datagram)> =
            datagrams.into_iter().map(|it| (from, it)).collect();
        while let Some((from, datagram)) = queue.pop() {
            let bytes = Frame::Message(datagram.message).encode();
            self.datagrams += 1;
            self.bytes += bytes.len();
            let Some(to) = self.index.get(&datagram.to).copied() else {
                continue;
            };
            let Ok(Frame::Message(message)) = Frame::decode(&bytes) else {
                continue;
            };
            let from = self.members[from].local().peer_address;
            let output = self.members[to].receive(self.now, from, message);
            queue.extend(output.datagrams.into_iter().map(|it| (to, it)));
        }
    }
}

fn sample(nodes: usize) -> Sample {
    let (mut network, heap) = heap(|| {
        let mut network = Network::new(nodes);
        network.run((WARM_UP_PER_NODE * nodes as u32).max(MIN_WARM_UP));
        network
    });
    (network.datagrams, network.bytes) = (0, 0);
    let start = Instant::now();
    network.run(TIME);
    let per_node_second = nodes as f64 * TIME.as_secs_f64();
    Sample {
        datagrams: network.datagrams as f64 / per_node_second,
        bytes: network.bytes as f64 / per_node_second,
        cpu: start.elapsed().as_secs_f64() / per_node_second,
        heap: heap / nodes as f64,
    }
}

/// Returns the encoded size of an allotment's request and answer together, in bytes.
pub fn allotment_bytes() -> f64 {
    let ask = Ask {
        entry: Incarnation(u64::MAX >> 24),
        customer: "organisation-1234".to_owned(),
        tokens: 1_000,
        tokens_ahead: 5_000,
        requests: 1,
        requests_ahead: 2,
        running: 5,
        tokens_back: 100,
        requests_back: 1,
    };
    let grant = Grant {
        tokens: 6_000,
        requests: 3,
        is_near_limit: false,
        refusal: None,
    };
    wire::call::encoded_len(&ask, &grant) as f64
}
