//! Logs as JSON lines, and metrics, in the same form for all daemons.
//!
//! Libraries log at WARN and above only: the HTTP server would otherwise log complete requests, with the callers'
//! keys in their headers.

mod logging;
mod metrics;

pub use logging::LogLevel;
pub use logging::LogOutput;
pub use logging::flush_logging;
pub use logging::start_logging;
pub use metrics::MetricsPage;
