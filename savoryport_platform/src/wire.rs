//! What goes over the wire to model engines and plain services.

use savoryport_core::Name;
use savoryport_core::ledger::{EngineState, Order};
use serde::{Deserialize, Serialize};

/// The header that carries a request's identity to a plain service.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header by which an engine or service says that it takes no new work.
pub const DRAINING_HEADER: &str = "x-draining";

/// The body of `POST /v1/completions` and, with `messages`, `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model or adapter.
    pub model: Name,
    /// The prompt of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// The messages of a chat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<ChatMessage>,
    /// The most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer comes token by token, as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The engine's scheduling priority; 0 goes first.
    #[serde(default)]
    pub priority: u32,
    /// The number of tokens that the caller has already, for a stream that is resumed.
    #[serde(default)]
    pub resume_from: u32,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user` or `assistant`.
    pub role: String,
    /// The words.
    pub content: String,
}

/// One event of a stream, or the whole answer without streaming.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// The engine's name for the request.
    pub id: String,
    /// The model that answered.
    pub model: Name,
    /// The tokens; there always is exactly one choice.
    pub choices: Vec<Choice>,
}

/// The text of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text of one token, or of all.
    pub text: String,
    /// `stop` or `length` once the answer is complete.
    pub finish_reason: Option<String>,
}

/// The lagging report of `GET /admin/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine takes no new work.
    pub draining: bool,
}

/// The body of `POST /admin/orders`.
pub type OrderRequest = Order;

/// The answer to an order, and to `GET /admin/state`.
pub type StateResponse = EngineState;

impl CompletionRequest {
    /// Returns the text that the engine completes.
    pub fn text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => {
                let lines = self.messages.iter().map(|m| format!("{}: {}", m.role, m.content));
                lines.collect::<Vec<_>>().join("\n")
            }
        }
    }
}

fn default_max_tokens() -> u32 {
    16
}
