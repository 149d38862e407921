//! The platform's service that rates answers.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::ModelVersion;
use stallhoist_core::RequestId;

/// Asks for the rating of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RatingRequest {
    /// The request that was answered.
    pub request: RequestId,
    /// What answered it.
    pub version: ModelVersion,
    /// The answer's text.
    pub answer: String,
}

/// The rating of an answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Rating {
    /// From 0, useless, to 1, perfect.
    pub score: f64,
}
