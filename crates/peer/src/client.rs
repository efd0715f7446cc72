//! Persistent connections to peers, and the calls made over them.

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
use crate::server::PeerState;

/// A pool of connections to peers, by address. Clones share the pool.
#[derive(Clone, Default)]
pub struct Connections {
    open: Rc<RefCell<HashMap<SocketAddr, Connection>>>,
}

#[derive(Clone)]
struct Connection {
    client: peer::Client,
    /// The task that drives the connection; aborted when the last clone is dropped.
    task: Rc<TaskGuard>,
}

/// Aborts a task when dropped.
struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connections {
    /// Sends the digest to a peer and returns the peer's digest.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        digest: &Digest,
    ) -> Result<Digest, capnp::Error> {
        let connection = self.connection(addr).await?;
        let mut request = connection.client.exchange_request();
        codec::write_digest(digest, request.get().init_digest());
        let reply = request.send().promise.await?;
        codec::read_digest(reply.get()?.get_digest()?)
    }

    /// Asks a peer to store copies of this instance's bills. Returns whether it did.
    pub async fn hold(
        &self,
        addr: SocketAddr,
        instance: &Name,
        incarnation: u64,
        bills: &[Bill],
    ) -> Result<bool, capnp::Error> {
        let connection = self.connection(addr).await?;
        let mut request = connection.client.hold_request();
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

    /// Asks a peer to remove copies of this instance's bills.
    pub async fn release(
        &self,
        addr: SocketAddr,
        instance: &Name,
        incarnation: u64,
        ids: &[RequestId],
    ) -> Result<(), capnp::Error> {
        let connection = self.connection(addr).await?;
        let mut request = connection.client.release_request();
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

    /// Requests a peer's configuration and the backend servers that it knows.
    pub async fn state(&self, addr: SocketAddr) -> Result<PeerState, capnp::Error> {
        let connection = self.connection(addr).await?;
        let reply = connection.client.state_request().send().promise.await?;
        let reply = reply.get()?;
        let mut state = PeerState { number: reply.get_number(), ..PeerState::default() };
        for piece in reply.get_pieces()? {
            state.pieces.push(piece?.to_string()?);
        }
        for server in reply.get_servers()? {
            state.servers.push(server?.to_string()?);
        }
        Ok(state)
    }

    /// Removes the connection to a peer from the pool, so that the next call opens a new one.
    pub fn disconnect(&self, addr: SocketAddr) {
        self.open.borrow_mut().remove(&addr);
    }

    /// Returns an open connection to a peer, or opens a new one.
    async fn connection(&self, addr: SocketAddr) -> Result<Connection, capnp::Error> {
        let existing = self.open.borrow().get(&addr).cloned();
        match existing {
            Some(connection) if !connection.task.0.is_finished() => Ok(connection),
            _ => self.connect(addr).await,
        }
    }

    /// Opens a connection to a peer, and adds it to the pool.
    async fn connect(&self, addr: SocketAddr) -> Result<Connection, capnp::Error> {
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
            // If the connection fails, the calls made on it return the error.
            let _ = system.await;
        });
        let task = Rc::new(TaskGuard(task.abort_handle()));
        let connection = Connection { client, task };
        self.open.borrow_mut().insert(addr, connection.clone());
        Ok(connection)
    }
}
