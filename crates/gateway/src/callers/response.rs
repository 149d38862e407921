//! Responses to callers that forward an upstream's response.

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use tokio_util::sync::CancellationToken;

use super::connections::PinnedConnection;
use crate::request::CompleteResponse;
use crate::request::Relay;
use crate::request::RelayError;
use crate::state::InProgressGuard;

/// Body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, RelayError>;

/// What lasts until a response is made: the request is in progress, and the connection stays open.
pub(super) type ResponseGuards = (InProgressGuard, PinnedConnection);

/// Forwards an upstream's complete response unchanged. If the caller does not read it and its memory is needed for others,
/// `evicted` is cancelled.
pub(crate) fn complete(
    reply: CompleteResponse,
    evicted: CancellationToken,
) -> Response<ResponseBody> {
    let body = Full::new(reply.body.unprotect(evicted)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Forwards an event stream. When it breaks, the connection is closed without the end of the body, so that the
/// caller does not take the response for complete.
pub(super) fn stream(relay: Box<Relay>, guards: ResponseGuards) -> Response<ResponseBody> {
    let (status, headers) = relay.head();
    let frames = stream::try_unfold((relay, guards), |(mut relay, guards)| async move {
        let events = relay.next().await?;
        Ok::<_, RelayError>(events.map(|bytes| (Frame::data(bytes), (relay, guards))))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
