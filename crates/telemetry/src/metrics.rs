//! The page that a metrics collector reads.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

const NAME_PREFIX: &str = "stallhoist";

/// A registry and the text it is shown as.
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
    /// The registry, to register metrics with before the page is shared.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// The page in the OpenMetrics text format.
    ///
    /// # Errors
    /// Fails only when a metric cannot be written.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut page = String::new();
        encode(&mut page, &self.registry)?;
        Ok(page)
    }
}
