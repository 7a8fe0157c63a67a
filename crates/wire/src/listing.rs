//! Records of the platform's lists, as one entry passes them on to others.

use capnp::struct_list;

use crate::Error;
use crate::peer_capnp::datagram;
use crate::peer_capnp::record;

/// A record of a list, as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What it is about.
    pub key: String,
    /// What it says; absent if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// What changed on the list of servers between two positions. Records that only repeat what was
/// known are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The position from which on it is complete.
    pub from: u64,
    /// The position up to which it is complete.
    pub to: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// Writes a listing.
pub fn write(listing: &Delta, mut builder: datagram::listing::Builder<'_>) {
    builder.set_from(listing.from);
    builder.set_to(listing.to);
    let records = builder.init_records(listing.records.len() as u32);
    write_records(&listing.records, records);
}

/// Reads a listing.
pub fn read(reader: datagram::listing::Reader<'_>) -> Result<Delta, Error> {
    Ok(Delta {
        from: reader.get_from(),
        to: reader.get_to(),
        records: read_records(reader.get_records()?)?,
    })
}

/// Writes records.
pub fn write_records(records: &[Record], mut builder: struct_list::Builder<'_, record::Owned>) {
    for (index, it) in records.iter().enumerate() {
        let mut record = builder.reborrow().get(index as u32);
        record.set_key(&it.key);
        record.set_is_removed(it.value.is_none());
        record.set_value(it.value.as_deref().unwrap_or_default());
    }
}

/// Reads records.
pub fn read_records(reader: struct_list::Reader<'_, record::Owned>) -> Result<Vec<Record>, Error> {
    let records = reader.iter().map(|it| {
        let value = (!it.get_is_removed()).then(|| it.get_value());
        Ok(Record {
            key: it.get_key()?.to_str()?.to_owned(),
            value: value.transpose()?.map(<[u8]>::to_owned),
        })
    });
    records.collect()
}
