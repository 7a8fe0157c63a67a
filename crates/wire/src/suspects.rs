//! Encoding and decoding of what entries know of requests that crash servers.

use routing::quarantine::Report;
use routing::quarantine::Suspicion;

use crate::Error;
use crate::peer_capnp::datagram;
use crate::peer_capnp::suspect;

/// Writes a report.
pub fn write(report: &Report, mut builder: datagram::quarantine::Builder<'_>) {
    let length = report.suspects.len() as u32;
    let mut suspects = builder.reborrow().init_suspects(length);
    for (index, suspicion) in report.suspects.iter().enumerate() {
        write_suspect(suspicion, suspects.reborrow().get(index as u32));
    }
    let mut cleared = builder.init_cleared(report.cleared.len() as u32);
    for (index, digest) in report.cleared.iter().enumerate() {
        cleared.set(index as u32, *digest);
    }
}

/// Reads a report.
pub fn read(reader: datagram::quarantine::Reader<'_>) -> Result<Report, Error> {
    let suspects = reader.get_suspects()?.iter().map(read_suspect);
    Ok(Report {
        suspects: suspects.collect::<Result<_, _>>()?,
        cleared: reader.get_cleared()?.iter().collect(),
    })
}

fn write_suspect(suspicion: &Suspicion, mut builder: suspect::Builder<'_>) {
    builder.set_digest(suspicion.digest);
    let length = suspicion.crashes.len() as u32;
    let mut servers = builder.reborrow().init_servers(length);
    for (index, (server, _)) in suspicion.crashes.iter().enumerate() {
        servers.set(index as u32, *server);
    }
    let mut weights = builder.init_weights(length);
    for (index, (_, weight)) in suspicion.crashes.iter().enumerate() {
        weights.set(index as u32, *weight);
    }
}

fn read_suspect(reader: suspect::Reader<'_>) -> Result<Suspicion, Error> {
    let servers = reader.get_servers()?.iter();
    Ok(Suspicion {
        digest: reader.get_digest(),
        crashes: servers.zip(reader.get_weights()?.iter()).collect(),
    })
}
