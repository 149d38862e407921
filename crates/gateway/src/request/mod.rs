//! One request, from its head to its final response.
//!
//! Read `execution` first, which makes the attempts of a request; `attempt` is one of them on one upstream, and
//! `relay` forwards its stream. `broken_response` finds out why a response is incomplete.
//!
//! Invariant: a response states that nothing has run only where no attempt may have run.

mod attempt;
mod attempt_record;
mod broken_response;
mod call;
mod engine_time_meter;
mod event_monitor;
mod execution;
mod model_choice;
mod outcome;
mod relay;
mod token_interval;

pub(crate) use broken_response::BrokenResponse;
pub(crate) use call::Call;
pub(crate) use execution::Execution;
pub(crate) use outcome::AbandonReason;
pub(crate) use outcome::CompleteResponse;
pub(crate) use outcome::Outcome;
pub(crate) use relay::Relay;
pub(crate) use relay::RelayError;
