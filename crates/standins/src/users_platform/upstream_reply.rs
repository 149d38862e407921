//! The replies of an upstream, good and bad.

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

/// A whole reply without the platform's headers.
pub(super) fn plain(status: StatusCode, body: &str) -> Response<Body> {
    let body = Full::new(Bytes::from(body.to_owned()));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// A whole reply that repeats the id of its request and carries the proof.
pub(super) fn sealed(status: StatusCode, id: &str, body: &str) -> Response<Body> {
    let mut response = plain(status, body);
    let headers = response.headers_mut();
    headers.insert("response-seal", HeaderValue::from_static("seal.1"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("request-id", id);
    }
    response
}

/// A promise that the request has not run.
pub(super) fn not_executed() -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "full");
    response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
    response
}

/// A success that lacks the upstream's proof.
pub(super) fn unsealed(id: &str) -> Response<Body> {
    let mut response = sealed(StatusCode::OK, id, "unsealed");
    response.headers_mut().remove("response-seal");
    response
}

/// Half of an answer, after which the connection is cut.
pub(super) fn cut_body(id: &str) -> Response<Body> {
    let pieces = [
        Ok(Frame::data(Bytes::from_static(b"half of an ans"))),
        Err(io::Error::other("cut in the middle")),
    ];
    let mut response = sealed(StatusCode::OK, id, "");
    *response.body_mut() = StreamBody::new(stream::iter(pieces)).boxed_unsync();
    response
}

/// The time before each event of a stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    pub(super) idle_pause: Duration,
    pub(super) pause_per_request: Duration,
}

impl Pace {
    fn pause(self, running: &Running) -> Duration {
        self.idle_pause + self.pause_per_request * running.count()
    }
}

/// The events of a stream that are still to come.
pub(super) struct Events {
    pub(super) next: u64,
    pub(super) last: u64,
    pub(super) pace: Pace,
    pub(super) truncate_after: Option<u64>,
    pub(super) running: Running,
}

impl Events {
    async fn next(mut self) -> io::Result<Option<(Frame<Bytes>, Self)>> {
        if self.next > self.last {
            self.running.is_finished = true;
            return Ok(None);
        }
        tokio::time::sleep(self.pace.pause(&self.running)).await;
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

/// As engines do, sends the head together with the first event.
pub(super) async fn streamed(id: &str, confidence: Option<u8>, events: Events) -> Response<Body> {
    tokio::time::sleep(events.pace.pause(&events.running)).await;
    let mut response = sealed(StatusCode::OK, id, "");
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    if let Some(confidence) = confidence {
        headers.insert("confidence", HeaderValue::from(u16::from(confidence)));
    }
    let frames = stream::try_unfold(events, Events::next);
    *response.body_mut() = StreamBody::new(frames).boxed_unsync();
    response
}

/// The same; the head tells the load: requests running, waiting, and places.
pub(super) async fn with_load(id: &str, events: Events) -> Response<Body> {
    let load = format!("{},0,{}", events.running.count(), u32::MAX);
    let mut response = streamed(id, None, events).await;
    if let Ok(load) = HeaderValue::from_str(&load) {
        response.headers_mut().insert("server-load", load);
    }
    response
}
