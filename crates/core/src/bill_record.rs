//! What a request is billed.

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptNumber;
use crate::CostMicros;
use crate::RequestId;
use crate::Target;
use crate::Usage;
use crate::WorkspaceName;

/// What one request is billed. Its key is the request, not the attempt: of several
/// records of one request, the one with the highest attempt number stands, since a
/// later attempt's record includes what earlier ones used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// The request, and the key.
    pub request: RequestId,
    /// The attempt that answered.
    pub attempt_number: AttemptNumber,
    /// Who pays.
    pub workspace: WorkspaceName,
    /// What answered.
    pub target: Target,
    /// What was used.
    pub usage: Usage,
    /// What it costs.
    pub cost_micros: CostMicros,
}
