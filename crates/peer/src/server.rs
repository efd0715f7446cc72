//! The listener for peers.

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

/// Words that a reader may visit in one message: 8 MiB.
const MESSAGE_WORDS: usize = 1 << 20;
/// Connections of peers that are open at a time.
const CONNECTIONS: usize = 1_024;
/// Bills or ids in one message.
const LIST_LIMIT: u32 = 4_096;

/// What answers the peers' calls.
pub trait Answer: Send + Sync + 'static {
    /// Takes a peer's digest and gives the own one.
    fn exchange(&self, digest: Digest) -> Digest;

    /// Keeps copies of bills; false if there is no room.
    fn hold(&self, instance: Name, incarnation: u64, bills: Vec<Bill>) -> bool;

    /// Drops copies of bills.
    fn release(&self, instance: Name, incarnation: u64, ids: Vec<RequestId>);

    /// The configuration and the servers that the instance works from.
    fn state(&self) -> State;
}

/// What a new instance takes over from a peer when the platform is out.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// The number of the configuration; 0 if there is none.
    pub number: u64,
    /// The pieces of the configuration, as JSON.
    pub pieces: Vec<String>,
    /// The backend servers, as JSON.
    pub servers: Vec<String>,
}

struct Server<A> {
    answer: Arc<A>,
}

impl<A: Answer> peer::Server for Server<A> {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let digest = codec::read_digest(params.get()?.get_digest()?)?;
        let own = self.answer.exchange(digest);
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
        bounded(list.len())?;
        let bills: Result<Vec<Bill>, _> = list.iter().map(codec::read_bill).collect();
        let instance = codec::name(params.get_instance()?)?;
        let held = self.answer.hold(instance, params.get_incarnation(), bills?);
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
        bounded(list.len())?;
        let ids = list.iter().map(codec::read_id).collect();
        let instance = codec::name(params.get_instance()?)?;
        self.answer.release(instance, params.get_incarnation(), ids);
        Ok(())
    }

    async fn state(
        self: Rc<Self>,
        _: peer::StateParams,
        mut results: peer::StateResults,
    ) -> Result<(), capnp::Error> {
        let state = self.answer.state();
        let mut to = results.get();
        to.set_number(state.number);
        let mut list = to.reborrow().init_pieces(state.pieces.len() as u32);
        for (i, piece) in state.pieces.iter().enumerate() {
            list.set(i as u32, piece);
        }
        let mut list = to.init_servers(state.servers.len() as u32);
        for (i, server) in state.servers.iter().enumerate() {
            list.set(i as u32, server);
        }
        Ok(())
    }
}

fn bounded(len: u32) -> Result<(), capnp::Error> {
    match len <= LIST_LIMIT {
        true => Ok(()),
        false => Err(capnp::Error::failed("the list is too long".to_owned())),
    }
}

/// Serves peers until `stop` is cancelled.
pub async fn serve<A: Answer>(listener: TcpListener, answer: Arc<A>, stop: CancellationToken) {
    let client: peer::Client = capnp_rpc::new_client(Server { answer });
    let permits = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let system = connection(stream, client.clone());
        let stop = stop.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                // A peer that breaks the protocol loses its connection and nothing else.
                _ = system => {}
                () = stop.cancelled() => {}
            }
            drop(permit);
        });
    }
}

fn connection(stream: TcpStream, client: peer::Client) -> RpcSystem<Side> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS));
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Server,
        options,
    );
    RpcSystem::new(Box::new(network), Some(client.client))
}
