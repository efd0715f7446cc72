//! Tables that instances fetch from each other over TCP.
//!
//! A starting instance loads its tables this way, and one that missed an update fetches
//! what changed. Only where no other instance has it, the store is read.

use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow, ensure};
use bytes::Bytes;
use conn::Pool;
use dispatch::MonotonicTime;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::body::ResponseBody;
use crate::era_support::{ERAS, WithoutEras, in_era_of, supports_eras};
use crate::gateway::Gateway;
use crate::handover::take_over;
use crate::packed::{pack, unpack, unpack_limited};
use crate::peers::Peers;
use crate::revision::era;
use crate::table::TableDelta;
use crate::wire::Dialect;

/// Path of the state that a starting instance needs.
const STATE_PATH: &str = "/state";
/// Path prefix of the tables.
const TABLES_PATH: &str = "/tables/";
/// Maximum time for a fetch; the next source is asked afterwards.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a fetched table in bytes, compressed and not.
const MAX_TABLE_BYTES: usize = 32 << 20;
/// How long a connection between instances may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of instances asked for a table.
const MAX_SOURCES: usize = 4;

/// The last packed answer and what it contains: many instances ask for the same changes
/// at the same time.
type PackedAnswer = Option<((String, u64, u64, bool, bool), Bytes)>;

/// Serves other instances at the peer address until the process ends: the tables, the state
/// of rollouts, and requests that they hand over.
pub(crate) async fn serve_peers<D: Dialect>(
    peers: Rc<Peers>,
    gateway: Rc<Gateway<D>>,
) -> Result<()> {
    let addr = peers.own_addr();
    let listener = TcpListener::bind(addr).await;
    let listener = listener.with_context(|| format!("failed to listen for peers on {addr}"))?;
    let last_answer: Rc<RefCell<PackedAnswer>> = Rc::default();
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let (peers, gateway) = (peers.clone(), gateway.clone());
            let last_answer = last_answer.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let (peers, gateway) = (peers.clone(), gateway.clone());
                    let last_answer = last_answer.clone();
                    async move {
                        Ok::<_, Infallible>(match take_over(gateway.clone(), request).await {
                            Ok(response) => response,
                            Err(request) => respond(&peers, &gateway, &last_answer, &request),
                        })
                    }
                });
                let serving = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .auto_date_header(false)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    log::debug!("peer connection closed with an error: {error}");
                }
            });
        }
    });
    Ok(())
}

fn respond<D>(
    peers: &Peers,
    gateway: &Gateway<D>,
    last_answer: &RefCell<PackedAnswer>,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let (path, query) = (request.uri().path(), request.uri().query());
    let eras = supports_eras(request.headers());
    let body = match path.strip_prefix(TABLES_PATH) {
        Some(table) => query
            .and_then(parse_since)
            .and_then(|since| packed_table(peers, last_answer, table, since, eras)),
        None if path == STATE_PATH && gateway.rollout_states_known() => {
            let mut digest = peers.installation_digest(gateway);
            digest.sessions = gateway.shared_sessions();
            let digest = if eras { digest } else { digest.without_eras() };
            pack(&digest).ok().map(Bytes::from)
        }
        None => None,
    };
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    response.headers_mut().insert(ERAS, HeaderValue::from_static("1"));
    match body {
        Some(body) => *response.body_mut() = ResponseBody::full(body),
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

fn parse_since(query: &str) -> Option<u64> {
    query.strip_prefix("since=")?.parse().ok()
}

/// Returns what an instance misses of a table; `eras` if its request says that it knows them.
fn packed_table(
    peers: &Peers,
    last_answer: &RefCell<PackedAnswer>,
    table: &str,
    since: u64,
    eras: bool,
) -> Option<Bytes> {
    let tables = peers.tables.borrow();
    let copy = tables.get(table).filter(|copy| copy.is_loaded())?;
    let unsettled = peers.is_unsettled(table);
    let eras = eras || era(since) > 0;
    let content = (table.to_owned(), since, copy.known.revision, unsettled, eras);
    if let Some((packed, bytes)) = &*last_answer.borrow()
        && *packed == content
    {
        return Some(bytes.clone());
    }
    let delta = match eras {
        true => copy.since(since, unsettled),
        false => copy.since(in_era_of(copy.known, since), unsettled).without_eras(),
    };
    match pack(&delta) {
        Ok(bytes) => {
            let bytes = Bytes::from(bytes);
            *last_answer.borrow_mut() = Some((content, bytes.clone()));
            Some(bytes)
        }
        Err(error) => {
            log::warn!("cannot encode table {table}: {error}");
            None
        }
    }
}

impl Peers {
    /// Fetches the state of rollouts from an instance that knows it and applies it;
    /// returns whether it found one.
    pub(crate) async fn fetch_state<D>(&self, gateway: &Gateway<D>) -> bool {
        let sources = self.sources(None, gateway.now());
        for addr in sources.into_iter().take(MAX_SOURCES) {
            let fetching = fetch_from(&gateway.pool, addr, STATE_PATH);
            match tokio::time::timeout(FETCH_TIMEOUT, fetching).await {
                Ok(Ok((_, body))) => match unpack(&body) {
                    Ok(digest) => {
                        gateway.apply_digest(digest, addr);
                        return true;
                    }
                    Err(error) => log::debug!("cannot read the state of {addr}: {error:#}"),
                },
                Ok(Err(error)) => log::debug!("cannot fetch the state of {addr}: {error:#}"),
                Err(_) => log::debug!("timeout while fetching the state of {addr}"),
            }
        }
        false
    }

    /// Fetches what changed in a table after revision `since` from an instance that
    /// knows more, first from `source` if this is a hub.
    pub(crate) async fn fetch(
        &self,
        pool: &Pool,
        table: &str,
        since: u64,
        source: Option<SocketAddr>,
        now: MonotonicTime,
    ) -> Option<TableDelta> {
        for addr in self.sources(source, now).into_iter().take(MAX_SOURCES) {
            let fetching = fetch_table(pool, addr, table, since);
            match tokio::time::timeout(FETCH_TIMEOUT, fetching).await {
                Ok(Ok((_, delta))) if delta.known.revision > since => return Some(delta),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => log::debug!("cannot fetch table {table} from {addr}: {error:#}"),
                Err(_) => log::debug!("timeout while fetching table {table} from {addr}"),
            }
        }
        None
    }

    /// Returns the instances to ask, in order, each once.
    fn sources(&self, source: Option<SocketAddr>, now: MonotonicTime) -> Vec<SocketAddr> {
        let membership = self.membership();
        let near = membership.parent(now).into_iter().chain(membership.uplinks(now));
        let far = membership.foreign_hubs(now);
        let mut candidates: Vec<SocketAddr> = match membership.is_hub(now) {
            true => source.into_iter().chain(far).chain(near).collect(),
            false => near.chain(source).chain(far).collect(),
        };
        let mut seen = HashSet::from([self.own_addr()]);
        candidates.retain(|candidate| seen.insert(*candidate));
        candidates
    }
}

/// Fetches the rows of a table that changed after a revision, with the headers of the answer.
pub(crate) async fn fetch_table(
    pool: &Pool,
    addr: SocketAddr,
    table: &str,
    since: u64,
) -> Result<(HeaderMap, TableDelta)> {
    let path = format!("{TABLES_PATH}{table}?since={since}");
    let (headers, body) = fetch_from(pool, addr, &path).await?;
    Ok((headers, unpack_limited(&body, MAX_TABLE_BYTES as u64)?))
}

async fn fetch_from(pool: &Pool, addr: SocketAddr, path: &str) -> Result<(HeaderMap, Bytes)> {
    let lease = pool.lease(addr).await?;
    let request = Request::get(path)
        .header(http::header::HOST, addr.to_string())
        .header(ERAS, "1")
        .body(Full::default())?;
    let response = lease.send(request).await.map_err(|error| anyhow!("{error:?}"))?;
    let (status, headers) = (response.head.status, response.head.headers.clone());
    let body = response.collect(MAX_TABLE_BYTES).await?.context("answer is too long")?;
    ensure!(status == StatusCode::OK, "answered with status {status}");
    Ok((headers, body))
}
