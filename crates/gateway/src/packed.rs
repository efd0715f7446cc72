//! Encoding of messages between instances: postcard behind a version byte, deflated if
//! it is long.

use std::io::{Read, Write};

use anyhow::{Result, bail, ensure};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a datagram in bytes, below the limit of about 64 KiB that UDP and
/// IP set.
pub const MAX_DATAGRAM: usize = 60 << 10;
/// Maximum size of a decoded message in bytes; bounds the memory that a compressed one
/// can take.
const MAX_MESSAGE: u64 = 512 << 10;
/// Size in bytes up to which a datagram fits into one network packet. Compressing a
/// message below it is not worth the time.
pub const MAX_UNFRAGMENTED: usize = 1_400;
/// First byte of a plain message. Builds with an earlier format begin messages with `{`
/// or 1.
const PLAIN: u8 = 2;
/// First byte of a deflated message.
const DEFLATED: u8 = 3;

/// Encodes a message.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let plain = postcard::to_extend(message, vec![PLAIN])?;
    if plain.len() < MAX_UNFRAGMENTED {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(&plain[1..])?;
    Ok(encoder.finish()?)
}

/// Encodes a message for a datagram.
pub fn pack_datagram<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let bytes = pack(message)?;
    ensure!(
        bytes.len() <= MAX_DATAGRAM,
        "message of {} bytes exceeds the datagram limit of {MAX_DATAGRAM}",
        bytes.len()
    );
    Ok(bytes)
}

/// Decodes a message of at most 512 KiB.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    unpack_limited(bytes, MAX_MESSAGE)
}

/// Decodes a message that takes at most `limit` bytes when it is not compressed.
pub fn unpack_limited<T: DeserializeOwned>(bytes: &[u8], limit: u64) -> Result<T> {
    match bytes {
        [PLAIN, plain @ ..] => decode(plain),
        [DEFLATED, deflated @ ..] => {
            let mut plain = Vec::new();
            DeflateDecoder::new(deflated).take(limit).read_to_end(&mut plain)?;
            decode(&plain)
        }
        [first, ..] => bail!("unknown message format {first}"),
        [] => bail!("empty message"),
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    ensure!(rest.is_empty(), "{} bytes follow the message", rest.len());
    Ok(message)
}
