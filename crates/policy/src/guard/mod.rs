//! The guard: holds back a version that turns bad, and lets a new one grow only as far
//! as the evidence for it goes.
//!
//! Evidence is what the sidecars count: answers, failures, ratings. Each version is
//! tested against its siblings with a test that may be looked at after every answer. A
//! failing upstream is told from a failing version by leaving out the worst upstream.
//! A hold changes none of the operators' cells.

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
