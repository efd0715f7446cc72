//! Validation of a request when it arrives.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::Name;
use conn::{Held, body_length};
use dispatch::{Account, Catalog, MonotonicTime, Route};
use error::{Kind, NotRunProof, Refusal};
use http::request::Parts;
use http::{HeaderName, HeaderValue};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use policy::hash_parts;

use crate::gateway::Gateway;
use crate::handover::Handover;
use crate::wire::{Dialect, RequestInfo};

/// The timeout of requests that specify none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A validated request, with the route, service and account that it was resolved to.
pub(crate) struct Exchange<D> {
    pub gateway: Rc<Gateway<D>>,
    /// The version of the configuration that the request was resolved by.
    pub config: u64,
    pub route: Arc<Route>,
    pub service: Name,
    pub account: Option<Arc<Account>>,
    pub request: RequestInfo,
    pub head: Parts,
    pub body: Bytes,
    pub arrived: MonotonicTime,
    pub deadline: MonotonicTime,
    /// Tracks whether the request may have been written to a server.
    pub proof: NotRunProof,
    /// A hash of the path, client account and body that identifies requests that crash servers.
    pub fingerprint: u64,
    /// What the instance that handed the request over says about it.
    pub handover: Option<Handover>,
    /// Whether the request counts in the retry budget here.
    pub is_counted: Cell<bool>,
}

/// Reads the request and validates it against the configuration.
///
/// Sets `id` as soon as it is known, so that refusals can carry it.
pub(crate) async fn admit<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    head: Parts,
    body: Incoming,
    arrived: MonotonicTime,
    handover: Option<Handover>,
    id: &mut String,
) -> Result<Exchange<D>, Refusal> {
    let proof = NotRunProof::new();
    let refuse = |kind| Refusal::new(kind, &proof);
    let mut request = gateway.dialect.read_request(&head).map_err(refuse)?;
    *id = request.id.clone();
    let catalog = gateway.catalog().ok_or_else(|| refuse(Kind::NotReady))?;
    if let Some(handover) = &handover {
        // Only the caller's instance knows the configuration that the request must be handled by.
        if catalog.version < handover.config {
            return Err(refuse(Kind::NotReady));
        }
        if gateway.is_helping_enough() {
            return Err(refuse(Kind::HelperBusy));
        }
    }
    if head_bytes(&head) > catalog.limits.header_bytes {
        return Err(refuse(Kind::HeadTooLarge));
    }
    let host = head.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = catalog.routes.find(host, head.uri.path()).cloned();
    let route = route.ok_or_else(|| refuse(Kind::UnknownRoute))?;
    let account = find_account(&catalog, &route, &request).map_err(refuse)?;
    if let Some(handover) = &handover {
        request.timeout = Some(handover.remaining);
        request.resume_after = handover.resume_after;
    }
    let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived + timeout;
    if gateway.refuses_while_draining(deadline) {
        return Err(refuse(Kind::Draining));
    }
    let held = gateway.pool.memory().hold();
    let has_waited = Cell::new(false);
    let reading = read_body(body, catalog.limits.body_bytes, held, &has_waited);
    let body = tokio::time::timeout(timeout, reading).await;
    // Had it been read all the time, it might be complete.
    let late = if has_waited.get() { Kind::QueueExpired } else { Kind::BodyCut };
    let body = body.unwrap_or(Err(late)).map_err(refuse)?;
    if gateway.refuses_while_draining(deadline) {
        return Err(refuse(Kind::Draining));
    }
    let service = route.target(gateway.random()).cloned();
    let service = service.ok_or_else(|| refuse(Kind::NoServer))?;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let caller = account.as_ref().map_or("", |account| &*account.name);
    let fingerprint = hash_parts(&[path.as_bytes(), caller.as_bytes(), &body]);
    // A request that was handed over counts once it is sent.
    if handover.is_none() {
        gateway.budget.borrow_mut().record_request(&service, gateway.now());
    }
    Ok(Exchange {
        gateway: gateway.clone(),
        config: catalog.version,
        route,
        service,
        account,
        request,
        head,
        body,
        arrived,
        deadline,
        proof,
        fingerprint,
        is_counted: Cell::new(handover.is_none()),
        handover,
    })
}

fn find_account(
    catalog: &Catalog,
    route: &Route,
    request: &RequestInfo,
) -> Result<Option<Arc<Account>>, Kind> {
    let found = request.key.as_ref().and_then(|key| catalog.keys.get(key)).cloned();
    match found {
        Some(account) => Ok(Some(account)),
        None if route.public || !catalog.requires_key => Ok(None),
        None => Err(Kind::UnknownKey),
    }
}

/// The approximate size of the request target and the headers in bytes.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    // The colon, the space and the line ending take 4 bytes.
    let line = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 4;
    target + head.headers.iter().map(line).sum::<usize>()
}

/// Reads the body of a caller; waits for memory, and sets `has_waited` when it does.
async fn read_body(
    body: Incoming,
    limit: usize,
    mut held: Held,
    has_waited: &Cell<bool>,
) -> Result<Bytes, Kind> {
    let length = body_length(&body, limit);
    let mut limited = Limited::new(body, limit);
    let mut bytes = Vec::new();
    while let Some(frame) = limited.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    let mut appending = pin!(held.append(&mut bytes, &data, length));
                    tokio::select! {
                        biased;
                        () = &mut appending => {}
                        () = std::future::ready(()) => {
                            has_waited.set(true);
                            appending.await;
                        }
                    }
                }
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(Kind::BodyTooLarge);
            }
            Err(_) => return Err(Kind::BodyCut),
        }
    }
    Ok(held.keep_with(bytes.into()))
}
