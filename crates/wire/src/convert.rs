//! Conversion between messages and the types of the other crates.

use stallhoist_core::AttemptId;
use stallhoist_core::AttemptNumber;
use stallhoist_core::BillRecord;
use stallhoist_core::CostMicros;
use stallhoist_core::RequestId;
use stallhoist_core::TokenCount;
use stallhoist_core::Usage;

use crate::WireError;
use crate::messages;

/// Converts an attempt to a message.
pub fn attempt_to_wire(id: AttemptId) -> Option<messages::Attempt> {
    Some(messages::Attempt { request: id.request.as_bytes().to_vec(), number: id.number.0 })
}

/// Converts a message to an attempt.
///
/// # Errors
/// Fails if the message is missing or the request's identifier is malformed.
pub fn attempt_from_wire(attempt: Option<&messages::Attempt>) -> Result<AttemptId, WireError> {
    let attempt = attempt.ok_or(WireError::BadField("attempt"))?;
    Ok(AttemptId {
        request: request_from_wire(&attempt.request)?,
        number: AttemptNumber(attempt.number),
    })
}

/// Converts bytes to the identifier of a request.
///
/// # Errors
/// Fails if there are not sixteen bytes.
pub fn request_from_wire(bytes: &[u8]) -> Result<RequestId, WireError> {
    RequestId::from_slice(bytes).map_err(|_| WireError::BadField("request"))
}

/// Converts a bill record to a message.
pub fn bill_to_wire(record: &BillRecord) -> messages::BillRecord {
    messages::BillRecord {
        request: record.request.as_bytes().to_vec(),
        attempt_number: record.attempt_number.0,
        workspace: record.workspace.to_string(),
        target: record.target.to_string(),
        prompt_tokens: record.usage.prompt_tokens.0,
        completion_tokens: record.usage.completion_tokens.0,
        cost_micros: record.cost_micros.0,
    }
}

/// Converts a message to a bill record.
///
/// # Errors
/// Fails if a field is malformed.
pub fn bill_from_wire(record: &messages::BillRecord) -> Result<BillRecord, WireError> {
    Ok(BillRecord {
        request: request_from_wire(&record.request)?,
        attempt_number: AttemptNumber(record.attempt_number),
        workspace: record.workspace.parse().map_err(|_| WireError::BadField("workspace"))?,
        target: record.target.parse().map_err(|_| WireError::BadField("target"))?,
        usage: Usage {
            prompt_tokens: TokenCount(record.prompt_tokens),
            completion_tokens: TokenCount(record.completion_tokens),
        },
        cost_micros: CostMicros(record.cost_micros),
    })
}
