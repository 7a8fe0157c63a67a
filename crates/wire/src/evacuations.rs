//! Encoding and decoding of the evacuated data centres.

use domain::evacuation::Set;

use crate::Error;
use crate::peer_capnp::evacuations;

/// Separates the listed data centres from those that are held. No data centre has an empty name.
const SEPARATOR: &str = "";

/// Writes a set.
pub fn write(set: &Set, mut builder: evacuations::Builder<'_>) {
    builder.set_position(set.position);
    let separator = (!set.held.is_empty()).then_some(SEPARATOR);
    let listed = set.listed.iter().map(String::as_str);
    let held = set.held.iter().map(String::as_str);
    let names: Vec<&str> = listed.chain(separator).chain(held).collect();
    let mut list = builder.init_data_centres(names.len() as u32);
    for (index, name) in names.into_iter().enumerate() {
        list.set(index as u32, name);
    }
}

/// Reads a set.
pub fn read(reader: evacuations::Reader<'_>) -> Result<Set, Error> {
    let mut set = Set {
        position: reader.get_position(),
        ..Set::default()
    };
    let mut is_held = false;
    for name in reader.get_data_centres()? {
        match name?.to_str()? {
            SEPARATOR => is_held = true,
            name if is_held => _ = set.held.insert(name.to_owned()),
            name => _ = set.listed.insert(name.to_owned()),
        }
    }
    Ok(set)
}
