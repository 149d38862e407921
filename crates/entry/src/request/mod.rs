//! A request from its order to its end.

mod attempt;
mod attempt_end;
mod ending;
mod execution;
mod order;
mod place;

pub(crate) use ending::EndKind;
pub(crate) use ending::Ending;
pub(crate) use execution::Execution;
pub(crate) use execution::Step;
pub(crate) use execution::WholeAnswer;
pub(crate) use order::Order;
pub(crate) use order::Prior;
