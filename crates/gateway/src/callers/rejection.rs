//! Responses that the gateway generates itself.

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

use super::response::ResponseBody;
use crate::dialect::CallError;
use crate::request::AbandonReason;

/// Why a request was not forwarded. The text is the body of the response.
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub(crate) enum Rejection {
    /// the request cannot be read: {0}
    Unreadable(CallError),
    /// the head of the request is too large
    HeadTooLarge,
    /// the body of the request is too large
    BodyTooLarge,
    /// the body of the request did not come whole
    BodyIncomplete,
    /// the body of the request did not come in its time
    BodyLate,
    /// no route fits the host and the path
    NoRoute,
    /// the key is missing or not known
    NoKey,
    /// this entry does not know the configuration yet
    ConfigUnknown,
    /// this entry is stopping
    Stopping,
    /// this entry has no memory for the request
    NoMemory,
}

/// `Retry-After` of a gateway that is stopping. Callers that still reach it do so because no other gateway is ready,
/// and a gateway that restarts has to finish its streams first. Of 1, 1.7, 2.5 and 4 s, 4 s leaves the
/// fewest requests without service while all gateways restart in turn.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(4_000);

/// `Retry-After` of a gateway that does not know the configuration.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of a gateway without memory for a request: about the time that the large bodies of others take.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Rejection {
    pub(crate) fn response(&self) -> Response<ResponseBody> {
        let status = match self {
            Self::Unreadable(_) | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::ConfigUnknown | Self::Stopping | Self::NoMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        };
        let mut response = text_response(status, &self.to_string());
        match self {
            Self::ConfigUnknown => set_retry_after(&mut response, CONFIG_RETRY_AFTER),
            Self::Stopping => set_retry_after(&mut response, STOPPING_RETRY_AFTER),
            Self::NoMemory => {
                set_retry_after(&mut response, MEMORY_RETRY_AFTER);
                set_close(&mut response);
            }
            // The following bytes on the connection may belong to the request that was not read.
            Self::Unreadable(_)
            | Self::HeadTooLarge
            | Self::BodyTooLarge
            | Self::BodyIncomplete
            | Self::BodyLate => {
                set_close(&mut response);
            }
            Self::NoRoute | Self::NoKey => {}
        }
        response
    }
}

/// Response to a request that was abandoned.
pub(crate) fn abandoned_response(abandon_reason: AbandonReason) -> Response<ResponseBody> {
    let status = match abandon_reason {
        AbandonReason::NotRun { .. }
        | AbandonReason::HeldBack { .. }
        | AbandonReason::NotAllowed { .. } => StatusCode::SERVICE_UNAVAILABLE,
        AbandonReason::Lost => StatusCode::BAD_GATEWAY,
        AbandonReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = text_response(status, &abandon_reason.to_string());
    if let Some(retry_after) = abandon_reason.retry_after() {
        set_retry_after(&mut response, retry_after);
    }
    response
}

fn text_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    let body = Full::new(Bytes::from(format!("{message}\n")));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn set_close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn set_retry_after(response: &mut Response<ResponseBody>, after: Duration) {
    // Rounded up: a caller that retries too early is rejected again.
    let hundredths = (after.as_secs_f64() * 100.0).ceil();
    let seconds = format!("{:.2}", hundredths / 100.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}
