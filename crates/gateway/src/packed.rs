//! Messages as the bytes of one datagram: JSON, deflated where it is long.

use std::io::{Read, Write};

use anyhow::{Result, ensure};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest datagram, in bytes: what fits into one IP packet.
pub const LONGEST: usize = 60 << 10;
/// The longest message once unpacked, in bytes; a packed one can't claim more memory.
const LONGEST_MESSAGE: u64 = 512 << 10;
/// What fits into one packet of the network, in bytes; a shorter message is not
/// worth the time to deflate it.
pub const ONE_PACKET: usize = 1_400;
/// The first byte of a deflated message; JSON never begins with it.
const DEFLATED: u8 = 1;

/// Packs a message.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let plain = serde_json::to_vec(message)?;
    if plain.len() < ONE_PACKET {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(&plain)?;
    let packed = encoder.finish()?;
    ensure!(packed.len() <= LONGEST, "{} bytes are too long for a datagram", packed.len());
    Ok(packed)
}

/// Unpacks a message.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let [DEFLATED, packed @ ..] = bytes else { return Ok(serde_json::from_slice(bytes)?) };
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(LONGEST_MESSAGE).read_to_end(&mut plain)?;
    Ok(serde_json::from_slice(&plain)?)
}
