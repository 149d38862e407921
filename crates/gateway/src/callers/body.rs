//! Reads the body of a caller's request.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::rejection::Rejection;
use crate::caller_memory::Claim;

/// The smallest buffer of a body.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Reads a whole body into one buffer: a part by itself keeps the buffer of the connection that it was cut from.
///
/// # Errors
/// Fails when the body is larger than `max_bytes`, does not come whole, or there is no memory for it.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    claim: Claim,
) -> Result<Bytes, Rejection> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let bytes = tokio::select! {
        bytes = read_into_buffer(body, max_bytes, &claim) => bytes?,
        () = claim.given_up() => return Err(Rejection::NoMemory),
    };
    claim.keep(bytes).map_err(|_| Rejection::NoMemory)
}

async fn read_into_buffer(
    mut body: Incoming,
    max_bytes: usize,
    claim: &Claim,
) -> Result<Vec<u8>, Rejection> {
    let announced = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let max_buffer_bytes = announced.unwrap_or(max_bytes);
    let head_bytes = claim.bytes();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::BodyIncomplete)?;
        let Some(part) = frame.data_ref() else {
            continue;
        };
        let size = bytes.len() + part.len();
        if size > max_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        if size > bytes.capacity() {
            // The announced length is not trusted: the buffer grows with what comes.
            let doubled = (bytes.capacity() * 2).max(MIN_BUFFER_BYTES).min(max_buffer_bytes);
            let capacity = doubled.max(size);
            claim.grow(head_bytes + capacity).await.map_err(|_| Rejection::NoMemory)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(part);
    }
    Ok(bytes)
}
