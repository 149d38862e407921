//! The interface to the platform's receiver of duties.

use std::fmt::Debug;

use displaydoc::Display;
use futures_util::future::BoxFuture;
use stallhoist_policy::usage::UsageCall;

/// Whether a call may still be sent; asked right before it is.
pub type SendCheck<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// Why a call was not accepted.
#[derive(Debug, Display, thiserror::Error)]
pub enum DutyCallError {
    /// the platform is unreachable: {0}
    NotReached(String),
    /// the lease ended before the call was sent
    TooLate,
    /// the platform's answer did not come; the call may have been accepted: {0}
    Unsettled(String),
    /// the platform cannot accept the call now: status {0}
    Unavailable(u16),
    /// the platform rejects the call: status {0}
    Rejected(u16),
}

/// The platform's receiver of duties.
///
/// When the future of a call is dropped, nothing of the call may reach the platform any more.
pub trait DutyPlatform: Debug + Send + Sync + 'static {
    /// Delivers a usage report.
    fn report_usage<'a>(
        &'a self,
        call: &'a UsageCall,
        may_send: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<(), DutyCallError>>;
}
