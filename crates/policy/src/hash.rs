//! Stable hashes for sharing out requests and servers.

use std::hash::Hasher;

/// A 64-bit hash of the parts that is the same on every instance.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    mix(hasher.finish())
}

/// The hash as a number from 0 to 1, 1 excluded.
pub fn hash_unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// The order of `names` for `key` by rendezvous hashing, highest first.
pub fn rendezvous<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let score = |name: &str| hash_parts(&[key.as_bytes(), name.as_bytes()]);
    let mut ranked: Vec<&str> = names.into_iter().collect();
    ranked.sort_by_cached_key(|name| std::cmp::Reverse((score(name), *name)));
    ranked
}

/// FNV-1a, whose value is fixed by its definition, unlike the standard hasher's.
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Spreads every bit over the whole word.
pub fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
