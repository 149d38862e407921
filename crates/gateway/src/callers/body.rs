//! Reads the body of a caller's request.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::rejection::Rejection;

/// Reads a whole body into one buffer: a part by itself keeps the buffer of the connection that it was cut from.
///
/// # Errors
/// Fails when the body is larger than `max_bytes`, or does not come whole.
pub(super) async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Rejection> {
    let hint = body.size_hint();
    if hint.lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::BodyIncomplete)?;
        let Some(part) = frame.data_ref() else {
            continue;
        };
        if part.len() > max_bytes - bytes.len() {
            return Err(Rejection::BodyTooLarge);
        }
        bytes.extend_from_slice(part);
    }
    Ok(bytes.into())
}
