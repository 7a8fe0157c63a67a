//! Encoding and decoding of the datagrams between entries.

use std::rc::Rc;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use cost::Batch;
use domain::key::Incarnation;
use membership::Member;
use membership::Message;
use membership::member::Phase;
use membership::member::State;
use membership::message::Kind;
use membership::message::Rumour;
use placement::Snapshot;
use placement::Update;
use routing::level::LEVELS;
use routing::quarantine::Report;

use crate::Delta;
use crate::Error;
use crate::address;
use crate::costs;
use crate::evacuations;
use crate::listing;
use crate::peer_capnp::datagram;
use crate::peer_capnp::load;
use crate::peer_capnp::member;
use crate::peer_capnp::rumour;
use crate::suspects;
use crate::update;

/// The initial capacity of the buffer for an encoded frame, in bytes.
const PACKED_CAPACITY: usize = 256;

/// The names of all kinds of frames, as in [`Frame::kind`].
pub const KINDS: [&str; 10] = [
    "probe",
    "ack",
    "probe_for",
    "gossip",
    "loads",
    "updates",
    "snapshot",
    "quarantine",
    "delta",
    "costs",
];

/// One datagram between entries.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A message of the membership protocol, with gossip.
    Message(Message),
    /// Load reports from the home of some backend servers. The gateway neither sends nor uses them.
    Loads(Vec<Load>),
    /// Updates on requests that the sender has placed. Only the gateway sends and uses them.
    Updates(Vec<Update>),
    /// All requests in progress that the sender has placed, to make up for lost updates. Only the
    /// gateway sends and uses them.
    Snapshot(Snapshot),
    /// What the sender knows of requests that crash servers.
    Quarantine(Report),
    /// Changes to the list of servers. Only the gateway sends and uses them.
    Delta(Delta),
    /// What requests that the sender served have cost. Only the gateway sends and uses them.
    Costs(Batch),
}

/// The load of a backend server, as read by the entry that is its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The backend server.
    pub server: String,
    /// The age of the report.
    pub age: Duration,
    /// The report; absent if the server is unreachable.
    pub report: Option<routing::engine::Load>,
}

impl Frame {
    /// Returns the name of the kind of frame, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Message(message) => match message.kind {
                Kind::Probe { .. } => "probe",
                Kind::Ack { .. } => "ack",
                Kind::ProbeFor { .. } => "probe_for",
                Kind::Gossip => "gossip",
            },
            Self::Loads(_) => "loads",
            Self::Updates(_) => "updates",
            Self::Snapshot(_) => "snapshot",
            Self::Quarantine(_) => "quarantine",
            Self::Delta(_) => "delta",
            Self::Costs(_) => "costs",
        }
    }

    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        let mut builder = Builder::new_default();
        let datagram = builder.init_root::<datagram::Builder<'_>>();
        match self {
            Self::Message(message) => write_message(message, datagram),
            Self::Delta(delta) => listing::write(delta, datagram.init_listing()),
            Self::Costs(batch) => costs::write(batch, datagram.init_costs()),
            Self::Quarantine(it) => suspects::write(it, datagram.init_quarantine()),
            Self::Snapshot(snapshot) => update::write_snapshot(snapshot, datagram.init_roster()),
            Self::Loads(loads) => {
                let mut list = datagram.init_loads(loads.len() as u32);
                for (index, load) in loads.iter().enumerate() {
                    write_load(load, list.reborrow().get(index as u32));
                }
            }
            Self::Updates(updates) => {
                let mut list = datagram.init_work(updates.len() as u32);
                for (index, update) in updates.iter().enumerate() {
                    update::write(update, list.reborrow().get(index as u32));
                }
            }
        }
        // Packed encoding omits zero bytes, which make up half of a message.
        let mut bytes = Vec::with_capacity(PACKED_CAPACITY);
        if let Err(error) = serialize_packed::write_message(&mut bytes, &builder) {
            log::error!(target: "wire", "failed to encode a frame, dropping it: {error}");
            bytes.clear();
        }
        bytes
    }

    /// Decodes a frame.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, Error> {
        let reader = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
        let datagram = reader.get_root::<datagram::Reader<'_>>()?;
        let kind = match datagram.which()? {
            datagram::Loads(loads) => {
                let loads = loads?.iter().map(read_load).collect::<Result<_, _>>()?;
                return Ok(Self::Loads(loads));
            }
            datagram::Listing(delta) => return Ok(Self::Delta(listing::read(delta)?)),
            datagram::Quarantine(it) => return Ok(Self::Quarantine(suspects::read(it)?)),
            datagram::Roster(it) => return Ok(Self::Snapshot(update::read_snapshot(it)?)),
            datagram::Work(updates) => {
                let updates = updates?
                    .iter()
                    .map(update::read)
                    .collect::<Result<_, _>>()?;
                return Ok(Self::Updates(updates));
            }
            datagram::Probe(sequence) => Kind::Probe { sequence },
            datagram::Ack(sequence) => Kind::Ack { sequence },
            datagram::ProbeFor(probe) => Kind::ProbeFor {
                sequence: probe.get_sequence(),
                target: address::read(probe.get_target()?)?,
            },
            datagram::News(()) => Kind::Gossip,
            datagram::Costs(it) => return Ok(Self::Costs(costs::read(it)?)),
        };
        let rumours = datagram
            .get_rumours()?
            .iter()
            .filter_map(|it| read_rumour(it).transpose())
            .collect::<Result<_, _>>()?;
        Ok(Self::Message(Message {
            from: read_member(datagram.get_from()?)?,
            config_next: datagram.get_config_next(),
            kind,
            rumours,
            evacuations: match datagram.has_evacuations() {
                true => Some(Rc::new(evacuations::read(datagram.get_evacuations()?)?)),
                false => None,
            },
        }))
    }
}

fn write_message(message: &Message, mut datagram: datagram::Builder<'_>) {
    write_member(&message.from, datagram.reborrow().init_from());
    datagram.set_config_next(message.config_next);
    let mut rumours = datagram
        .reborrow()
        .init_rumours(message.rumours.len() as u32);
    for (index, rumour) in message.rumours.iter().enumerate() {
        write_rumour(rumour, rumours.reborrow().get(index as u32));
    }
    if let Some(set) = &message.evacuations {
        evacuations::write(set, datagram.reborrow().init_evacuations());
    }
    match message.kind {
        Kind::Probe { sequence } => datagram.set_probe(sequence),
        Kind::Ack { sequence } => datagram.set_ack(sequence),
        Kind::ProbeFor { sequence, target } => {
            let mut probe = datagram.init_probe_for();
            probe.set_sequence(sequence);
            address::write(target, probe.init_target());
        }
        Kind::Gossip => datagram.set_news(()),
    }
}

fn write_member(member: &Member, mut builder: member::Builder<'_>) {
    builder.set_incarnation(member.incarnation.0);
    builder.set_name(&member.name);
    builder.set_data_centre(&member.data_centre);
    address::write(member.caller_address, builder.reborrow().init_callers());
    address::write(member.peer_address, builder.reborrow().init_peers());
    builder.set_phase(match member.phase {
        Phase::Starting => member::Phase::Starting,
        Phase::Ready => member::Phase::Ready,
        Phase::Leaving => member::Phase::Leaving,
        Phase::Isolated => member::Phase::Isolated,
    });
    builder.set_beat(member.version);
    builder.set_capacity(member.capacity);
    if let Some(relay) = member.relay_address {
        address::write(relay, builder.init_relay());
    }
}

fn read_member(reader: member::Reader<'_>) -> Result<Member, Error> {
    Ok(Member {
        incarnation: Incarnation(reader.get_incarnation()),
        name: reader.get_name()?.to_str()?.to_owned(),
        data_centre: reader.get_data_centre()?.to_str()?.to_owned(),
        caller_address: address::read(reader.get_callers()?)?,
        peer_address: address::read(reader.get_peers()?)?,
        phase: match reader.get_phase()? {
            member::Phase::Starting => Phase::Starting,
            member::Phase::Ready => Phase::Ready,
            member::Phase::Leaving => Phase::Leaving,
            member::Phase::Isolated => Phase::Isolated,
        },
        version: reader.get_beat(),
        capacity: reader.get_capacity(),
        relay_address: match reader.has_relay() {
            true => Some(address::read(reader.get_relay()?)?),
            false => None,
        },
    })
}

fn write_rumour(rumour: &Rumour, mut builder: rumour::Builder<'_>) {
    match rumour {
        Rumour::Member { member, state } => {
            let mut group = builder.init_member();
            write_member(member, group.reborrow().init_member());
            group.set_state(match state {
                State::Alive => rumour::State::Alive,
                State::Suspect => rumour::State::Suspect,
                State::Dead => rumour::State::Dead,
            });
        }
        Rumour::ServerLeaving { server } => builder.set_server_leaving(server),
    }
}

/// Reads a rumour. Returns `None` for one of a kind that is no longer used.
fn read_rumour(reader: rumour::Reader<'_>) -> Result<Option<Rumour>, Error> {
    Ok(match reader.which()? {
        rumour::Member(group) => Some(Rumour::Member {
            member: read_member(group.get_member()?)?,
            state: match group.get_state()? {
                rumour::State::Alive => State::Alive,
                rumour::State::Suspect => State::Suspect,
                rumour::State::Dead => State::Dead,
            },
        }),
        rumour::ObsoleteCrash(_) => None,
        rumour::ServerLeaving(server) => Some(Rumour::ServerLeaving {
            server: server?.to_str()?.to_owned(),
        }),
    })
}

fn write_load(load: &Load, mut builder: load::Builder<'_>) {
    builder.set_server(&load.server);
    builder.set_age_ms(u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX));
    let Some(report) = &load.report else {
        builder.set_is_lost(true);
        return;
    };
    builder.set_incarnation(report.incarnation);
    let mut backlog = builder.reborrow().init_backlog_micros(LEVELS as u32);
    for (index, micros) in report.backlog_micros.iter().enumerate() {
        backlog.set(index as u32, *micros);
    }
    builder.set_running(report.running);
    builder.set_memory_used(report.memory_used);
    builder.set_is_leaving(report.is_leaving);
}

fn read_load(reader: load::Reader<'_>) -> Result<Load, Error> {
    let mut backlog_micros = [0; LEVELS];
    for (level, micros) in backlog_micros
        .iter_mut()
        .zip(reader.get_backlog_micros()?.iter())
    {
        *level = micros;
    }
    let report = routing::engine::Load {
        incarnation: reader.get_incarnation(),
        backlog_micros,
        running: reader.get_running(),
        memory_used: reader.get_memory_used(),
        is_leaving: reader.get_is_leaving(),
    };
    Ok(Load {
        server: reader.get_server()?.to_str()?.to_owned(),
        age: Duration::from_millis(reader.get_age_ms().into()),
        report: (!reader.get_is_lost()).then_some(report),
    })
}
