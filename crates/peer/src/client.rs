//! Connections to peers, kept open and dropped when they fail.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use config::Name;
use futures::AsyncReadExt;
use ledger::Bill;
use policy::{Digest, RequestId};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::codec;
use crate::peer_capnp::peer;
use crate::server::State;

/// Open connections by address.
#[derive(Clone, Default)]
pub struct Links {
    open: Rc<RefCell<HashMap<SocketAddr, Link>>>,
}

#[derive(Clone)]
struct Link {
    client: peer::Client,
    task: Rc<TaskGuard>,
}

/// Ends the connection's task when the last user is gone.
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Links {
    /// Gives a peer the digest and returns the peer's.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        digest: &Digest,
    ) -> Result<Digest, capnp::Error> {
        let link = self.link(addr).await?;
        let mut request = link.client.exchange_request();
        codec::write_digest(digest, request.get().init_digest());
        let reply = request.send().promise.await?;
        codec::read_digest(reply.get()?.get_digest()?)
    }

    /// Has a peer keep copies of bills; whether it does.
    pub async fn hold(
        &self,
        addr: SocketAddr,
        instance: &Name,
        incarnation: u64,
        bills: &[Bill],
    ) -> Result<bool, capnp::Error> {
        let link = self.link(addr).await?;
        let mut request = link.client.hold_request();
        let mut params = request.get();
        params.set_instance(&**instance);
        params.set_incarnation(incarnation);
        let mut list = params.init_bills(bills.len() as u32);
        for (i, bill) in bills.iter().enumerate() {
            codec::write_bill(bill, list.reborrow().get(i as u32));
        }
        let reply = request.send().promise.await?;
        Ok(reply.get()?.get_held())
    }

    /// Has a peer drop copies of bills.
    pub async fn release(
        &self,
        addr: SocketAddr,
        instance: &Name,
        incarnation: u64,
        ids: &[RequestId],
    ) -> Result<(), capnp::Error> {
        let link = self.link(addr).await?;
        let mut request = link.client.release_request();
        let mut params = request.get();
        params.set_instance(&**instance);
        params.set_incarnation(incarnation);
        let mut list = params.init_ids(ids.len() as u32);
        for (i, id) in ids.iter().enumerate() {
            codec::write_id(*id, list.reborrow().get(i as u32));
        }
        request.send().promise.await?;
        Ok(())
    }

    /// Reads a peer's configuration and servers.
    pub async fn state(&self, addr: SocketAddr) -> Result<State, capnp::Error> {
        let link = self.link(addr).await?;
        let reply = link.client.state_request().send().promise.await?;
        let reply = reply.get()?;
        let mut state = State { number: reply.get_number(), ..State::default() };
        for piece in reply.get_pieces()? {
            state.pieces.push(piece?.to_string()?);
        }
        for server in reply.get_servers()? {
            state.servers.push(server?.to_string()?);
        }
        Ok(state)
    }

    /// Drops the connection to a peer after a failure.
    pub fn drop_link(&self, addr: SocketAddr) {
        self.open.borrow_mut().remove(&addr);
    }

    async fn link(&self, addr: SocketAddr) -> Result<Link, capnp::Error> {
        let known = self.open.borrow().get(&addr).cloned();
        match known {
            Some(link) if !link.task.0.is_finished() => Ok(link),
            _ => self.connect(addr).await,
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Link, capnp::Error> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.compat().split();
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            Side::Client,
            capnp::message::ReaderOptions::new(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(async move {
            // A broken connection fails the calls on it.
            let _ = system.await;
        });
        let task = Rc::new(TaskGuard(task.abort_handle()));
        let link = Link { client, task };
        self.open.borrow_mut().insert(addr, link.clone());
        Ok(link)
    }
}
