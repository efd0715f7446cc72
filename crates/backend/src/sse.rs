//! Parser for the server-sent events of a streamed chat completion.

use bytes::{Bytes, BytesMut};
use policy::Usage;
use serde::Deserialize;

/// The maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event: the received bytes and the decoded payload.
#[derive(Debug, Clone, PartialEq)]
pub struct SseEvent {
    /// The bytes of the event, including the terminating blank line.
    pub raw: Bytes,
    /// The decoded payload.
    pub payload: SsePayload,
}

/// The decoded payload of a chat completion event.
#[derive(Debug, Clone, PartialEq)]
pub enum SsePayload {
    /// A chunk of the completion.
    Delta {
        /// The text of the first choice.
        text: String,
        /// Whether every choice in the chunk has a finish reason.
        finished: bool,
        /// The token usage, if the engine includes it in this chunk.
        usage: Option<Usage>,
    },
    /// A chunk that contains only the token usage.
    Usage(Usage),
    /// The `[DONE]` marker at the end of the stream.
    End,
    /// A comment, or an event that is not part of the completion.
    Other,
}

/// An incremental parser that splits a byte stream into events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
}

impl SseParser {
    /// Creates a parser for a new stream.
    pub fn new() -> Self {
        SseParser::default()
    }

    /// Appends bytes from the stream and returns the events that are now complete.
    ///
    /// Returns `None` if an incomplete event exceeds the size limit.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Vec<SseEvent>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let raw = self.buffer.split_to(end).freeze();
            let payload = decode_payload(&raw);
            events.push(SseEvent { raw, payload });
        }
        (self.buffer.len() <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Whether the buffer contains the beginning of an incomplete event.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first event in the buffer, including its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|window| window == b"\n\n").map(|start| start + 2);
    let crlf = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<EngineUsage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Deserialize, Default)]
struct Delta {
    content: Option<String>,
}

/// Token usage in the format of the engines.
#[derive(Deserialize, Clone, Copy)]
pub(crate) struct EngineUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
}

impl From<EngineUsage> for Usage {
    fn from(usage: EngineUsage) -> Usage {
        Usage { prompt_tokens: usage.prompt_tokens, output_tokens: usage.completion_tokens }
    }
}

fn decode_payload(raw: &[u8]) -> SsePayload {
    let Some(data) = event_data(raw) else { return SsePayload::Other };
    if data == "[DONE]" {
        return SsePayload::End;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&data) else { return SsePayload::Other };
    let usage = chunk.usage.map(Usage::from);
    match (chunk.choices.first(), usage) {
        (None, Some(usage)) => SsePayload::Usage(usage),
        (None, None) => SsePayload::Other,
        (Some(choice), usage) => SsePayload::Delta {
            text: choice.delta.content.clone().unwrap_or_default(),
            finished: chunk.choices.iter().all(|choice| choice.finish_reason.is_some()),
            usage,
        },
    }
}

/// Joins the `data` fields of an event with newlines; `None` if it has none.
fn event_data(raw: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(raw).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}
