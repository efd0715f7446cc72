//! Pictures that the tests begin with.

#![allow(dead_code, reason = "each test file uses its part")]

use std::time::Duration;

use dispatch::{Part, ServerInfo};

/// A moment, in milliseconds since the start.
pub fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A server of the service `desk` with eight slots.
pub fn info(id: &str, domain: &str, version: &str) -> ServerInfo {
    ServerInfo {
        id: id.into(),
        service: "desk".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: domain.into(),
        version: version.into(),
        slots: 8,
        leaving: false,
        born: 1,
    }
}

/// The parts of a prompt, as id and tokens.
pub fn parts(parts: &[(u64, u32)]) -> Vec<Part> {
    parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens }).collect()
}
