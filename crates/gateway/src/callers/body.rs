//! Reads the body of a caller's request.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use stallhoist_http::caller_memory::BufferError;
use stallhoist_http::caller_memory::Reservation;
use stallhoist_http::caller_memory::ReservedBuffer;

use super::rejection::Rejection;

/// Reads a whole body into one buffer: a part by itself keeps the buffer of the connection that it was cut from.
///
/// # Errors
/// Fails when the body is larger than `max_bytes`, does not come whole, or there is no memory for it.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    reservation: Reservation,
) -> Result<Bytes, Rejection> {
    let hint = body.size_hint();
    if hint.lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let evicted = reservation.eviction_signal();
    let buffer = ReservedBuffer::new(reservation, max_bytes, hint.exact());
    let buffer = tokio::select! {
        buffer = read_into(body, buffer) => buffer?,
        () = evicted.cancelled() => return Err(Rejection::NoMemory),
    };
    Ok(buffer.finish().map_err(|_| Rejection::NoMemory)?.into_bytes())
}

async fn read_into(
    mut body: Incoming,
    mut buffer: ReservedBuffer,
) -> Result<ReservedBuffer, Rejection> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::BodyIncomplete)?;
        if let Some(part) = frame.data_ref() {
            buffer.push(part).await.map_err(|error| match error {
                BufferError::TooLong => Rejection::BodyTooLarge,
                BufferError::NoMemory(_) => Rejection::NoMemory,
            })?;
        }
    }
    Ok(buffer)
}
