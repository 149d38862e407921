//! Choosing an upstream from what one entry knows itself: its own work in progress, what
//! upstreams answered lately, and which prompts they have read.
//!
//! This is for entries that call upstreams directly. Where a sidecar stands beside each
//! upstream, [`crate::placement`] asks the sidecars instead.

mod config;
mod cost;
mod health;
mod load;
mod peer_work;
mod prefill_speeds;
mod prefix_caches;

pub use config::BalanceConfig;
pub use cost::CandidateFacts;
pub use cost::RequestFacts;
pub use cost::cross_zone_cost_ms;
pub use cost::expected_cost_ms;
pub use cost::expected_wait_ms;
pub use cost::other_ms;
pub use cost::uncached_prefill_ms;
pub use health::Evidence;
pub use health::Fitness;
pub use health::HealthConfig;
pub use health::HealthUpdate;
pub use health::PauseRange;
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
