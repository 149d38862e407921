//! What a request used.

use serde::Deserialize;
use serde::Serialize;

use crate::TokenCount;

/// What a request used, as the upstream counted it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the answer.
    pub completion_tokens: TokenCount,
}

impl Usage {
    /// Prompt and answer together.
    pub fn total_tokens(&self) -> TokenCount {
        TokenCount(self.prompt_tokens.0 + self.completion_tokens.0)
    }
}
