//! What an upstream does with a request.

use std::time::Duration;

/// What an upstream does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers whole, with this body, after a while.
    Answer {
        /// The body.
        body: String,
        /// The time it works.
        after: Duration,
    },
    /// Answers whole with the id of the request, after a while.
    Echo {
        /// The time it works.
        after: Duration,
    },
    /// Answers with an event stream.
    Stream {
        /// The number of the last event; they are numbered from 1.
        events: u64,
        /// The time before each event.
        pause: Duration,
        /// The model's opinion of the answer.
        confidence: Option<u8>,
        /// After this event, half of the next one is sent and the connection cut.
        truncate_after: Option<u64>,
    },
    /// Answers with an event stream, as an engine that works on all its requests in one
    /// batch: the more there are, the longer each event takes. Tells its load.
    Batch {
        /// The number of the last event; they are numbered from 1.
        events: u64,
        /// The time before each event that does not depend on the load.
        idle_pause: Duration,
        /// The time that each request in the batch adds to it.
        pause_per_request: Duration,
    },
    /// Runs the request and fails with its own 500.
    Fail,
    /// Does not run it, and says so.
    NotExecuted,
    /// Says that it is another upstream.
    Misdirected,
    /// Answers with the id of another request.
    WrongId,
    /// Answers with a success that carries no seal.
    NoSeal,
    /// Sends the head and half of the body, then cuts the connection.
    CutBody,
    /// Runs the request and cuts the connection without an answer.
    CutBeforeReply,
    /// Runs the request and never answers.
    Hang,
}

impl Behaviour {
    /// Answers whole, at once.
    pub fn answer(body: &str) -> Self {
        Self::Answer { body: body.to_owned(), after: Duration::ZERO }
    }

    /// Answers with a stream of so many events, without pauses.
    pub fn stream(events: u64) -> Self {
        Self::Stream { events, pause: Duration::ZERO, confidence: None, truncate_after: None }
    }
}
