//! The one process beside each upstream: the only way to it, and the last gate.
//!
//! A sidecar knows first-hand what its upstream does: what runs, what waits, which
//! prompt prefixes are cached. It answers probes from that, admits or refuses work,
//! checks the table before anything starts, and remembers each attempt, so that "not
//! run" can be proved after a cut. It holds bill records until the ledger has them.
//!
//! Lock order: `answers`, `registry`, `admission`, `bills`, `peers`, `cache_view`,
//! `evidence`. No lock is held across an await point.

mod answer;
mod attempts;
mod background;
mod cache_view;
mod connection;
mod evidence;
mod gate;
mod metrics;
mod operators;
mod peers;
mod process;
mod shared;
mod table_sync;
mod upstream;

pub use evidence::Evidence;
pub use gate::GateFacts;
pub use gate::check_gate;
pub use process::Leaving;
pub use process::Serving;
pub use process::Sidecar;
pub use process::SidecarError;
