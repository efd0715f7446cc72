//! Tests of the callers' interface: three instances with the example routes, on
//! fakes of the platform and the backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use config::PieceKey;
use entry::{Entry, SettingsBuilder};
use fakes::{DOMAINS, Deployment};
use http_body_util::Full;
use publish::{Publication, wait_until_active};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

const CHAT: &str = "/v1/chat/completions";
const BOOKING: &str = "/services/booking/bookings";
const VISIT: &str = r#"{"visit":"8 July","blades":12}"#;

/// Time in which a configuration must be in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(5);

struct TestCluster {
    deployment: Deployment,
    entries: Vec<Entry>,
    _stop: tokio_util::sync::DropGuard,
}

struct Reply {
    status: u16,
    headers: http::HeaderMap,
    body: String,
}

impl TestCluster {
    async fn start() -> TestCluster {
        let stop = CancellationToken::new();
        let deployment = Deployment::start(Duration::from_millis(1), stop.clone()).await.unwrap();
        let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
        let collected = publish::collect(std::slice::from_ref(&examples));
        let collected =
            collected.unwrap_or_else(|diagnostics| panic!("invalid routes: {diagnostics:?}"));
        let publication = Publication {
            operator: "test".into(),
            id: "test-1".into(),
            pieces: collected.pieces,
            removed: Vec::new(),
            base: None,
            renew: Vec::new(),
        };
        let platform = deployment.platform.addr();
        publish::publish(&store::HttpPlatform::new(platform), &publication).await.unwrap();
        let mut entries = Vec::new();
        for (number, domain) in DOMAINS.iter().enumerate() {
            let id = format!("entry-{number}");
            let settings = settings(&id, domain, platform).build();
            let entry = Entry::start(settings).unwrap();
            deployment.list_entry(&id, entry.peers(), domain);
            entries.push(entry);
        }
        let cluster = TestCluster { deployment, entries, _stop: stop.drop_guard() };
        for entry in &cluster.entries {
            wait_until_ready(entry.callers()).await;
        }
        cluster
    }

    async fn send(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        send(self.entries[index].callers(), method, path, key, headers, body).await
    }

    async fn chat(&self, index: usize, key: &str, body: &str) -> Reply {
        self.send(index, "POST", CHAT, key, &[], body).await
    }

    async fn book(&self, index: usize, idempotency_key: &str, body: &str) -> Reply {
        let headers = [("idempotency-key", idempotency_key)];
        self.send(index, "POST", BOOKING, "key-bento", &headers, body).await
    }

    fn bookings_run(&self) -> usize {
        let requests = self.deployment.request_log.requests();
        requests.iter().filter(|request| request.server.starts_with("booking")).count()
    }
}

async fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let mut request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json");
    if !key.is_empty() {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let lease = conn::Pool::new().open(addr).await.unwrap();
    let answer = lease.send(request).await.unwrap();
    let (status, headers) = (answer.head.status.as_u16(), answer.head.headers.clone());
    let body = answer.collect(1 << 20).await.unwrap().unwrap();
    Reply { status, headers, body: String::from_utf8_lossy(&body).into_owned() }
}

async fn wait_until_ready(addr: SocketAddr) {
    while send(addr, "GET", "/ready", "", &[], "").await.status != 200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Settings of an instance that listens on any free ports.
fn settings(id: &str, domain: &str, platform: SocketAddr) -> SettingsBuilder {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    SettingsBuilder::new(id.into(), domain.into(), platform, "a-token-for-the-tests".to_owned())
        .listen(any, any, any)
        .drain(Duration::from_secs(5))
}

fn chat_body(model: &str, stream: bool) -> String {
    format!(
        r#"{{"model":"{model}","stream":{stream},"max_tokens":4,"messages":[{{"role":"user","content":"a dull knife"}}]}}"#
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_is_answered_at_every_instance() {
    let cluster = TestCluster::start().await;
    for index in 0..3 {
        let reply = cluster.chat(index, "key-bento", &chat_body("tag", false)).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert!(reply.body.contains("\"finish_reason\":\"stop\""), "{}", reply.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_stream_ends_with_its_marker() {
    let cluster = TestCluster::start().await;
    let reply = cluster.chat(0, "key-bento", &chat_body("tag", true)).await;
    assert_eq!(reply.status, 200);
    assert!(reply.body.trim_end().ends_with("data: [DONE]"), "{}", reply.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_unknown_key_is_401() {
    let cluster = TestCluster::start().await;
    assert_eq!(cluster.chat(0, "key-nobody", &chat_body("tag", false)).await.status, 401);
    assert!(cluster.deployment.request_log.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_unknown_model_is_404() {
    let cluster = TestCluster::start().await;
    assert_eq!(cluster.chat(0, "key-bento", &chat_body("nothing", false)).await.status, 404);
    assert!(cluster.deployment.request_log.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_malformed_bodies_are_400() {
    let cluster = TestCluster::start().await;
    for body in ["", "{", "[]", "{\"model\":7}", "\u{0}"] {
        let reply = cluster.chat(0, "key-bento", body).await;
        assert_eq!(reply.status, 400, "{body:?}: {}", reply.body);
        assert!(reply.body.contains("\"not_run\":true"), "{}", reply.body);
    }
    assert!(cluster.deployment.request_log.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_repeated_at_another_instance_runs_once() {
    let cluster = TestCluster::start().await;
    let first = cluster.book(0, "visit-1", VISIT).await;
    let second = cluster.book(1, "visit-1", VISIT).await;
    assert_eq!((first.status, second.status), (201, 201), "{}", second.body);
    assert_eq!(first.body, second.body);
    assert!(second.headers.contains_key("x-replayed"));
    assert_eq!(cluster.bookings_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_key_with_another_body_is_422() {
    let cluster = TestCluster::start().await;
    assert_eq!(cluster.book(0, "visit-1", VISIT).await.status, 201);
    assert_eq!(cluster.book(1, "visit-1", r#"{"visit":"9 July"}"#).await.status, 422);
    assert_eq!(cluster.bookings_run(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_without_key_is_400() {
    let cluster = TestCluster::start().await;
    let reply = cluster.send(0, "POST", BOOKING, "key-bento", &[], VISIT).await;
    assert_eq!(reply.status, 400);
    assert_eq!(cluster.bookings_run(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_with_store_out_is_503_and_has_not_run() {
    let cluster = TestCluster::start().await;
    cluster.deployment.platform.set_faults(|faults| faults.unavailable = true);
    let reply = cluster.book(0, "visit-1", VISIT).await;
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(reply.body.contains("\"not_run\":true"), "{}", reply.body);
    assert_eq!(cluster.bookings_run(), 0);
}

/// The instance has a runtime of its own, which ends as its process does: with it, whatever
/// was not sent is lost.
#[tokio::test(flavor = "multi_thread")]
async fn booking_open_at_a_shutdown_is_answered_before_the_end() {
    let cluster = TestCluster::start().await;
    for (_, service) in &cluster.deployment.services {
        service.set_faults(|faults| faults.hang = true);
    }
    let platform = cluster.deployment.platform.addr();
    let settings = settings("entry-3", DOMAINS[0], platform).drain(Duration::from_secs(2));
    let (started, ready) = oneshot::channel();
    let stop = CancellationToken::new();
    let stopped = stop.clone();
    let process = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let entry = Entry::start(settings.build()).unwrap();
            started.send(entry.callers()).unwrap();
            stopped.cancelled().await;
            entry.drain().await
        })
    });
    let addr = ready.await.unwrap();
    wait_until_ready(addr).await;
    let asking = tokio::spawn(async move {
        let headers = [("idempotency-key", "visit-1")];
        send(addr, "POST", BOOKING, "key-bento", &headers, VISIT).await
    });
    while cluster.bookings_run() == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stop.cancel();
    assert!(process.await.unwrap(), "the shutdown did not end in time");
    let reply = asking.await.expect("no answer when the process ends");
    assert_eq!(reply.status, 504, "{}", reply.body);
    assert!(reply.body.contains("\"not_run\":false"), "{}", reply.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed_for_the_account() {
    let cluster = TestCluster::start().await;
    let reply = cluster.send(0, "GET", "/v1/models", "key-bento", &[], "").await;
    assert_eq!(reply.status, 200);
    assert!(reply.body.contains("\"tag\""), "{}", reply.body);
}

/// Other writers have left odd rows and entries; they cost nothing but themselves.
#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_cost_only_themselves() {
    let cluster = TestCluster::start().await;
    let platform = &cluster.deployment.platform;
    platform.add_unreadable(fakes::unreadable_entries());
    for (name, value) in fakes::odd_values() {
        let value = serde_json::from_slice(&value).unwrap_or_else(|_| "odd".into());
        for prefix in ["halt/", "bill/", "claim/", "ack/"] {
            platform.put(&format!("{prefix}odd-{name}"), serde_json::Value::clone(&value));
        }
    }
    // Instances follow the configuration.
    let client = store::HttpPlatform::new(platform.addr());
    let removal = Publication {
        operator: "test".into(),
        id: "test-2".into(),
        pieces: BTreeMap::new(),
        removed: vec![PieceKey::Route("tag".into())],
        base: None,
        renew: Vec::new(),
    };
    let published = publish::publish(&client, &removal).await.unwrap();
    let state = wait_until_active(&client, published.number, CONFIG_BOUND, |_| {}).await;
    assert_eq!(state.acknowledged.len(), 3, "{state:?}");
    assert!(state.is_complete(), "{state:?}");
    for index in 0..3 {
        let reply = cluster.chat(index, "key-bento", &chat_body("tag", false)).await;
        assert_eq!(reply.status, 404, "{}", reply.body);
        assert_eq!(cluster.book(index, &format!("visit-{index}"), VISIT).await.status, 201);
    }
    // They follow the list too.
    let list = store::InstanceList::list(&client).await.unwrap();
    assert!(list.iter().any(|entry| &*entry.id == "entry-0"), "{list:?}");
}
