//! Executes one request: placement, attempts, resumes, retries and the final result.
//!
//! Start with `order` (a validated request), then `place` (choosing an upstream host) and `execution`
//! (the state machine). `attempt` and `attempt_end` hold the state and the result of a single attempt,
//! `request_end` the result of the request. A request is reported as not run only if no attempt can
//! have run.

mod attempt;
mod attempt_end;
mod execution;
mod order;
mod place;
mod request_end;

pub(crate) use execution::BufferedResponse;
pub(crate) use execution::Execution;
pub(crate) use execution::Step;
pub(crate) use order::Order;
pub(crate) use order::PriorUsage;
pub(crate) use request_end::EndKind;
pub(crate) use request_end::RequestEnd;
