//! What a caller says of its prompt.

/// One part of a prompt. Prompts that begin with the same parts share what an engine
/// has read of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's own id.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What a caller says of its prompt and of the answer it allows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts, in order. The last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// The length of the whole prompt.
    pub input_tokens: u64,
    /// The most tokens that may be generated.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
