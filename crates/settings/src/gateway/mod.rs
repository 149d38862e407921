//! Settings of a gateway: `settings` holds the complete file, each of the other modules one of its sections.

mod cold_upstreams;
mod decisions;
mod duties;
mod host;
mod retries;
mod rollouts;
mod settings;
mod step_up;
mod stop;
mod store;
mod upstream_calls;

pub use cold_upstreams::ColdUpstreamSettings;
pub use decisions::DecisionSettings;
pub use duties::DutySettings;
pub use host::GatewayHost;
pub use retries::GatewayRetrySettings;
pub use rollouts::RolloutSettings;
pub use settings::GatewaySettings;
pub use step_up::StepUpSettings;
pub use stop::StopSettings;
pub use store::StoreSettings;
pub use upstream_calls::UpstreamCallSettings;
