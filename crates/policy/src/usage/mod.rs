//! Usage reports: for each window of the wall clock, how many requests of each workspace upstreams began to run.
//!
//! All gateways count. The counts are cumulative and kept by the process that counted them, so that they can reach
//! the gateway that reports by any path, and repeatedly, without counting twice. One gateway reports, under a
//! lease. It fixes the counts of a window in the lease's record before it sends them: whoever continues sends the
//! same counts again.
//!
//! Invariant: for one window, no two different reports are ever sent.
//!
//! Read `UsageDuty::step` first; `step` has the steps and their results. `UsageSchedule` says when a window is fixed and whose turn it is, `UsageCounts`
//! holds the counts, `DutyRecord` is what is stored.

mod counts;
mod duty;
mod duty_record;
mod report;
mod schedule;
mod step;
mod summary;
mod window;

pub use counts::UsageCounts;
pub use counts::UsageSource;
pub use counts::UsageUpdate;
pub use duty::UsageDuty;
pub use duty_record::DutyRecord;
pub use duty_record::DutyWrite;
pub use report::UsageCall;
pub use report::UsageReport;
pub use schedule::UsageSchedule;
pub use step::Delivery;
pub use step::DutyContext;
pub use step::DutyStep;
pub use step::WriteFailure;
pub use summary::DutySummary;
pub use window::UsageWindow;
