//! Encoding and decoding of what requests have cost.
//!
//! The cost of a truncated answer, a lower bound, is sent as a negative number. Entries that do not know
//! bounds ignore such observations, since no cost is negative.

use cost::Batch;
use cost::Extent;
use cost::Observation;
use domain::key::Incarnation;

use crate::Error;
use crate::peer_capnp::cost as observation;
use crate::peer_capnp::datagram;

/// Writes a batch of observations.
pub fn write(batch: &Batch, mut builder: datagram::costs::Builder<'_>) {
    builder.set_entry(batch.entry.0);
    builder.set_next(batch.next);
    let mut list = builder.init_observations(batch.observations.len() as u32);
    for (index, it) in batch.observations.iter().enumerate() {
        write_observation(it, list.reborrow().get(index as u32));
    }
}

/// Reads a batch of observations.
pub fn read(reader: datagram::costs::Reader<'_>) -> Result<Batch, Error> {
    let observations = reader.get_observations()?.iter().map(read_observation);
    Ok(Batch {
        entry: Incarnation(reader.get_entry()),
        next: reader.get_next(),
        observations: observations.collect::<Result<_, _>>()?,
    })
}

fn write_observation(it: &Observation, mut builder: observation::Builder<'_>) {
    builder.set_service(&it.service);
    builder.set_route(&it.route);
    builder.set_organisation(&it.organisation);
    builder.set_prompt_tokens(it.prompt_tokens);
    builder.set_expected_tokens(it.expected_tokens);
    builder.set_limit(it.limit);
    builder.set_cost(match it.extent {
        Extent::Whole => it.cost,
        Extent::Truncated => -it.cost,
    });
}

fn read_observation(reader: observation::Reader<'_>) -> Result<Observation, Error> {
    let cost = reader.get_cost();
    let is_bound = cost < 0.0;
    Ok(Observation {
        service: reader.get_service()?.to_str()?.to_owned(),
        route: reader.get_route()?.to_str()?.to_owned(),
        organisation: reader.get_organisation()?.to_str()?.to_owned(),
        prompt_tokens: reader.get_prompt_tokens(),
        expected_tokens: reader.get_expected_tokens(),
        limit: reader.get_limit(),
        cost: cost.abs(),
        extent: if is_bound {
            Extent::Truncated
        } else {
            Extent::Whole
        },
    })
}
