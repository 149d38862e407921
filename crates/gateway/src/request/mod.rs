//! One request, from its head to its final answer.

mod attempt;
mod broken;
mod call;
mod execution;
mod model_choice;
mod outcome;
mod pace_watch;
mod relay;

pub(crate) use broken::Break;
pub(crate) use call::Call;
pub(crate) use execution::Execution;
pub(crate) use outcome::AbandonReason;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::WholeReply;
pub(crate) use relay::Relay;
pub(crate) use relay::RelayError;
