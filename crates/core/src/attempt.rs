//! The identity of one attempt to run a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptNumber;
use crate::RequestId;

/// Identifies one attempt to run a request on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// The number of the attempt within the request, from 1.
    pub number: AttemptNumber,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.request, self.number)
    }
}
