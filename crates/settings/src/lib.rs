//! Settings files in JSON with comments, validated completely before anything starts.
//!
//! An invalid setting is rejected at startup with the file, the line, the key, the value and the expected form, and
//! all problems of a file are reported at once. `stallhoist check-settings` runs the same code.
//!
//! Every key carries its unit, or its value does. The type of each section validates the ranges of its values, so that
//! a value in the wrong unit is rejected as out of range.
//!
//! Read [`load()`] first, then [`Problems`]; each of the other modules holds one section or a value type.

mod admission;
mod claims;
mod entry;
mod error;
mod gateway;
mod host;
mod load;
mod placement;
mod platform;
mod problems;
mod secret;
mod sidecar;
mod time_span;
mod timing;
mod upstream;

pub use admission::AdmissionSettings;
pub use claims::BillSettings;
pub use claims::ClaimSettings;
pub use entry::CallerLimits;
pub use entry::EntrySettings;
pub use entry::RatingSettings;
pub use error::SettingsError;
pub use error::SettingsProblem;
pub use error::SettingsProblems;
pub use gateway::ColdUpstreamSettings;
pub use gateway::DecisionSettings;
pub use gateway::DutySettings;
pub use gateway::GatewayHost;
pub use gateway::GatewayRetrySettings;
pub use gateway::GatewaySettings;
pub use gateway::RolloutSettings;
pub use gateway::StepUpSettings;
pub use gateway::StopSettings;
pub use gateway::StoreSettings;
pub use gateway::UpstreamCallSettings;
pub use host::HostSettings;
pub use load::load;
pub use load::parse;
pub use placement::PlacementSettings;
pub use placement::RetrySettings;
pub use platform::PlatformSettings;
pub use problems::Problems;
pub use problems::Validate;
pub use secret::Secret;
pub use sidecar::SidecarSettings;
pub use time_span::TimeSpan;
pub use time_span::TimeSpanError;
pub use timing::TimingSettings;
pub use upstream::UpstreamKind;
pub use upstream::UpstreamSettings;
