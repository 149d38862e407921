//! What a call to the platform can end in.

use displaydoc::Display;

use crate::Conflict;

/// What a call to the platform can end in besides success.
#[derive(Debug, Display, thiserror::Error)]
pub enum StoreError {
    /// the platform was not reached; nothing was written
    NotReached(#[source] reqwest::Error),
    /// no usable reply came; a write may have taken effect
    Unsettled(String),
    /// records are not what the transaction expects; nothing was written
    Conflict(Vec<Conflict>),
    /// the platform refused the call: {0}
    Refused(String),
}
