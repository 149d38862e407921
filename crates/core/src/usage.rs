//! Token usage of a request.

use serde::Deserialize;
use serde::Serialize;

use crate::TokenCount;

/// Token usage of a request, as counted by the upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the response.
    pub completion_tokens: TokenCount,
}

impl Usage {
    /// The sum of prompt and completion tokens.
    pub fn total_tokens(&self) -> TokenCount {
        TokenCount(self.prompt_tokens.0 + self.completion_tokens.0)
    }
}
