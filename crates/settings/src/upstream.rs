//! The upstream that a sidecar serves.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::Target;

use crate::Problems;
use crate::Validate;

/// Kind of the upstream that a sidecar serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine with the chat-completions interface.
    Engine,
    /// A service that isn't a model engine.
    Service,
}

/// The upstream that a sidecar serves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// URL of the upstream, `http://IP:PORT`.
    pub url: String,
    /// The model versions or services that it serves.
    pub serves: Vec<Target>,
}

impl Validate for UpstreamSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_http_url("url", &self.url);
        if self.serves.is_empty() {
            problems.add("serves", "must name at least one model@version or service:name");
        }
        for target in &self.serves {
            let fits = match target {
                Target::Version(_) => self.kind == UpstreamKind::Engine,
                Target::Service(_) => self.kind == UpstreamKind::Service,
            };
            if !fits {
                problems.add("serves", format!("'{target}' does not fit the upstream's kind"));
            }
        }
    }
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            kind: UpstreamKind::Engine,
            url: "http://127.0.0.1:7500".to_owned(),
            serves: Vec::new(),
        }
    }
}
