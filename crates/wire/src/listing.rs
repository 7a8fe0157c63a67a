//! Encoding and decoding of records of the platform's lists, which entries send to one another.

use capnp::struct_list;

use crate::Error;
use crate::peer_capnp::datagram;
use crate::peer_capnp::record;

/// A record of one of the platform's lists, with its value as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; absent if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The position after the record in the platform's log. It is 0 in a whole list, and in the
    /// broadcasts of entries that don't know the field.
    pub next: u64,
}

/// The changes to the list of servers between two positions. They cover the sender's latest reads,
/// which makes up for lost datagrams, and omit records that repeat what the list has said before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The position from which the changes are complete.
    pub from: u64,
    /// The position up to which the changes are complete.
    pub to: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// Writes a delta.
pub fn write(delta: &Delta, mut builder: datagram::listing::Builder<'_>) {
    builder.set_from(delta.from);
    builder.set_to(delta.to);
    let records = builder.init_records(delta.records.len() as u32);
    write_records(&delta.records, records);
}

/// Reads a delta.
pub fn read(reader: datagram::listing::Reader<'_>) -> Result<Delta, Error> {
    Ok(Delta {
        from: reader.get_from(),
        to: reader.get_to(),
        records: read_records(reader.get_records()?)?,
    })
}

/// Writes records.
pub fn write_records(records: &[Record], mut builder: struct_list::Builder<'_, record::Owned>) {
    for (index, record) in records.iter().enumerate() {
        let mut encoded = builder.reborrow().get(index as u32);
        encoded.set_key(&record.key);
        encoded.set_is_removed(record.value.is_none());
        encoded.set_value(record.value.as_deref().unwrap_or_default());
        encoded.set_next(record.next);
    }
}

/// Reads records.
pub fn read_records(reader: struct_list::Reader<'_, record::Owned>) -> Result<Vec<Record>, Error> {
    let records = reader.iter().map(|it| {
        let value = (!it.get_is_removed()).then(|| it.get_value());
        Ok(Record {
            key: it.get_key()?.to_str()?.to_owned(),
            value: value.transpose()?.map(<[u8]>::to_owned),
            next: it.get_next(),
        })
    });
    records.collect()
}
