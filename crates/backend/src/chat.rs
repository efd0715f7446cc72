//! Chat requests and whole chat answers.

use bytes::Bytes;
use policy::Usage;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::sse::EngineUsage;

/// Characters of a prompt for one token, as an estimate.
const CHARACTERS_PER_TOKEN: usize = 4;
/// Characters of the prompt's start that decide the prefix affinity.
const PREFIX_CHARACTERS: usize = 256;

/// A chat request whose shape was checked.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// The route that the request names as its model.
    pub route: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Whether the caller asked for the usage in the stream.
    pub wants_usage: bool,
    /// The prompt's length in tokens, estimated.
    pub prompt_tokens: u32,
    /// The longest answer that the caller wants, in tokens.
    pub max_tokens: Option<u32>,
    /// The start of the prompt.
    pub prefix: String,
    body: Map<String, Value>,
}

impl ChatRequest {
    /// Reads a request; the error says what is wrong with it.
    pub fn parse(bytes: &[u8]) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let Value::Object(body) = value else { return Err("it is not an object".to_owned()) };
        let Some(Value::String(route)) = body.get("model") else {
            return Err("model is not a string".to_owned());
        };
        let Some(Value::Array(messages)) = body.get("messages") else {
            return Err("messages is not a list".to_owned());
        };
        let prompt: String = messages.iter().map(text_of).collect();
        let max = body.get("max_completion_tokens").or(body.get("max_tokens"));
        Ok(ChatRequest {
            route: route.clone(),
            stream: flag(body.get("stream"), "stream")?,
            wants_usage: body
                .get("stream_options")
                .and_then(|options| options.get("include_usage"))
                .and_then(Value::as_bool)
                .unwrap_or(false),
            prompt_tokens: prompt.chars().count().div_ceil(CHARACTERS_PER_TOKEN) as u32,
            max_tokens: max.and_then(Value::as_u64).map(|max| max.min(1 << 20) as u32),
            prefix: prompt.chars().take(PREFIX_CHARACTERS).collect(),
            body,
        })
    }

    /// The request as it goes to an engine.
    pub fn for_engine(&self, version: &str, urgent: bool) -> Bytes {
        let mut body = self.body.clone();
        body.insert("model".to_owned(), json!(version));
        // Engines serve the lower number first.
        body.insert("priority".to_owned(), json!(if urgent { 0 } else { 1 }));
        if self.stream {
            body.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        }
        Bytes::from(Value::Object(body).to_string())
    }
}

fn flag(value: Option<&Value>, name: &str) -> Result<bool, String> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(format!("{name} is not true or false")),
    }
}

/// The text of a message, whose content is a string or a list of parts.
fn text_of(message: &Value) -> String {
    match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(parts)) => {
            parts.iter().filter_map(|part| part.get("text")?.as_str()).collect()
        }
        _ => String::new(),
    }
}

#[derive(Deserialize)]
struct Answer {
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

/// What a whole chat answer says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// The usage.
    pub usage: Usage,
    /// The text of the first choice.
    pub text: String,
}

/// Reads a chat answer; `None` if it is not whole.
pub fn whole_answer(bytes: &[u8]) -> Option<WholeAnswer> {
    let answer: Answer = serde_json::from_slice(bytes).ok()?;
    let first = answer.choices.first()?;
    if answer.choices.iter().any(|choice| choice.finish_reason.is_none()) {
        return None;
    }
    let text = first.message.as_ref().and_then(|m| m.content.clone()).unwrap_or_default();
    let usage = answer.usage.map(Usage::from).unwrap_or_default();
    Some(WholeAnswer { usage, text })
}
