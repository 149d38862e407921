//! Selects an upstream by what one gateway knows: the work in progress, the recent responses of
//! upstreams, and the prompts in their prefix caches.
//!
//! For gateways that call upstreams directly. Where each upstream has a sidecar, [`crate::placement`]
//! asks the sidecars instead.
//!
//! Read `cost` first: it combines what the other modules keep. `load` and `peer_work` hold the
//! work in progress, `prefill_speeds` and `prefix_caches` the prefill times, `generation_times` and
//! `response_lengths` what a stream takes after its first event, `upstream_speeds` and `reported_paces` how
//! upstreams of one service differ, `health` the failures.
//!
//! Invariant: no state forbids an upstream for good; it makes the upstream a worse choice, and it decays
//! or expires.

mod config;
mod cost;
mod event_meter;
mod expectation;
mod generation_times;
mod health;
mod load;
mod peer_work;
mod prefill_speeds;
mod prefix_caches;
mod reported_paces;
mod response_lengths;
mod speed_evidence;
mod upstream_speeds;

pub use config::BalanceConfig;
pub use cost::CandidateFacts;
pub use cost::ExpectedGeneration;
pub use cost::RequestFacts;
pub use cost::cross_zone_cost_ms;
pub use cost::expected_cost_ms;
pub use cost::expected_wait_ms;
pub use cost::other_ms;
pub use cost::uncached_prefill_ms;
pub use event_meter::EventMeter;
pub use event_meter::EventRead;
pub use expectation::Expectation;
pub use generation_times::EventIntervals;
pub use generation_times::GenerationTime;
pub use generation_times::GenerationTimes;
pub use health::BackoffRange;
pub use health::Evidence;
pub use health::Fitness;
pub use health::HealthConfig;
pub use health::HealthUpdate;
pub use health::UpstreamHealth;
pub use load::PrefillWork;
pub use load::ReportedLoad;
pub use load::UpstreamLoad;
pub use peer_work::PeerWork;
pub use peer_work::UpstreamKey;
pub use peer_work::WorkByUpstream;
pub use peer_work::WorkInProgress;
pub use prefill_speeds::FirstChunk;
pub use prefill_speeds::PrefillSpeeds;
pub use prefill_speeds::PrefillTime;
pub use prefix_caches::PrefixCaches;
pub use reported_paces::PacePercent;
pub use reported_paces::ReportedPaces;
pub use response_lengths::ResponseLengths;
pub use speed_evidence::SpeedEvidence;
pub use upstream_speeds::UpstreamSpeeds;
