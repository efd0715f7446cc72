//! Parsing of chat completion requests and of non-streamed responses.

use bytes::Bytes;
use policy::Usage;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::sse::EngineUsage;

/// The estimated number of characters per prompt token.
const CHARS_PER_TOKEN: usize = 4;
/// The number of leading prompt characters used for prefix affinity.
const PREFIX_CHARS: usize = 256;

/// A validated chat completion request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// The route, which the request names in its `model` field.
    pub route: String,
    /// Whether the response should be streamed.
    pub stream: bool,
    /// Whether the caller requested token usage in the stream.
    pub wants_usage: bool,
    /// The estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of completion tokens that the caller accepts.
    pub max_tokens: Option<u32>,
    /// The beginning of the prompt, used for prefix affinity.
    pub prefix: String,
    body: Map<String, Value>,
}

impl ChatRequest {
    /// Parses and validates a request; the error describes what is invalid.
    pub fn parse(bytes: &[u8]) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let Value::Object(body) = value else { return Err("it is not an object".to_owned()) };
        let Some(Value::String(route)) = body.get("model") else {
            return Err("model is not a string".to_owned());
        };
        let Some(Value::Array(messages)) = body.get("messages") else {
            return Err("messages is not a list".to_owned());
        };
        let prompt: String = messages.iter().map(message_text).collect();
        let max = body.get("max_completion_tokens").or(body.get("max_tokens"));
        Ok(ChatRequest {
            route: route.clone(),
            stream: optional_bool(body.get("stream"), "stream")?,
            wants_usage: body
                .get("stream_options")
                .and_then(|options| options.get("include_usage"))
                .and_then(Value::as_bool)
                .unwrap_or(false),
            prompt_tokens: prompt.chars().count().div_ceil(CHARS_PER_TOKEN) as u32,
            max_tokens: max.and_then(Value::as_u64).map(|max| max.min(1 << 20) as u32),
            prefix: prompt.chars().take(PREFIX_CHARS).collect(),
            body,
        })
    }

    /// Returns the request body to send to an engine that serves `version`.
    ///
    /// The token usage is always requested in a stream, even if the caller did
    /// not request it.
    pub fn for_engine(&self, version: &str, high_priority: bool) -> Bytes {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), json!(version));
        // Engines schedule lower numbers first.
        body.insert("priority".to_owned(), json!(if high_priority { 0 } else { 1 }));
        if self.stream {
            body.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        }
        Bytes::from(Value::Object(body).to_string())
    }
}

/// Reads an optional boolean field; absent and `null` count as `false`.
fn optional_bool(value: Option<&Value>, name: &str) -> Result<bool, String> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(format!("{name} is not true or false")),
    }
}

/// Returns the text of a message, whose content is a string or a list of parts.
fn message_text(message: &Value) -> String {
    match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => {
            parts.iter().filter_map(|part| part.get("text")?.as_str()).collect()
        }
        _ => String::new(),
    }
}

#[derive(Deserialize)]
struct CompletionBody {
    choices: Vec<Choice>,
    usage: Option<EngineUsage>,
}

#[derive(Deserialize)]
struct Choice {
    message: Option<Message>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

/// The token usage and text of a complete chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The token usage.
    pub usage: Usage,
    /// The text of the first choice.
    pub text: String,
}

/// Parses a chat completion response; `None` if it is invalid or a choice has
/// no finish reason.
pub fn parse_completion(bytes: &[u8]) -> Option<Completion> {
    let body: CompletionBody = serde_json::from_slice(bytes).ok()?;
    let first = body.choices.first()?;
    if body.choices.iter().any(|choice| choice.finish_reason.is_none()) {
        return None;
    }
    let text = first.message.as_ref().and_then(|m| m.content.clone()).unwrap_or_default();
    let usage = body.usage.map(Usage::from).unwrap_or_default();
    Some(Completion { usage, text })
}
