//! Stable hashes for distributing requests and servers.

use std::hash::Hasher;

/// The 64-bit FNV offset basis.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The 64-bit FNV prime.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns a 64-bit hash of the parts that is identical on every instance.
///
/// The length of each part is hashed in native byte order, so all instances must run on
/// hosts of the same endianness.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Fnv(FNV_OFFSET_BASIS);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    mix(hasher.finish())
}

/// Maps a hash to a number in the range `0.0..1.0`.
pub fn hash_unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Sorts `names` by their rendezvous hash with `key`, highest first.
pub fn rendezvous<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let score = |name: &str| hash_parts(&[key.as_bytes(), name.as_bytes()]);
    let mut ranked: Vec<&str> = names.into_iter().collect();
    ranked.sort_by_cached_key(|name| std::cmp::Reverse((score(name), *name)));
    ranked
}

/// FNV-1a. Its output is fixed by its specification, unlike that of the standard
/// library's hasher.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Applies the MurmurHash3 finalizer, so that every input bit affects every output bit.
pub fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
