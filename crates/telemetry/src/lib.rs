//! Logs as JSON lines, and metrics.
//!
//! This crate exists so that both daemons log and count the same way. Libraries
//! are let through from WARN on only: the HTTP server would otherwise print whole
//! requests, with the callers' keys in their headers.

mod logging;
mod metrics;

pub use logging::LogLevel;
pub use logging::LogOutput;
pub use logging::flush_logging;
pub use logging::start_logging;
pub use metrics::MetricsPage;
