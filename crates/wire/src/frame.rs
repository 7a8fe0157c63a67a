//! Datagrams.

use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
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

use crate::Error;
use crate::Listing;
use crate::address;
use crate::listing;
use crate::note;
use crate::peer_capnp::datagram;
use crate::peer_capnp::load;
use crate::peer_capnp::member;
use crate::peer_capnp::rumour;

/// The memory set aside for a frame, in bytes.
const PACKED_CAPACITY: usize = 256;

/// One datagram between entries.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Membership and news.
    Message(Message),
    /// Load reports from the home of some backend servers.
    Loads(Vec<Load>),
    /// What became of requests that the sender has placed.
    Work(Vec<Update>),
    /// All requests that an entry has placed and that go on.
    Roster(Snapshot),
    /// What changed on the list of servers.
    Listing(Listing),
}

/// The load of one backend server, as its home read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The backend server.
    pub server: String,
    /// The age of what is reported.
    pub age: Duration,
    /// The report; absent if the server can't be reached.
    pub report: Option<routing::engine::Load>,
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let datagram = message.init_root::<datagram::Builder<'_>>();
        match self {
            Self::Message(it) => write_message(it, datagram),
            Self::Listing(it) => listing::write(it, datagram.init_listing()),
            Self::Roster(roster) => note::write_roster(roster, datagram.init_roster()),
            Self::Loads(loads) => {
                let mut list = datagram.init_loads(loads.len() as u32);
                for (index, it) in loads.iter().enumerate() {
                    write_load(it, list.reborrow().get(index as u32));
                }
            }
            Self::Work(notes) => {
                let mut list = datagram.init_work(notes.len() as u32);
                for (index, it) in notes.iter().enumerate() {
                    note::write(it, list.reborrow().get(index as u32));
                }
            }
        }
        // Packing leaves out zeros, which make up half of a message.
        let mut bytes = Vec::with_capacity(PACKED_CAPACITY);
        if let Err(error) = serialize_packed::write_message(&mut bytes, &message) {
            log::error!(target: "wire", "A frame can't be encoded: {error}. It is left out.");
            bytes.clear();
        }
        bytes
    }

    /// Decodes a frame.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, Error> {
        let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
        let datagram = message.get_root::<datagram::Reader<'_>>()?;
        let kind = match datagram.which()? {
            datagram::Loads(loads) => {
                let loads = loads?.iter().map(read_load).collect::<Result<_, _>>()?;
                return Ok(Self::Loads(loads));
            }
            datagram::Listing(it) => return Ok(Self::Listing(listing::read(it)?)),
            datagram::Roster(roster) => return Ok(Self::Roster(note::read_roster(roster)?)),
            datagram::Work(notes) => {
                let notes = notes?.iter().map(note::read).collect::<Result<_, _>>()?;
                return Ok(Self::Work(notes));
            }
            datagram::Probe(sequence) => Kind::Probe { sequence },
            datagram::Ack(sequence) => Kind::Ack { sequence },
            datagram::ProbeFor(it) => Kind::ProbeFor {
                sequence: it.get_sequence(),
                target: address::read(it.get_target()?)?,
            },
            datagram::News(()) => Kind::Gossip,
        };
        let rumours = datagram
            .get_rumours()?
            .iter()
            .map(read_rumour)
            .collect::<Result<_, _>>()?;
        Ok(Self::Message(Message {
            from: read_member(datagram.get_from()?)?,
            config_next: datagram.get_config_next(),
            kind,
            rumours,
        }))
    }
}

fn write_message(message: &Message, mut datagram: datagram::Builder<'_>) {
    write_member(&message.from, datagram.reborrow().init_from());
    datagram.set_config_next(message.config_next);
    let mut rumours = datagram
        .reborrow()
        .init_rumours(message.rumours.len() as u32);
    for (index, it) in message.rumours.iter().enumerate() {
        write_rumour(it, rumours.reborrow().get(index as u32));
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

fn write_member(it: &Member, mut builder: member::Builder<'_>) {
    builder.set_incarnation(it.incarnation.0);
    builder.set_name(&it.name);
    builder.set_data_centre(&it.data_centre);
    address::write(it.caller_address, builder.reborrow().init_callers());
    address::write(it.peer_address, builder.reborrow().init_peers());
    builder.set_phase(match it.phase {
        Phase::Starting => member::Phase::Starting,
        Phase::Ready => member::Phase::Ready,
        Phase::Leaving => member::Phase::Leaving,
    });
    builder.set_beat(it.version);
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
        },
        version: reader.get_beat(),
    })
}

fn write_rumour(it: &Rumour, mut builder: rumour::Builder<'_>) {
    match it {
        Rumour::Member { member, state } => {
            let mut group = builder.init_member();
            write_member(member, group.reborrow().init_member());
            group.set_state(match state {
                State::Alive => rumour::State::Alive,
                State::Suspect => rumour::State::Suspect,
                State::Dead => rumour::State::Dead,
            });
        }
        Rumour::Crash {
            fingerprint,
            server,
        } => {
            let mut group = builder.init_crash();
            group.set_fingerprint(*fingerprint);
            group.set_server(server);
        }
        Rumour::ServerLeaving { server } => builder.set_server_leaving(server),
    }
}

fn read_rumour(reader: rumour::Reader<'_>) -> Result<Rumour, Error> {
    Ok(match reader.which()? {
        rumour::Member(group) => Rumour::Member {
            member: read_member(group.get_member()?)?,
            state: match group.get_state()? {
                rumour::State::Alive => State::Alive,
                rumour::State::Suspect => State::Suspect,
                rumour::State::Dead => State::Dead,
            },
        },
        rumour::Crash(group) => Rumour::Crash {
            fingerprint: group.get_fingerprint(),
            server: group.get_server()?.to_str()?.to_owned(),
        },
        rumour::ServerLeaving(server) => Rumour::ServerLeaving {
            server: server?.to_str()?.to_owned(),
        },
    })
}

fn write_load(it: &Load, mut builder: load::Builder<'_>) {
    builder.set_server(&it.server);
    builder.set_age_ms(u32::try_from(it.age.as_millis()).unwrap_or(u32::MAX));
    let Some(report) = &it.report else {
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
