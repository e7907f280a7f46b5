//! The HTTP headers and JSON bodies that are exchanged with model engines and plain services.

use savoryport_core::Name;
use savoryport_core::ledger::{EngineState, Order};
use serde::{Deserialize, Serialize};

/// The header with a request's id, sent to plain services.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header by which an engine or service announces that it accepts no new requests.
pub const DRAINING_HEADER: &str = "x-draining";

/// The body of `POST /v1/completions` and, with `messages`, `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The name of the model or adapter.
    pub model: Name,
    /// The prompt of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// The messages of a chat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<ChatMessage>,
    /// The largest number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the response is streamed token by token, as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The priority in the engine's scheduler; 0 is scheduled first.
    #[serde(default)]
    pub priority: u32,
    /// The number of tokens that the caller already received, if a stream is resumed.
    #[serde(default)]
    pub resume_from: u32,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// One event of a stream, or the complete response if it is not streamed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The id that the engine gave to the request.
    pub id: String,
    /// The model or adapter that the request named.
    pub model: Name,
    /// The generated text; always exactly one choice.
    pub choices: Vec<Choice>,
}

/// A generated text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text of one token of a stream, or of all tokens.
    pub text: String,
    /// `stop` or `length` when generation has ended, and otherwise none.
    pub finish_reason: Option<String>,
}

/// The response to `GET /admin/load`, which lags behind the actual load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests that wait in the engine.
    pub waiting: u32,
    /// The number of requests in the engine's batch.
    pub running: u32,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine accepts no new requests.
    pub draining: bool,
}

/// The body of `POST /admin/orders`.
pub type OrderRequest = Order;

/// The response to an order and to `GET /admin/state`.
pub type StateResponse = EngineState;

impl CompletionRequest {
    /// Returns the text that the engine completes: the prompt, or the messages one per line.
    pub fn text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => {
                let lines = self
                    .messages
                    .iter()
                    .map(|message| format!("{}: {}", message.role, message.content));
                lines.collect::<Vec<_>>().join("\n")
            }
        }
    }
}

fn default_max_tokens() -> u32 {
    16
}
