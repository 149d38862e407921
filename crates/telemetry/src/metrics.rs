//! The metrics page in the OpenMetrics text format.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

const NAME_PREFIX: &str = "stallhoist";

/// A registry of metrics and its text form.
#[derive(Debug)]
pub struct MetricsPage {
    registry: Registry,
}

impl Default for MetricsPage {
    fn default() -> Self {
        Self { registry: Registry::with_prefix(NAME_PREFIX) }
    }
}

impl MetricsPage {
    /// Returns the registry, to register metrics before the page is shared.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Renders the page in the OpenMetrics text format.
    ///
    /// # Errors
    /// Fails only if a metric can't be encoded.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut page = String::new();
        encode(&mut page, &self.registry)?;
        Ok(page)
    }
}
