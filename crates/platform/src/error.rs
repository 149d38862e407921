//! Errors of calls to the platform.

use displaydoc::Display;

use crate::Conflict;

/// Why a call to the platform didn't succeed.
#[derive(Debug, Display, thiserror::Error)]
pub enum StoreError {
    /// platform not reached; nothing was written
    NotReached(#[source] reqwest::Error),
    /// no usable reply; a write may have taken effect
    Unsettled(String),
    /// a condition of the transaction does not hold; nothing was written
    Conflict(Vec<Conflict>),
    /// platform rejected the call: {0}
    Refused(String),
}
