//! Discrete-event simulation for the benchmarks of the policies.
//!
//! The simulation runs the policy code of the daemons against baselines. It covers minutes of load in about a
//! second of computation, with the same result on every machine. It doesn't model a cluster: it consists of a
//! simulated engine behind the real admission controller, a workload generator, an event queue and helpers for
//! reports. The benches of the root package drive it.
//!
//! Read `workload` and `fake_engine` first, then `upstream`.

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
