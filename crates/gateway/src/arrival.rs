//! What a request asks for, read and checked at its arrival.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::Name;
use dispatch::{Account, Catalog, Mono, Route};
use error::{Kind, NotRunProof, Refusal};
use http::request::Parts;
use http::{HeaderName, HeaderValue};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use policy::hash_parts;

use crate::gateway::Gateway;
use crate::wire::{Dialect, Intake};

/// The patience of a caller that names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// A request with all that was decided about it at its arrival.
pub(crate) struct Job<D> {
    pub gateway: Rc<Gateway<D>>,
    pub route: Arc<Route>,
    pub service: Name,
    pub account: Option<Arc<Account>>,
    pub intake: Intake,
    pub head: Parts,
    pub body: Bytes,
    pub arrived: Mono,
    pub deadline: Mono,
    pub proof: NotRunProof,
    pub fingerprint: u64,
}

/// Reads the request and checks what the configuration says of it.
pub(crate) async fn admit<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    head: Parts,
    body: Incoming,
    arrived: Mono,
    id: &mut String,
) -> Result<Job<D>, Refusal> {
    let proof = NotRunProof::new();
    let refuse = |kind| Refusal::new(kind, &proof);
    let intake = gateway.dialect.intake(&head).map_err(refuse)?;
    *id = intake.id.clone();
    let catalog = gateway.catalog().ok_or_else(|| refuse(Kind::NotReady))?;
    if head_bytes(&head) > catalog.limits.header_bytes {
        return Err(refuse(Kind::HeadTooLarge));
    }
    let host = head.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = catalog.routes.find(host, head.uri.path()).cloned();
    let route = route.ok_or_else(|| refuse(Kind::UnknownRoute))?;
    let account = account(&catalog, &route, &intake).map_err(refuse)?;
    let patience = intake.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
    if gateway.refuses(patience) {
        return Err(refuse(Kind::Draining));
    }
    let reading = read(body, catalog.limits.body_bytes);
    let body = tokio::time::timeout(patience, reading).await.unwrap_or(Err(Kind::BodyCut));
    let body = body.map_err(refuse)?;
    let service = route.target(gateway.draw()).cloned();
    let service = service.ok_or_else(|| refuse(Kind::NoServer))?;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let caller = account.as_ref().map_or("", |account| &*account.name);
    let fingerprint = hash_parts(&[path.as_bytes(), caller.as_bytes(), &body]);
    gateway.budget.borrow_mut().record_request(&service, gateway.now());
    Ok(Job {
        gateway: gateway.clone(),
        route,
        service,
        account,
        intake,
        head,
        body,
        arrived,
        deadline: arrived + patience,
        proof,
        fingerprint,
    })
}

fn account(
    catalog: &Catalog,
    route: &Route,
    intake: &Intake,
) -> Result<Option<Arc<Account>>, Kind> {
    let found = intake.key.as_ref().and_then(|key| catalog.keys.get(key)).cloned();
    match found {
        Some(account) => Ok(Some(account)),
        None if route.public || !catalog.requires_key => Ok(None),
        None => Err(Kind::UnknownKey),
    }
}

/// The bytes of a request's line and headers.
fn head_bytes(head: &Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    // A colon, a space and a line end beside each name and value.
    let line = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 4;
    target + head.headers.iter().map(line).sum::<usize>()
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Kind> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Kind::BodyTooLarge),
        Err(_) => Err(Kind::BodyCut),
    }
}
