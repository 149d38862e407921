//! Answers of the gateway's own.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;

use super::answer::AnswerBody;
use crate::dialect::CallError;
use crate::request::AbandonReason;

/// Why a request was not forwarded.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub(crate) enum Rejection {
    /// the request cannot be read: {0}
    Unreadable(CallError),
    /// the head of the request is too large
    HeadTooLarge,
    /// the body of the request is too large
    BodyTooLarge,
    /// the body of the request did not come whole
    BodyBroken,
    /// no route fits the host and the path
    NoRoute,
    /// the key is missing or not known
    NoKey,
    /// this entry does not know the configuration yet
    NotInformed,
    /// this entry is stopping
    Stopping,
}

/// When callers of an entry that is stopping are told to come back. That they are still
/// sent here means that no other entry is ready, and one that restarts has to finish its
/// streams first. Of 1, 1.7, 2.5 and 4 s, 4 s left the fewest requests unserved on days on
/// which all entries stop in turn.
const ELSEWHERE_AFTER: Duration = Duration::from_millis(4_000);

/// When callers of an entry that does not know the configuration are told to come back.
const INFORMED_AFTER: Duration = Duration::from_millis(300);

impl Rejection {
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let status = match self {
            Self::Unreadable(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::NotInformed | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = text(status, &self.to_string());
        match self {
            Self::NotInformed => set_retry_after(&mut response, INFORMED_AFTER),
            Self::Stopping => set_retry_after(&mut response, ELSEWHERE_AFTER),
            // What follows on the connection may belong to the request that was not read.
            Self::Unreadable(_) | Self::HeadTooLarge | Self::BodyTooLarge | Self::BodyBroken => {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Self::NoRoute | Self::NoKey => {}
        }
        response
    }
}

/// The answer to a request that was given up.
pub(crate) fn given_up(give_up: AbandonReason) -> Response<AnswerBody> {
    let status = match give_up {
        AbandonReason::NotRun { .. }
        | AbandonReason::HeldBack { .. }
        | AbandonReason::NotAllowed { .. } => StatusCode::SERVICE_UNAVAILABLE,
        AbandonReason::Lost => StatusCode::BAD_GATEWAY,
        AbandonReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = text(status, &give_up.to_string());
    if let Some(retry_after) = give_up.retry_after() {
        set_retry_after(&mut response, retry_after);
    }
    response
}

fn text(status: StatusCode, message: &str) -> Response<AnswerBody> {
    let body = Full::new(Bytes::from(format!("{message}\n")));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn set_retry_after(response: &mut Response<AnswerBody>, after: Duration) {
    // Rounded up: who comes back too early is refused again.
    let hundredths = (after.as_secs_f64() * 100.0).ceil();
    let seconds = format!("{:.2}", hundredths / 100.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}
