//! Small fakes in virtual time, on which the decisions are measured.
//!
//! This crate exists so that the policy code that the daemons run can be measured
//! against baselines over minutes of load in a second of work, the same on every
//! machine. It is no model of a cluster: there is a fake engine, a queue of events,
//! and what reports need. The benches of the root package drive it.

mod events;
mod fake_engine;
mod line_fit;
mod process_usage;
mod report;
mod spread;
mod upstream;
mod workload;

pub use events::EventQueue;
pub use fake_engine::EngineTimes;
pub use line_fit::LineFit;
pub use process_usage::ProcessUsage;
pub use report::Report;
pub use spread::Spread;
pub use spread::percentile;
pub use upstream::FakeUpstream;
pub use upstream::StepResult;
pub use workload::FakeRequest;
pub use workload::WorkloadShape;
