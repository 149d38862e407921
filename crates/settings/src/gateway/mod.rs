//! A gateway's settings: the file as a whole, and a module for each of its sections.

mod cold_upstreams;
mod decisions;
mod host;
mod retries;
mod rollouts;
mod step_up;
mod stop;
mod store;
mod upstream_calls;
mod whole;

pub use cold_upstreams::ColdUpstreamSettings;
pub use decisions::DecisionSettings;
pub use host::GatewayHost;
pub use retries::GatewayRetrySettings;
pub use rollouts::RolloutSettings;
pub use step_up::StepUpSettings;
pub use stop::StopSettings;
pub use store::StoreSettings;
pub use upstream_calls::UpstreamCallSettings;
pub use whole::GatewaySettings;
