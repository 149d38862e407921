//! Moving a service's traffic to a new version, or back.
//!
//! A roll-out's state is a record in the platform's store, changed only under the
//! condition that it is still what was read. Any entry may take the next step. First a
//! small, fixed share of requests goes to the new version; if it proves bad, everything
//! goes back; if not, everything moves over near the end of the ordered time.

mod comparison;
mod counts;
mod evidence;
mod evidence_status;
mod latency_baseline;
mod observation;
mod plan;
mod record;
mod stream_pace;

pub use counts::EvidenceTotals;
pub use counts::TimedCounts;
pub use counts::VersionCounts;
pub use evidence::RolloutEvidence;
pub use evidence_status::EvidenceStatus;
pub use evidence_status::EvidenceTest;
pub use evidence_status::MeanLoad;
pub use latency_baseline::BaselineLatency;
pub use latency_baseline::LatencyBaseline;
pub use observation::LatencyKind;
pub use observation::Observation;
pub use observation::RequestKind;
pub use plan::RolloutConfig;
pub use plan::RolloutStep;
pub use plan::control_share;
pub use plan::new_version_share;
pub use plan::next_step;
pub use record::RolloutPhase;
pub use record::RolloutRecord;
pub use stream_pace::Pace;
pub use stream_pace::StreamPace;
