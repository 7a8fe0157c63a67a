//! Encoding and decoding of socket addresses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;

use crate::Error;
use crate::peer_capnp::address;

/// Writes an address.
pub fn write(address: SocketAddr, mut builder: address::Builder<'_>) {
    match address.ip() {
        IpAddr::V4(ip) => builder.set_ip(&ip.octets()),
        IpAddr::V6(ip) => builder.set_ip(&ip.octets()),
    }
    builder.set_port(address.port());
}

/// Reads an address.
pub fn read(reader: address::Reader<'_>) -> Result<SocketAddr, Error> {
    let bytes = reader.get_ip()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(bytes) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(Error::Field("ip"));
    };
    Ok(SocketAddr::new(ip, reader.get_port()))
}
