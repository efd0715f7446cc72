//! The server that accepts connections and calls from peers.

use std::rc::Rc;
use std::sync::Arc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use config::Name;
use futures::AsyncReadExt;
use ledger::Bill;
use policy::{Digest, RequestId};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync::CancellationToken;

use crate::codec;
use crate::peer_capnp::peer;

/// The maximum number of 8-byte words that may be traversed in one message; equals 8 MiB.
const MAX_MESSAGE_WORDS: usize = 1 << 20;
/// The maximum number of concurrent connections from peers.
const MAX_CONNECTIONS: usize = 1_024;
/// The maximum number of bills or ids in one message.
const MAX_LIST_LENGTH: u32 = 4_096;

/// Handles calls from peers.
pub trait RequestHandler: Send + Sync + 'static {
    /// Merges a peer's digest and returns this instance's digest.
    fn exchange(&self, digest: Digest) -> Digest;

    /// Stores copies of a peer's bills. Returns false if there is no room for them.
    fn hold(&self, instance: Name, incarnation: u64, bills: Vec<Bill>) -> bool;

    /// Removes copies of bills that the peer has released.
    fn release(&self, instance: Name, incarnation: u64, ids: Vec<RequestId>);

    /// Returns this instance's active configuration, and the backend servers that it knows.
    fn state(&self) -> PeerState;
}

/// The state that an instance adopts from a peer while the platform is unavailable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerState {
    /// The configuration number; 0 if there is no configuration.
    pub number: u64,
    /// The configuration pieces, serialized as JSON.
    pub pieces: Vec<String>,
    /// The backend servers, serialized as JSON.
    pub servers: Vec<String>,
}

/// Decodes calls and passes them to the handler.
struct Server<H> {
    handler: Arc<H>,
}

impl<H: RequestHandler> peer::Server for Server<H> {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let digest = codec::read_digest(params.get()?.get_digest()?)?;
        let own = self.handler.exchange(digest);
        codec::write_digest(&own, results.get().init_digest());
        Ok(())
    }

    async fn hold(
        self: Rc<Self>,
        params: peer::HoldParams,
        mut results: peer::HoldResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let list = params.get_bills()?;
        check_list_length(list.len())?;
        let bills: Result<Vec<Bill>, _> = list.iter().map(codec::read_bill).collect();
        let instance = codec::read_name(params.get_instance()?)?;
        let held = self.handler.hold(instance, params.get_incarnation(), bills?);
        results.get().set_held(held);
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _: peer::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let list = params.get_ids()?;
        check_list_length(list.len())?;
        let ids = list.iter().map(codec::read_id).collect();
        let instance = codec::read_name(params.get_instance()?)?;
        self.handler.release(instance, params.get_incarnation(), ids);
        Ok(())
    }

    async fn state(
        self: Rc<Self>,
        _: peer::StateParams,
        mut results: peer::StateResults,
    ) -> Result<(), capnp::Error> {
        let state = self.handler.state();
        let mut response = results.get();
        response.set_number(state.number);
        let mut list = response.reborrow().init_pieces(state.pieces.len() as u32);
        for (i, piece) in state.pieces.iter().enumerate() {
            list.set(i as u32, piece);
        }
        let mut list = response.init_servers(state.servers.len() as u32);
        for (i, server) in state.servers.iter().enumerate() {
            list.set(i as u32, server);
        }
        Ok(())
    }
}

fn check_list_length(len: u32) -> Result<(), capnp::Error> {
    match len <= MAX_LIST_LENGTH {
        true => Ok(()),
        false => Err(capnp::Error::failed("the list is too long".to_owned())),
    }
}

/// Accepts connections from peers and serves them until `stop` is cancelled.
///
/// Connections beyond the limit are closed immediately.
pub async fn serve<H: RequestHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    let client: peer::Client = capnp_rpc::new_client(Server { handler });
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting is retried, as errors such as a lack of file descriptors are temporary.
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let system = new_rpc_system(stream, client.clone());
        let stop = stop.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                // A protocol error closes this connection only.
                _ = system => {}
                () = stop.cancelled() => {}
            }
            drop(permit);
        });
    }
}

/// Creates the RPC system of an accepted connection.
fn new_rpc_system(stream: TcpStream, client: peer::Client) -> RpcSystem<Side> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Server,
        options,
    );
    RpcSystem::new(Box::new(network), Some(client.client))
}
