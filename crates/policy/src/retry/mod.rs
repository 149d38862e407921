//! Retries: whether a request is retried, the budgets of retries, when an attempt is given up for
//! another, and the ejection of failing upstreams.

mod budget;
mod decision;
mod ejection;
mod engine_time_budget;
mod first_chunk_delay;
mod give_up;
mod progress;

pub use budget::RetryBudget;
pub use decision::AttemptOutcome;
pub use decision::may_retry;
pub use ejection::Ejection;
pub use ejection::EjectionConfig;
pub use engine_time_budget::EngineTimeBudget;
pub use engine_time_budget::SecondAttempt;
pub use first_chunk_delay::FirstChunkDelay;
pub use give_up::GiveUpDecision;
pub use give_up::WaitingAttempt;
pub use progress::RequestProgress;
pub use progress::RequestRules;
