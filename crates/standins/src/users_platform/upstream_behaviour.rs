//! Configurable behaviour of an upstream.

use std::time::Duration;

/// How an upstream handles a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a complete response with this body.
    Answer {
        /// Response body.
        body: String,
        /// Time before the response.
        after: Duration,
    },
    /// Sends a complete response that contains the request's ID.
    Echo {
        /// Time before the response.
        after: Duration,
    },
    /// Responds with an event stream.
    Stream {
        /// Number of the last event; the first is 1.
        events: u64,
        /// Time before each event.
        pause: Duration,
        /// Confidence that the model reports for its response.
        confidence: Option<u8>,
        /// After this event, half of the next one is sent and the connection aborted.
        truncate_after: Option<u64>,
    },
    /// Responds with an event stream, like an engine that runs all requests in one batch: the time for each event
    /// grows with the number of requests. Reports its load.
    Batch {
        /// Number of the last event; the first is 1.
        events: u64,
        /// Time before each event, independent of the load.
        idle_pause: Duration,
        /// Additional time before each event for each request in the batch.
        pause_per_request: Duration,
        /// How long work takes at present, as it reports it: 100 is as usual.
        pace_percent: u32,
    },
    /// Runs the request and responds with status 500.
    Fail,
    /// Responds that the request was not executed.
    NotExecuted,
    /// Responds that the request is for another upstream.
    Misdirected,
    /// Responds with the ID of another request.
    WrongId,
    /// Sends a successful response without a seal.
    NoSeal,
    /// Sends the headers and half of the body, then aborts the connection.
    CutBody,
    /// Runs the request and aborts the connection without a response.
    CutBeforeReply,
    /// Runs the request and never responds.
    Hang,
}

impl Behaviour {
    /// Sends a complete response with this body, without delay.
    pub fn answer(body: &str) -> Self {
        Self::Answer { body: body.to_owned(), after: Duration::ZERO }
    }

    /// Streams this many events without pauses.
    pub fn stream(events: u64) -> Self {
        Self::Stream { events, pause: Duration::ZERO, confidence: None, truncate_after: None }
    }
}
