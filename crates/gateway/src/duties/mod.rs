//! Duties that one gateway at a time performs for the platform.
//!
//! `policy::usage` decides what to do; `task` does it: it reads and writes the duty's record in the store and calls
//! the platform. `state` holds what all gateways have counted, which `peers::duties` exchanges. `platform` is the
//! interface to the platform.
//!
//! Invariant: the lease is checked right before a call is sent, and a call that has not ended by the end of the
//! lease is aborted together with its connection.

mod platform;
mod state;
mod task;

pub use platform::DutyCallError;
pub use platform::DutyPlatform;
pub use platform::SendCheck;
pub(crate) use state::Duties;
pub(crate) use state::DutyStatus;
pub(crate) use task::perform_duties;
