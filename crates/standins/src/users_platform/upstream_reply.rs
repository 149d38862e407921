//! Responses of an upstream, valid and invalid.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;

use super::server::Body;
use super::upstream::Running;

/// Builds a complete response without the platform's headers.
pub(super) fn plain(status: StatusCode, body: &str) -> Response<Body> {
    let body = Full::new(Bytes::from(body.to_owned()));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Builds a complete response with the request's ID and a seal.
pub(super) fn sealed(status: StatusCode, id: &str, body: &str) -> Response<Body> {
    let mut response = plain(status, body);
    let headers = response.headers_mut();
    headers.insert("response-seal", HeaderValue::from_static("seal.1"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("request-id", id);
    }
    response
}

/// Builds a response that declares the request not executed.
pub(super) fn not_executed() -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "full");
    response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
    response
}

/// Builds a successful response without a seal.
pub(super) fn unsealed(id: &str) -> Response<Body> {
    let mut response = sealed(StatusCode::OK, id, "unsealed");
    response.headers_mut().remove("response-seal");
    response
}

/// Builds a response whose body breaks off halfway with an aborted connection.
pub(super) fn cut_body(id: &str) -> Response<Body> {
    let pieces = [
        Ok(Frame::data(Bytes::from_static(b"half of an ans"))),
        Err(io::Error::other("connection aborted within the body")),
    ];
    let mut response = sealed(StatusCode::OK, id, "");
    *response.body_mut() = StreamBody::new(stream::iter(pieces)).boxed_unsync();
    response
}

/// Builds a response of which nothing follows the head.
pub(super) fn head_only(id: &str) -> Response<Body> {
    let mut response = sealed(StatusCode::OK, id, "");
    *response.body_mut() = StreamBody::new(stream::pending()).boxed_unsync();
    response
}

/// Time before each event of a stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct EventInterval {
    pub(super) idle_pause: Duration,
    pub(super) pause_per_request: Duration,
}

impl EventInterval {
    fn pause(self, running: &Running) -> Duration {
        self.idle_pause + self.pause_per_request * running.count()
    }
}

/// Remaining events of a stream.
pub(super) struct EventStream {
    pub(super) next: u64,
    pub(super) last: u64,
    pub(super) interval: EventInterval,
    pub(super) truncate_after: Option<u64>,
    pub(super) running: Running,
}

impl EventStream {
    async fn next(mut self) -> io::Result<Option<(Frame<Bytes>, Self)>> {
        if self.next > self.last {
            self.running.is_finished = true;
            return Ok(None);
        }
        tokio::time::sleep(self.interval.pause(&self.running)).await;
        let number = self.next;
        match self.truncate_after {
            Some(last) if number == last + 1 => {
                self.next += 1;
                Ok(Some((Frame::data(Bytes::from(format!("id: {number}\nda"))), self)))
            }
            Some(last) if number > last + 1 => Err(io::Error::other("torn")),
            _ => {
                self.next += 1;
                let event = format!("id: {number}\ndata: event {number}\n\n");
                Ok(Some((Frame::data(Bytes::from(event)), self)))
            }
        }
    }
}

/// Streams events. Like an engine, sends the headers together with the first event.
pub(super) async fn streamed(
    id: &str,
    confidence: Option<u8>,
    events: EventStream,
) -> Response<Body> {
    tokio::time::sleep(events.interval.pause(&events.running)).await;
    let mut response = sealed(StatusCode::OK, id, "");
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    if let Some(confidence) = confidence {
        headers.insert("confidence", HeaderValue::from(u16::from(confidence)));
    }
    let frames = stream::try_unfold(events, EventStream::next);
    *response.body_mut() = StreamBody::new(frames).boxed_unsync();
    response
}

/// Like [`streamed`], with a header that reports the load: running requests, queued requests, slots and
/// pace.
pub(super) async fn streamed_with_load(
    id: &str,
    pace_percent: u32,
    events: EventStream,
) -> Response<Body> {
    let load = format!("{},0,{},{pace_percent}", events.running.count(), u32::MAX);
    let mut response = streamed(id, None, events).await;
    if let Ok(load) = HeaderValue::from_str(&load) {
        response.headers_mut().insert("server-load", load);
    }
    response
}
