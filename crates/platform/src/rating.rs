//! Requests and replies of the platform's rating service.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::ModelVersion;
use stallhoist_core::RequestId;

/// Request to rate a response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RatingRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Model version that produced the response.
    pub version: ModelVersion,
    /// Text of the response.
    pub answer: String,
}

/// Rating of a response.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Rating {
    /// Quality, from 0 (useless) to 1 (perfect).
    pub score: f64,
}
