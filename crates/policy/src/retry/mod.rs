//! Retries: how many, and where not to.

mod budget;
mod decision;
mod ejection;

pub use budget::RetryBudget;
pub use decision::AttemptFacts;
pub use decision::may_retry;
pub use ejection::Ejection;
pub use ejection::EjectionConfig;
