//! The bodies of answers to callers.

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;

use crate::request::Relay;
use crate::request::RelayError;
use crate::request::WholeReply;
use crate::state::InProgressGuard;

/// The body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, RelayError>;

/// An upstream's whole reply, as it is.
pub(crate) fn whole(reply: WholeReply) -> Response<AnswerBody> {
    let body = Full::new(reply.body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// An event stream. When it breaks, the connection is closed without the end of the
/// body, so that it does not look complete.
pub(crate) fn stream(relay: Box<Relay>, counted: InProgressGuard) -> Response<AnswerBody> {
    let (status, headers) = relay.head();
    let frames = stream::try_unfold((relay, counted), |(mut relay, counted)| async move {
        let events = relay.next().await?;
        Ok::<_, RelayError>(events.map(|bytes| (Frame::data(bytes), (relay, counted))))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
