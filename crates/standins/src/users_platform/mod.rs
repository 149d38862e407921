//! Stand-ins for the users' platform: its store, its upstreams and its receiver of duties, after their published
//! interface.
//!
//! `store` serves the rows that `store_state` keeps. `upstream` serves requests as `upstream_behaviour` and
//! `crash_rule` say, with the responses of `upstream_reply`. `duty_platform` receives the reports of duties.
//! `server` is the HTTP server of all.

mod crash_rule;
mod duty_platform;
mod server;
mod store;
mod store_state;
mod upstream;
mod upstream_behaviour;
mod upstream_reply;

pub use crash_rule::CrashRule;
pub use crash_rule::CrashTrigger;
pub use duty_platform::AcceptedReport;
pub use duty_platform::DutyFault;
pub use duty_platform::DutyPlatformStandin;
pub use duty_platform::differing_reports;
pub use duty_platform::order_violations;
pub use store::StoreStandin;
pub use store::StoreWriter;
pub use store_state::LostWrites;
pub use store_state::StoreCopy;
pub use store_state::StoreFault;
pub use upstream::Arrival;
pub use upstream::Crash;
pub use upstream::UpstreamStandin;
pub use upstream_behaviour::Behaviour;
