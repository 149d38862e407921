//! Endpoints of the local system.

use std::fmt;

use serde::Serialize;

/// Endpoints of the local system, and the keys that they accept.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Addresses {
    pub(crate) callers_url: String,
    pub(crate) operators_url: String,
    pub(crate) platform_url: String,
    pub(crate) workspace_key: String,
    pub(crate) operators_key: String,
    pub(crate) models: Vec<String>,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "callers:    {}", self.callers_url)?;
        writeln!(f, "operators:  {}  (key {})", self.operators_url, self.operators_key)?;
        writeln!(f, "platform:   {}  (stand-in)", self.platform_url)?;
        writeln!(f, "models:     {}", self.models.join(", "))?;
        writeln!(f, "\ntry:\n")?;
        writeln!(f, "  curl {}/v1/chat/completions \\", self.callers_url)?;
        writeln!(f, "    -H 'Authorization: Bearer {}' \\", self.workspace_key)?;
        writeln!(f, "    -H 'Content-Type: application/json' \\")?;
        let model = self.models.first().map(String::as_str).unwrap_or_default();
        writeln!(
            f,
            "    -d '{{\"model\":\"{model}\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
        )?;
        writeln!(f, "\nCtrl-C stops it.")
    }
}
