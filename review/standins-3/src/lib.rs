//! Stand-ins for the cases of the review: the platform's store, backend servers and clients,
//! and a harness that starts the real program as separate processes.

#![recursion_limit = "256"]

pub mod backend;
pub mod http;
pub mod node;
pub mod record;
pub mod store;

use std::net::{IpAddr, Ipv4Addr, TcpListener};

/// Returns a loopback address for one case, by the id of its process.
pub fn loopback() -> IpAddr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid >> 14) as u8 % 128, (pid >> 7) as u8 % 128, 1 + pid as u8 % 128)
        .into()
}

/// Returns a port that was free a moment ago on the address of the case.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind((loopback(), 0)).expect("no free port");
    listener.local_addr().expect("no local address").port()
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
