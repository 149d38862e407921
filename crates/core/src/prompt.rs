//! A caller's description of its prompt.

/// One part of a prompt. Prompts that begin with the same parts share the prefix cache
/// of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part's content.
    pub id: u64,
    /// The length of the part, in tokens.
    pub tokens: u64,
}

/// A caller's description of its prompt and of the longest response it allows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts, in order. The last one is specific to this request.
    pub parts: Vec<PromptPart>,
    /// The length of the whole prompt, in tokens.
    pub input_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u64,
}

impl Prompt {
    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The ids of the shared parts as callers write them, for logs.
    pub fn shared_ids(&self) -> String {
        let ids: Vec<_> = self.shared_parts().iter().map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }
}
