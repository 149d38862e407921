//! What callers may send.

use std::time::Duration;

/// What callers may send, and for how long a connection may rest.
#[derive(Debug, Clone)]
pub struct CallerBounds {
    /// The largest request head.
    pub max_header_bytes: usize,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// How long a connection may rest between requests.
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
