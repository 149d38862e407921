//! The identity of one try at running a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptNumber;
use crate::RequestId;

/// One try at running a request on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// Which try it is.
    pub number: AttemptNumber,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.request, self.number)
    }
}
