//! The guard: stops new requests to a version that degrades, and limits the share of a new
//! version until it has enough good responses.
//!
//! The evidence are the counters of the sidecars: responses, failures and ratings. Each
//! version is compared with its siblings by a sequential test, which may be evaluated after
//! every response. Leaving out one upstream at a time distinguishes a failing upstream from
//! a failing version. A hold changes none of the operators' table cells.

mod config;
mod counts;
mod sequential_test;
mod version_guard;

pub use config::GuardConfig;
pub use counts::EvidenceCounts;
pub use sequential_test::SequentialTest;
pub use version_guard::Guard;
pub use version_guard::Hold;
pub use version_guard::HoldCause;
