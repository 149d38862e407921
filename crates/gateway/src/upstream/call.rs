//! Sends one request to an upstream and receives its response.

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use stallhoist_http::caller_memory::BufferError;
use stallhoist_http::caller_memory::Reservation;
use stallhoist_http::caller_memory::ReservedBuffer;
use stallhoist_http::caller_memory::ReservedBytes;

use super::SendError;
use super::connection::Connection;
use super::connection::Driver;
use crate::event_frames::EventBuffer;
use crate::event_frames::EventFrames;
use crate::event_frames::EventTooLong;

/// A request to an upstream.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A response whose body has not been read. Dropping it closes the connection, by which the upstream learns
/// that the caller has gone.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    driver: Driver,
    /// Whether an event has been received.
    has_event: bool,
}

impl OpenResponse {
    /// Waits until at least one more event is complete. None at the end of the stream.
    ///
    /// # Errors
    /// Fails when the connection breaks, an event is too long, or the stream ends inside one. A stream that ends with
    /// its connection and before its first event was cut as well: nothing else tells a whole one from one whose upstream
    /// has crashed.
    pub(crate) async fn next_events(
        &mut self,
        events: &mut EventBuffer,
    ) -> Result<Option<EventFrames>, StreamError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(StreamError::Broken)?;
            let complete = match frame.data_ref() {
                Some(data) => events.push(data).map_err(StreamError::TooLong)?,
                None => None,
            };
            if complete.is_some() {
                self.has_event = true;
                return Ok(complete);
            }
        }
        if events.is_inside_event() || !self.has_event && self.ends_with_connection() {
            return Err(StreamError::IncompleteEvent);
        }
        Ok(None)
    }

    /// Closes the connection. What has not been read is lost.
    pub(crate) fn close(&self) {
        self.driver.close();
    }

    /// Whether the body has neither a length nor chunks.
    fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// Fails when the connection breaks, the body is longer than `max_bytes`, or there is no memory for it.
    pub(crate) async fn read_to_end(
        self,
        max_bytes: usize,
        reservation: Reservation,
    ) -> Result<(response::Parts, ReservedBytes), ReadError> {
        let Self { head, mut body, driver, .. } = self;
        let mut buffer = ReservedBuffer::new(reservation, max_bytes, body.size_hint().exact());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(ReadError::Broken)?;
            if let Some(part) = frame.data_ref() {
                buffer.push_response(part).await.map_err(ReadError::NotKept)?;
            }
        }
        drop(driver);
        let body = buffer.finish().map_err(|error| ReadError::NotKept(error.into()))?;
        Ok((head, body))
    }
}

/// Why a body could not be read.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum ReadError {
    /// the connection broke: {0}
    Broken(hyper::Error),
    /// {0}
    NotKept(BufferError),
}

/// Why an event stream is incomplete.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum StreamError {
    /// the connection broke: {0}
    Broken(hyper::Error),
    /// the stream ended inside an event, or without any
    IncompleteEvent,
    /// {0}
    TooLong(EventTooLong),
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
/// Fails when the connection closes or breaks first; the error says whether the request was sent.
pub(crate) async fn send(
    mut connection: Connection,
    outgoing: Outgoing,
) -> Result<OpenResponse, SendError> {
    let mut request = Request::new(Full::new(outgoing.body));
    *request.method_mut() = outgoing.method;
    *request.uri_mut() = outgoing.target;
    *request.headers_mut() = outgoing.headers;
    match connection.sender.try_send_request(request).await {
        Ok(response) => {
            connection.head_limit.lift();
            let (head, body) = response.into_parts();
            Ok(OpenResponse { head, body, driver: connection.driver, has_event: false })
        }
        Err(mut error) => match error.take_message() {
            Some(_) => Err(SendError::NotSent),
            None if connection.written_bytes.is_none() => Err(SendError::NotSent),
            None => Err(SendError::Broken(error.into_error())),
        },
    }
}
