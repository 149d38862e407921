//! The bill of a request.

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptNumber;
use crate::CostMicros;
use crate::RequestId;
use crate::Target;
use crate::Usage;
use crate::WorkspaceName;

/// The bill of one request. Its key is the request, not the attempt: of several
/// records of one request, the one with the highest attempt number is valid, since a
/// later attempt's record includes the usage of earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// The request, which is the key of the record.
    pub request: RequestId,
    /// The attempt that produced the response.
    pub attempt_number: AttemptNumber,
    /// The workspace that is billed.
    pub workspace: WorkspaceName,
    /// The model version or service that responded.
    pub target: Target,
    /// The tokens that all attempts up to this one used.
    pub usage: Usage,
    /// The cost, in millionths of the operators' currency unit.
    pub cost_micros: CostMicros,
}
