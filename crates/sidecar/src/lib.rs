//! The sidecar: one process beside each upstream, through which all its requests pass.
//!
//! A sidecar observes its upstream directly: running and queued requests and cached prompt
//! prefixes. From that it replies to probes and admits or rejects requests. It checks the
//! table before a request starts, and records each attempt, so that "not run" can be proved
//! after a connection loss. It holds bill records until the ledger has them.
//!
//! Read `process` first, then `connection`, `attempts` and `answer` (the path of a request)
//! and `upstream` (calls to the upstream).
//!
//! Lock order: `answers`, `registry`, `admission`, `bills`, `peers`, `cache_view`,
//! `evidence`. No lock is held across an await point.

mod answer;
mod attempts;
mod background;
mod cache_view;
mod connection;
mod dispatch_check;
mod evidence;
mod metrics;
mod operators;
mod peers;
mod process;
mod shared;
mod table_sync;
mod upstream;

pub use dispatch_check::DispatchContext;
pub use dispatch_check::check_dispatch;
pub use evidence::Evidence;
pub use process::Leaving;
pub use process::Serving;
pub use process::Sidecar;
pub use process::SidecarError;
