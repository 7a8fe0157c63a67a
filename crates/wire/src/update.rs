//! Encoding and decoding of updates on requests that entries have placed.

use domain::key::Incarnation;
use placement::Expectation;
use placement::JobId;
use placement::Snapshot;
use placement::Update;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;

use crate::Error;
use crate::peer_capnp::datagram;
use crate::peer_capnp::work;

/// The longest time of work in milliseconds, and the most passes: a day of either. Sums of longer times
/// would not fit a duration.
const MAX_WORK: f32 = 24.0 * 3_600.0 * 1e3;

/// Writes an update.
pub fn write(update: &Update, mut builder: work::Builder<'_>) {
    builder.set_entry(update.job.entry.0);
    builder.set_number(update.job.number);
    match &update.change {
        Change::Started => builder.set_started(()),
        Change::Slowed(factor) => builder.set_paced(*factor),
        Change::Limited { server, per_s } => {
            let mut group = builder.init_limited();
            group.set_server(*server);
            group.set_per_s(*per_s);
        }
        Change::Ended => builder.set_ended(()),
        Change::Rejected { digest, return_ms } => {
            let mut group = builder.init_rejected();
            group.set_digest(*digest);
            group.set_return_ms(*return_ms);
        }
        Change::Placed(placement) => {
            let mut group = builder.init_placed();
            group.set_target_ms(placement.target_ms);
            group.set_pause_ms(placement.pause_ms);
            group.set_value(placement.value);
            group.set_is_late(placement.timeliness == Timeliness::Late);
            group.set_passes(placement.passes.mean);
            group.set_passes_upper(placement.passes.upper);
            group.set_service_ms(placement.service_ms.mean);
            group.set_service_upper_ms(placement.service_ms.upper);
            let mut parts = group.init_parts(placement.parts.len() as u32);
            for (index, it) in placement.parts.iter().enumerate() {
                let mut part = parts.reborrow().get(index as u32);
                part.set_server(it.server);
                part.set_read_ms(it.prefill_ms);
                part.set_tokens(it.tokens);
            }
        }
    }
}

/// Writes a snapshot of the requests that an entry has placed.
pub fn write_snapshot(snapshot: &Snapshot, mut builder: datagram::roster::Builder<'_>) {
    builder.set_entry(snapshot.entry.0);
    let count = snapshot.placed.len() as u32;
    let mut placed = builder.reborrow().init_placed(count);
    for (index, it) in snapshot.placed.iter().enumerate() {
        write(it, placed.reborrow().get(index as u32));
    }
    let mut started = builder.init_started(snapshot.started.len() as u32);
    for (index, it) in snapshot.started.iter().enumerate() {
        started.set(index as u32, *it);
    }
}

/// Reads a snapshot of the requests that an entry has placed.
pub fn read_snapshot(reader: datagram::roster::Reader<'_>) -> Result<Snapshot, Error> {
    Ok(Snapshot {
        entry: Incarnation(reader.get_entry()),
        placed: reader
            .get_placed()?
            .iter()
            .map(read)
            .collect::<Result<_, _>>()?,
        started: reader.get_started()?.iter().collect(),
    })
}

/// Reads what a request is expected to take. An estimate out of range counts as not known.
fn expectation(mean: f32, upper: f32) -> Expectation {
    let range = 0.0..=MAX_WORK;
    if range.contains(&mean) && range.contains(&upper) {
        Expectation { mean, upper }
    } else {
        Expectation::default()
    }
}

/// Reads the duration of a prefill.
fn prefill_ms(value: f32) -> Result<f32, Error> {
    let is_valid = (0.0..=MAX_WORK).contains(&value);
    is_valid.then_some(value).ok_or(Error::Field("readMs"))
}

/// Reads a factor or a weight.
fn finite(value: f32, field: &'static str) -> Result<f32, Error> {
    value
        .is_finite()
        .then_some(value)
        .ok_or(Error::Field(field))
}

/// Reads an update.
pub fn read(reader: work::Reader<'_>) -> Result<Update, Error> {
    let job = JobId {
        entry: Incarnation(reader.get_entry()),
        number: reader.get_number(),
    };
    let change = match reader.which()? {
        work::Started(()) => Change::Started,
        work::Paced(factor) => Change::Slowed(finite(factor, "paced")?),
        work::Limited(group) => {
            let per_s = group.get_per_s();
            if per_s.is_nan() {
                return Err(Error::Field("perS"));
            }
            Change::Limited {
                server: group.get_server(),
                per_s,
            }
        }
        work::Ended(()) => Change::Ended,
        work::Rejected(group) => Change::Rejected {
            digest: group.get_digest(),
            return_ms: group.get_return_ms(),
        },
        work::Placed(group) => {
            let parts = group.get_parts()?.iter().map(|it| {
                Ok(Part {
                    server: it.get_server(),
                    prefill_ms: prefill_ms(it.get_read_ms())?,
                    tokens: it.get_tokens(),
                })
            });
            Change::Placed(Placement {
                target_ms: group.get_target_ms(),
                pause_ms: group.get_pause_ms(),
                value: finite(group.get_value(), "value")?,
                timeliness: if group.get_is_late() {
                    Timeliness::Late
                } else {
                    Timeliness::OnTime
                },
                parts: parts.collect::<Result<_, Error>>()?,
                passes: expectation(group.get_passes(), group.get_passes_upper()),
                service_ms: expectation(group.get_service_ms(), group.get_service_upper_ms()),
            })
        }
    };
    Ok(Update { job, change })
}
