//! Message types of the chat-completions API, as far as the engine implements it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

const DEFAULT_MAX_TOKENS: u64 = 16;

/// A message of a conversation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ChatMessage {
    pub(crate) role: String,
    pub(crate) content: Value,
}

impl ChatMessage {
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

/// A chat-completions request.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) max_completion_tokens: Option<u64>,
}

impl ChatRequest {
    pub(crate) fn completion_tokens(&self) -> u64 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }

    pub(crate) fn prompt(&self) -> String {
        let texts: Vec<_> = self.messages.iter().map(ChatMessage::text).collect();
        texts.join("\n")
    }

    pub(crate) fn last_text(&self) -> String {
        self.messages.last().map(ChatMessage::text).unwrap_or_default()
    }
}

/// Token usage.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct ChatUsage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
}

impl ChatUsage {
    pub(crate) fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct ChatAnswer {
    pub(crate) id: String,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: String,
    pub(crate) choices: Vec<ChatChoice>,
    pub(crate) usage: ChatUsage,
}

#[derive(Debug, Serialize)]
pub(crate) struct ChatChoice {
    pub(crate) index: u32,
    pub(crate) message: ChatMessage,
    pub(crate) finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
pub(crate) struct ChatChunk<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: Vec<ChatChunkChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<ChatUsage>,
}

#[derive(Debug, Serialize)]
pub(crate) struct ChatChunkChoice<'a> {
    pub(crate) index: u32,
    pub(crate) delta: ChatDelta<'a>,
    pub(crate) finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
pub(crate) struct ChatDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<&'a str>,
}
