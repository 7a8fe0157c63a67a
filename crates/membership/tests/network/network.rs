//! Entries on a simulated network with simulated time.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::evacuation::Set;
use domain::key::Incarnation;
use membership::Member;
use membership::Members;
use membership::member::Phase;
use membership::message::Datagram;
use membership::message::Event;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const STEP: Duration = Duration::from_millis(50);

/// Entries on a simulated network that can lose datagrams and isolate entries.
pub struct Network {
    pub members: Vec<Members>,
    pub isolated: BTreeSet<usize>,
    pub loss: f64,
    pub now: Moment,
    pub random: StdRng,
    pub events: Vec<(usize, Event)>,
    /// The evacuated data centres as each entry knows them.
    pub evacuations: Vec<Option<Rc<Set>>>,
    /// The number of entries to which an entry forwards evacuations that are new to it.
    pub forwards: usize,
}

pub fn address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port))
}

/// Returns the index of the member with this address.
fn index_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        return usize::MAX;
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 250 + usize::from(low)
}

pub fn member(index: usize) -> Member {
    Member {
        incarnation: Incarnation(index as u64 + 1),
        name: format!("entry-{index}"),
        data_centre: "dc".to_owned(),
        caller_address: address(index, 1),
        peer_address: address(index, 2),
        phase: Phase::Ready,
        version: 0,
        capacity: 0,
        relay_address: None,
    }
}

impl Network {
    pub fn new(count: usize) -> Self {
        Self::of((0..count).map(member))
    }

    pub fn of(members: impl Iterator<Item = Member>) -> Self {
        let members: Vec<Members> = members.map(Members::new).collect();
        let mut network = Self {
            evacuations: vec![None; members.len()],
            forwards: 3,
            members,
            isolated: BTreeSet::new(),
            loss: 0.0,
            now: Moment::from_millis(1_000),
            random: StdRng::seed_from_u64(11),
            events: Vec::new(),
        };
        network.list();
        network
    }

    /// Passes the list of all entries to every entry.
    pub fn list(&mut self) {
        let count = self.members.len();
        let listed: Vec<SocketAddr> = (0..count).map(|index| address(index, 2)).collect();
        for index in 0..count {
            let probes = self.members[index].set_listed(&listed, &mut self.random);
            self.deliver(index, probes);
        }
    }

    pub fn deliver(&mut self, from: usize, datagrams: Vec<Datagram>) {
        let mut queue: Vec<(usize, Datagram)> =
            datagrams.into_iter().map(|it| (from, it)).collect();
        while let Some((from, datagram)) = queue.pop() {
            let to = index_of(datagram.to);
            if to >= self.members.len() {
                continue;
            }
            let is_partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
            let is_sender_isolated = self.isolated.contains(&from) && from != to;
            if is_partitioned || is_sender_isolated || self.random.random::<f64>() < self.loss {
                continue;
            }
            let mut output = self.members[to].receive(self.now, address(from, 2), datagram.message);
            for event in &output.events {
                if let Event::Evacuations { set, .. } = event
                    && self.know(to, set)
                {
                    let updates = self.forward(to);
                    output.datagrams.extend(updates);
                }
            }
            self.events
                .extend(output.events.into_iter().map(|it| (to, it)));
            queue.extend(output.datagrams.into_iter().map(|it| (to, it)));
        }
    }

    /// Lets an entry know of evacuations. Returns whether they are later than what it knew.
    pub fn know(&mut self, index: usize, set: &Rc<Set>) -> bool {
        let known = self.evacuations[index].as_ref();
        if known.is_some_and(|it| it.position >= set.position) {
            return false;
        }
        self.evacuations[index] = Some(set.clone());
        self.members[index].set_evacuations(Some(set.clone()));
        true
    }

    fn forward(&mut self, index: usize) -> Vec<Datagram> {
        let members = &self.members[index];
        let targets = members.sample(self.forwards, &mut self.random);
        let targets = targets.iter().map(|it| it.peer_address).collect();
        members.evacuation_updates(Some(targets))
    }

    /// Returns the number of entries that know of evacuations as of this position.
    pub fn informed(&self, position: u64) -> usize {
        let known = self.evacuations.iter().flatten();
        known.filter(|it| it.position == position).count()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.members.len() {
                let output = self.members[index].tick(self.now, &mut self.random);
                self.events
                    .extend(output.events.into_iter().map(|it| (index, it)));
                self.deliver(index, output.datagrams);
            }
        }
    }

    pub fn ready(&self, viewer: usize) -> BTreeSet<u64> {
        self.members[viewer]
            .ready()
            .map(|it| it.incarnation.0)
            .collect()
    }
}
