//! Limits on requests and connections of callers.

use std::time::Duration;

/// Limits on requests and connections of callers.
#[derive(Debug, Clone)]
pub struct CallerBounds {
    /// Largest request head.
    pub max_header_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
