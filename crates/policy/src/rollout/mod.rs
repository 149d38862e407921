//! Moves a service's traffic to a new version, or back.
//!
//! The state of a rollout is a record in the platform's store that is changed only by writes that
//! require the row version that was read, so any gateway may take the next step. First, a small, fixed
//! share of the requests goes to the new version, a larger one where they are few. If it proves bad, everything goes
//! back to the old one. If it proves as good, everything moves to the new one near the end of the ordered
//! time; if neither is known by then, it goes back too.
//!
//! Read `record` and `plan` first, then `observation`, `counts`, `latency_baseline`, `stream_pace`,
//! `comparison`, `route_failures`, `strata`, `harm`, `evidence` and `judgement`.

mod comparison;
mod counts;
mod evidence;
mod evidence_status;
mod harm;
mod judgement;
mod latency_baseline;
mod observation;
mod plan;
mod rate_trend;
mod record;
mod route_failures;
mod share;
mod strata;
mod stream_pace;

pub use counts::AnswerCounts;
pub use counts::EvidenceTotals;
pub use counts::RouteCounts;
pub use counts::TimedCounts;
pub use counts::VersionCounts;
pub use evidence::RolloutEvidence;
pub use evidence_status::EvidenceStatus;
pub use evidence_status::EvidenceTest;
pub use evidence_status::MeanLoad;
pub use judgement::Judgement;
pub use latency_baseline::BaselineLatency;
pub use latency_baseline::LatencyBaseline;
pub use observation::LatencyKind;
pub use observation::Observation;
pub use observation::RequestKind;
pub use plan::RolloutConfig;
pub use plan::RolloutStep;
pub use plan::canary_share;
pub use plan::control_share;
pub use plan::new_version_share;
pub use plan::next_step;
pub use plan::observed_share;
pub use rate_trend::RateTrend;
pub use record::RolloutPhase;
pub use record::RolloutRecord;
pub use share::Permille;
pub use stream_pace::Pace;
pub use stream_pace::StreamPace;
