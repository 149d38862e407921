//! What an attempt on an upstream is expected to take.

use std::time::Duration;

use stallhoist_core::EngineTime;

/// What an attempt on an upstream is expected to take, if it is sent now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Expectation {
    /// Time to the first chunk of the response.
    pub first_chunk: Duration,
    /// Time to the end of the response. At least that to the first chunk.
    pub completion: Duration,
    /// Engine time that the attempt takes in all.
    pub engine_time: EngineTime,
}
