//! Server-sent events of a streamed chat answer.

use bytes::{Bytes, BytesMut};
use policy::Usage;
use serde::Deserialize;

/// The longest event that is read, in bytes.
const LONGEST_EVENT: usize = 1 << 20;

/// One event as it came, with what it means.
#[derive(Debug, Clone, PartialEq)]
pub struct SseEvent {
    /// The bytes of the event, its closing blank line included.
    pub raw: Bytes,
    /// What it means.
    pub part: SsePart,
}

/// What an event of a chat answer means.
#[derive(Debug, Clone, PartialEq)]
pub enum SsePart {
    /// A piece of the answer.
    Delta {
        /// Its text.
        text: String,
        /// Whether it carries the reason why the answer ended.
        finished: bool,
        /// The usage, if the engine adds it to the piece.
        usage: Option<Usage>,
    },
    /// The usage alone.
    Usage(Usage),
    /// The end marker.
    End,
    /// A comment or something that is not a piece of the answer.
    Other,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct SseReader {
    rest: BytesMut,
}

impl SseReader {
    /// A reader at the start of a stream.
    pub fn new() -> Self {
        SseReader::default()
    }

    /// Takes more bytes and returns the events that are complete.
    ///
    /// `None` if an event grows over the limit.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Vec<SseEvent>> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.rest) {
            let raw = self.rest.split_to(end).freeze();
            let part = meaning(&raw);
            events.push(SseEvent { raw, part });
        }
        (self.rest.len() <= LONGEST_EVENT).then_some(events)
    }

    /// Whether bytes of an incomplete event are left.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
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

/// Usage as engines write it.
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

fn meaning(raw: &[u8]) -> SsePart {
    let Some(data) = data_of(raw) else { return SsePart::Other };
    if data == "[DONE]" {
        return SsePart::End;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&data) else { return SsePart::Other };
    let usage = chunk.usage.map(Usage::from);
    match (chunk.choices.first(), usage) {
        (None, Some(usage)) => SsePart::Usage(usage),
        (None, None) => SsePart::Other,
        (Some(choice), usage) => SsePart::Delta {
            text: choice.delta.content.clone().unwrap_or_default(),
            finished: chunk.choices.iter().all(|choice| choice.finish_reason.is_some()),
            usage,
        },
    }
}

/// The data lines of an event, joined.
fn data_of(raw: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(raw).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let lines: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}
