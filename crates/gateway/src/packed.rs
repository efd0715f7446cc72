//! Datagram encoding of messages: JSON, deflated if it is long.

use std::io::{Read, Write};

use anyhow::{Result, ensure};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a datagram in bytes, which fits into one IP packet.
pub const MAX_DATAGRAM: usize = 60 << 10;
/// Maximum size of a decoded message in bytes, so that a compressed one cannot claim
/// more memory.
const MAX_MESSAGE: u64 = 512 << 10;
/// Size in bytes that fits into one network packet; a message below it is not worth
/// the time to compress.
pub const PACKET_SIZE: usize = 1_400;
/// First byte of a compressed message; JSON never begins with it.
const DEFLATED: u8 = 1;

/// Encodes a message.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let json = serde_json::to_vec(message)?;
    if json.len() < PACKET_SIZE {
        return Ok(json);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(&json)?;
    let deflated = encoder.finish()?;
    ensure!(
        deflated.len() <= MAX_DATAGRAM,
        "message of {} bytes exceeds the datagram limit of {MAX_DATAGRAM}",
        deflated.len()
    );
    Ok(deflated)
}

/// Decodes a message.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let [DEFLATED, deflated @ ..] = bytes else { return Ok(serde_json::from_slice(bytes)?) };
    let mut json = Vec::new();
    DeflateDecoder::new(deflated).take(MAX_MESSAGE).read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}
