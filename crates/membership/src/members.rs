//! The members of the fleet as one entry sees them, and the protocol that updates this view.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::Regions;
use domain::evacuation;
use domain::key::Incarnation;
use rand::Rng;

use self::probing::Order;
use crate::gossip::Queue;
use crate::member::Member;
use crate::member::Phase;
use crate::member::State;
use crate::message::Datagram;
use crate::message::Event;
use crate::message::Kind;
use crate::message::Message;
use crate::message::Rumour;

mod delegate;
mod homes;
mod listed;
mod outbound;
mod probing;
mod subset;
mod views;

/// The time between two probes by one entry.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout for the acknowledgement of a direct probe, and then of the indirect ones.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// The time in which a suspect can refute the suspicion before it is dead.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(900);
/// The time for which dead members are kept, so that old gossip does not make them alive again.
const DEAD_TTL: Duration = Duration::from_secs(60);
/// A pause between two ticks above which this process itself is assumed to have been stopped.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);

/// The members of the fleet as one entry sees them.
#[derive(Debug)]
pub struct Members {
    local: Member,
    config_next: u64,
    evacuations: Option<Rc<evacuation::Set>>,
    /// The regions of the data centres, by the settings.
    regions: Rc<Regions>,
    peers: BTreeMap<Incarnation, Peer>,
    /// Incarnations whose address another process now uses, with the time when that was detected.
    replaced: BTreeMap<Incarnation, Moment>,
    /// Addresses of the entries on the platform's list when it was last read.
    listed: BTreeSet<SocketAddr>,
    /// Those at which no member is known to be alive, the next one to be probed first.
    silent: VecDeque<SocketAddr>,
    probes: BTreeMap<u64, Probe>,
    /// Probes on behalf of others, by the sequence number used here.
    relays: BTreeMap<u64, Relay>,
    probe_order: Order,
    gossip_queue: Queue,
    /// Broadcasts of this entry's phase that are still to be sent.
    repeats: outbound::Repeats,
    sequence: u64,
    last_probe: Moment,
    last_tick: Moment,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    state: State,
    since: Moment,
}

/// Whether an update comes from the member itself or from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Direct,
    Indirect,
}

#[derive(Clone, Debug)]
struct Probe {
    target: Incarnation,
    sent: Moment,
    is_indirect: bool,
}

/// A probe on behalf of another member, which expects the acknowledgement as `sequence`.
#[derive(Clone, Debug)]
struct Relay {
    requester: SocketAddr,
    sequence: u64,
    sent: Moment,
}

/// The result of a tick or of a received datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// The datagrams to send.
    pub datagrams: Vec<Datagram>,
    /// The notifications for the rest of the process.
    pub events: Vec<Event>,
}

impl Members {
    /// Returns the view of an entry that has not met any other entry yet.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            config_next: 0,
            evacuations: None,
            regions: Rc::default(),
            peers: BTreeMap::new(),
            replaced: BTreeMap::new(),
            listed: BTreeSet::new(),
            silent: VecDeque::new(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            probe_order: Order::default(),
            gossip_queue: Queue::default(),
            repeats: outbound::Repeats::default(),
            sequence: 0,
            last_probe: Moment::default(),
            last_tick: Moment::default(),
        }
    }

    /// Returns this entry's description of itself.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Changes the phase of this entry and gossips the change.
    pub fn set_phase(&mut self, phase: Phase) {
        if self.local.phase != phase {
            self.local.phase = phase;
            self.local.version += 1;
            self.gossip(Rumour::Member {
                member: self.local.clone(),
                state: State::Alive,
            });
        }
    }

    /// Sets this entry's position in the configuration, as in [`Message::config_next`].
    pub fn set_config_next(&mut self, next: u64) {
        self.config_next = next;
    }

    /// Sets the evacuated data centres as this entry knows them, as in [`Message::evacuations`].
    pub fn set_evacuations(&mut self, set: Option<Rc<evacuation::Set>>) {
        self.evacuations = set;
    }

    /// Sets the regions of the data centres.
    pub fn set_regions(&mut self, regions: Rc<Regions>) {
        self.regions = regions;
    }

    /// Sends a rumour to the others along with the next datagrams.
    pub fn gossip(&mut self, rumour: Rumour) {
        self.gossip_queue.push(rumour);
    }

    /// Does all due work. The caller must call this several times per probe interval.
    pub fn tick(&mut self, now: Moment, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        if now.since(self.last_tick) > PAUSE_LIMIT {
            // Acknowledgements may be unread, so their absence does not indicate a failure.
            self.probes.clear();
            for peer in self
                .peers
                .values_mut()
                .filter(|it| it.state == State::Suspect)
            {
                peer.since = now;
            }
        }
        self.last_tick = now;
        output.datagrams.extend(self.repeat_phase(now));
        self.check_probes(now, random, &mut output);
        self.check_suspects(now, &mut output);
        self.relays
            .retain(|_, it| now.since(it.sent) < ACK_TIMEOUT * 2);
        if now.since(self.last_probe) >= PROBE_INTERVAL {
            self.last_probe = now;
            output.datagrams.extend(self.probe_next_silent());
            self.probe(now, random, &mut output);
        }
        output
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, message: Message) -> Output {
        let mut output = Output::default();
        if message.from.incarnation == self.local.incarnation {
            return output;
        }
        if let Some(set) = message.evacuations
            && self.evacuations.as_ref() != Some(&set)
        {
            let peer = message.from.peer_address;
            output.events.push(Event::Evacuations { peer, set });
        }
        if message.config_next > self.config_next {
            let peer = message.from.peer_address;
            output.events.push(Event::ConfigAhead {
                peer,
                next: message.config_next,
            });
        }
        let sender = message.from.incarnation;
        self.update(now, message.from, State::Alive, Source::Direct, &mut output);
        self.gossip_sender_state(sender);
        for rumour in message.rumours {
            match rumour {
                Rumour::Member { member, state } => {
                    self.update(now, member, state, Source::Indirect, &mut output);
                }
                other => output.events.push(Event::Rumour(other)),
            }
        }
        match message.kind {
            Kind::Probe { sequence } => {
                let message = self.message(Kind::Ack { sequence });
                output.datagrams.push(Datagram { to: from, message });
            }
            Kind::Ack { sequence } => {
                if let Some(relay) = self.relays.remove(&sequence) {
                    let message = self.message(Kind::Ack {
                        sequence: relay.sequence,
                    });
                    output.datagrams.push(Datagram {
                        to: relay.requester,
                        message,
                    });
                }
                if let Some(probe) = self.probes.remove(&sequence) {
                    self.handle_ack(now, probe.target, &mut output);
                }
            }
            Kind::ProbeFor { sequence, target } => {
                let number = self.next_sequence();
                self.relays.insert(
                    number,
                    Relay {
                        requester: from,
                        sequence,
                        sent: now,
                    },
                );
                let message = self.message(Kind::Probe { sequence: number });
                output.datagrams.push(Datagram {
                    to: target,
                    message,
                });
            }
            Kind::Gossip => {}
        }
        output
    }

    fn check_suspects(&mut self, now: Moment, output: &mut Output) {
        let mut dead = Vec::new();
        for peer in self.peers.values_mut() {
            if peer.state == State::Suspect && now.since(peer.since) >= SUSPECT_TIMEOUT {
                peer.state = State::Dead;
                peer.since = now;
                dead.push(peer.member.clone());
            }
        }
        for member in dead {
            output.events.push(Event::Changed(member.incarnation));
            self.probe_if_listed(member.peer_address);
            self.gossip(Rumour::Member {
                member,
                state: State::Dead,
            });
        }
        self.replaced
            .retain(|_, detected_at| now.since(*detected_at) < DEAD_TTL);
        self.peers
            .retain(|_, it| it.state != State::Dead || now.since(it.since) < DEAD_TTL);
    }

    fn suspect(&mut self, now: Moment, target: Incarnation, output: &mut Output) {
        let Some(peer) = self.peers.get_mut(&target) else {
            return;
        };
        if peer.state != State::Alive {
            return;
        }
        peer.state = State::Suspect;
        peer.since = now;
        let member = peer.member.clone();
        output.events.push(Event::Changed(target));
        self.gossip(Rumour::Member {
            member,
            state: State::Suspect,
        });
    }

    /// Gossips the state of a member that is suspect or dead with the next datagram, so that the
    /// member can refute it.
    fn gossip_sender_state(&mut self, sender: Incarnation) {
        let peer = self
            .peers
            .get(&sender)
            .filter(|it| it.state != State::Alive);
        if let Some(Peer { member, state, .. }) = peer.cloned() {
            self.gossip(Rumour::Member { member, state });
        }
    }

    /// Marks a suspect as alive after it acknowledged a probe.
    fn handle_ack(&mut self, now: Moment, target: Incarnation, output: &mut Output) {
        let Some(peer) = self.peers.get_mut(&target) else {
            return;
        };
        if peer.state == State::Suspect {
            peer.state = State::Alive;
            peer.since = now;
            output.events.push(Event::Changed(target));
        }
    }

    /// Applies an update about a member if it is newer than the known state.
    fn update(
        &mut self,
        now: Moment,
        member: Member,
        state: State,
        source: Source,
        output: &mut Output,
    ) {
        let id = member.incarnation;
        if id == self.local.incarnation {
            if state != State::Alive && member.version >= self.local.version {
                self.local.version = member.version + 1;
                self.gossip(Rumour::Member {
                    member: self.local.clone(),
                    state: State::Alive,
                });
            }
            return;
        }
        if member.peer_address == self.local.peer_address || self.replaced.contains_key(&id) {
            // An earlier incarnation at the address of this entry or of another one.
            return;
        }
        if let Some(peer) = self.peers.get(&id) {
            let is_newer = (member.version, state) > (peer.member.version, peer.state);
            if !is_newer {
                return;
            }
        } else if state == State::Dead {
            return;
        }
        // An address belongs to the process that responds from it, so the other incarnation has
        // ended. An indirect update can't show which of the two is newer while one is alive.
        let at_address =
            |p: &&Peer| p.member.peer_address == member.peer_address && p.member.incarnation != id;
        if let Some(other) = self.peers.values().find(at_address) {
            if source == Source::Indirect && other.state == State::Alive {
                return;
            }
            let other = other.member.incarnation;
            self.peers.remove(&other);
            self.replaced.insert(other, now);
            output.events.push(Event::Changed(other));
        }
        self.silent.retain(|it| *it != member.peer_address);
        self.peers.insert(
            id,
            Peer {
                member: member.clone(),
                state,
                since: now,
            },
        );
        if state == State::Dead {
            self.probe_if_listed(member.peer_address);
        }
        output.events.push(Event::Changed(id));
        self.gossip(Rumour::Member { member, state });
    }

    fn message(&mut self, kind: Kind) -> Message {
        let rumours = self.gossip_queue.take(self.peers.len() + 1);
        Message {
            from: self.local.clone(),
            config_next: self.config_next,
            kind,
            rumours,
            evacuations: self.evacuations.clone(),
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
