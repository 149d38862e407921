//! Responses to callers.

use std::io;
use std::io::Cursor;
use std::io::SeekFrom;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_util::stream::BoxStream;
use rocket::Request;
use rocket::Response;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::response::stream::Event;
use rocket::response::stream::EventStream;
use stallhoist_core::Outcome;
use stallhoist_core::RequestId;
use tokio::io::AsyncRead;
use tokio::io::AsyncSeek;
use tokio::io::ReadBuf;

use super::headers;
use super::in_flight::InFlight;
use super::problem::Problem;
use super::problem::millis;

const PROBLEM_JSON: &str = "application/problem+json";
const MS_PER_S: u64 = 1_000;

/// The data for the response headers of a routed request.
#[derive(Debug, Default)]
pub(crate) struct ResponseMetadata {
    pub(crate) request: Option<RequestId>,
    pub(crate) target: Option<String>,
    pub(crate) session: Option<String>,
    /// Held until the body was sent, so that a graceful shutdown waits for it.
    pub(crate) place: Option<InFlight>,
}

impl ResponseMetadata {
    /// Adds the request's slot, which is released when the body was sent.
    pub(crate) fn with_slot(self, place: InFlight) -> Self {
        Self { place: Some(place), ..self }
    }
}

/// A body that holds its request's slot.
struct HeldBody {
    bytes: Cursor<Vec<u8>>,
    _place: Option<InFlight>,
}

impl AsyncRead for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.bytes).poll_read(context, buffer)
    }
}

impl AsyncSeek for HeldBody {
    fn start_seek(mut self: Pin<&mut Self>, position: SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.bytes).start_seek(position)
    }

    fn poll_complete(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.bytes).poll_complete(context)
    }
}

/// A response to a caller.
pub(crate) enum Reply {
    /// A complete body.
    Whole {
        status: u16,
        content_type: String,
        body: Vec<u8>,
        outcome: Outcome,
        metadata: ResponseMetadata,
    },
    /// A stream of events, of which the last one says how the request ended.
    Events { events: BoxStream<'static, Event>, metadata: ResponseMetadata },
    /// An error response.
    Problem(Problem, ResponseMetadata),
}

impl From<Problem> for Reply {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem, ResponseMetadata::default())
    }
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        match self {
            Self::Whole { status, content_type, body, outcome, metadata } => {
                let mut metadata = metadata;
                let mut response = full_response(status, content_type, body, metadata.place.take());
                set_outcome(&mut response, outcome);
                set_headers(&mut response, metadata);
                Ok(response)
            }
            Self::Events { events, metadata } => {
                let mut response = EventStream::from(events).heartbeat(None).respond_to(request)?;
                set_headers(&mut response, metadata);
                Ok(response)
            }
            Self::Problem(problem, metadata) => {
                let mut metadata = metadata;
                let mut response = problem_response(&problem, metadata.place.take());
                set_headers(&mut response, metadata);
                Ok(response)
            }
        }
    }
}

fn full_response<'r>(
    status: u16,
    content_type: String,
    body: Vec<u8>,
    place: Option<InFlight>,
) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(Status::new(status));
    response.set_raw_header("Content-Type", content_type);
    let length = body.len();
    response.set_sized_body(length, HeldBody { bytes: Cursor::new(body), _place: place });
    response
}

fn problem_response<'r>(problem: &Problem, place: Option<InFlight>) -> Response<'r> {
    let mut response =
        full_response(problem.status, PROBLEM_JSON.to_owned(), problem.body(), place);
    set_outcome(&mut response, problem.outcome);
    if let Some(after) = problem.retry_after {
        let after_ms = millis(after);
        // The standard header has a resolution of one second. Common client libraries prefer the second
        // header.
        response.set_raw_header("Retry-After", after_ms.div_ceil(MS_PER_S).to_string());
        response.set_raw_header("Retry-After-Ms", after_ms.to_string());
    }
    let should_retry = problem.retry_after.is_some();
    response.set_raw_header("X-Should-Retry", should_retry.to_string());
    response
}

fn set_outcome(response: &mut Response<'_>, outcome: Outcome) {
    response.set_raw_header(headers::OUTCOME, outcome.to_string());
}

fn set_headers(response: &mut Response<'_>, metadata: ResponseMetadata) {
    if let Some(request) = metadata.request {
        response.set_raw_header(headers::REQUEST_ID, request.to_string());
    }
    if let Some(target) = metadata.target {
        response.set_raw_header(headers::TARGET, target);
    }
    if let Some(session) = metadata.session {
        response.set_raw_header(headers::SESSION, session);
    }
}
