//! A shared record of the requests that reached the fakes.

use std::sync::{Arc, Mutex};

use bytes::Bytes;

/// A request that reached a fake engine or service.
#[derive(Debug, Clone)]
pub struct RecordedRequest {
    /// The id of the engine or service.
    pub server: String,
    /// The value of `x-request-id`.
    pub id: String,
    /// The model version of a chat, or the path of a service call.
    pub target: String,
    /// The client account that the router named; empty for a chat.
    pub account: String,
    /// The request body.
    pub body: Bytes,
    /// Whether the response was sent in full.
    pub complete: bool,
    /// Prompt and completion tokens of a complete chat; otherwise 0.
    pub tokens: u64,
}

/// The requests that reached the engines and services of a deployment.
#[derive(Debug, Clone, Default)]
pub struct RequestLog {
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl RequestLog {
    /// Records a request and returns its index.
    pub fn record(&self, request: RecordedRequest) -> usize {
        let mut requests = self.requests.lock().unwrap();
        requests.push(request);
        requests.len() - 1
    }

    /// Marks the request at `index` as answered in full.
    pub fn mark_complete(&self, index: usize, tokens: u64) {
        let mut requests = self.requests.lock().unwrap();
        requests[index].complete = true;
        requests[index].tokens = tokens;
    }

    /// Returns a copy of all recorded requests, in the order of arrival.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().unwrap().clone()
    }
}
