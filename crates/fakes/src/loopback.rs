//! Loopback addresses and connections of instances and servers that tests start.

use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The port of the socket by which a process reserves a network.
const MARKER_PORT: u16 = 7_099;

/// Returns a loopback address that no other instance of any test uses. A free port of a
/// shared address could be taken by another test before the instance listens on it.
pub fn unique_ip() -> IpAddr {
    static COUNTER: AtomicU16 = AtomicU16::new(1);
    static NETWORK: OnceLock<(u8, UdpSocket)> = OnceLock::new();
    let (network, _) = NETWORK.get_or_init(|| {
        let reserve = |network: u8| {
            let marker = Ipv4Addr::new(127, network, 255, 254);
            Some((network, UdpSocket::bind((marker, MARKER_PORT)).ok()?))
        };
        (20..=250).find_map(reserve).expect("a network that no other process uses")
    });
    let [high, low] = COUNTER.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, *network, high, low).into()
}

/// Accepts connections until `stop` is cancelled, and handles each in a task of its own.
pub(crate) fn accept_streams<H, F>(listener: TcpListener, stop: CancellationToken, handle: H)
where
    H: Fn(TcpStream) -> F + Send + 'static,
    F: Future<Output = std::io::Result<()>> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let (handling, stop) = (handle(stream), stop.clone());
            tokio::spawn(async move {
                tokio::select! {
                    // An error means that the other side closed the connection.
                    _ = handling => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
}
