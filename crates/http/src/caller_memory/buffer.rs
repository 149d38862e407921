//! A buffer for a body that comes in parts.

use std::time::Duration;

use displaydoc::Display;

use super::NoMemory;
use super::Reservation;
use super::ReservedBytes;

/// The smallest buffer.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// How long a response waits for room: most others are read by their callers within this time.
const RESPONSE_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// Why a part of a body cannot be kept.
#[derive(Debug, Display, thiserror::Error)]
pub enum BufferError {
    /// the body is too long
    TooLong,
    /// {0}
    NoMemory(#[from] NoMemory),
}

/// A buffer whose capacity is reserved.
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    /// What the reservation held before.
    other_bytes: usize,
    max_bytes: usize,
    /// The capacity is not doubled beyond this.
    expected_bytes: usize,
}

impl ReservedBuffer {
    /// A buffer for up to `max_bytes`, of which `announced` are expected. They are not trusted: it grows with what comes.
    pub fn new(reservation: Reservation, max_bytes: usize, announced: Option<u64>) -> Self {
        let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
        Self {
            bytes: Vec::new(),
            other_bytes: reservation.bytes(),
            reservation,
            max_bytes,
            expected_bytes: announced.unwrap_or(max_bytes),
        }
    }

    /// Adds a part of a request's body.
    ///
    /// # Errors
    /// Fails when the body is too long, or there is no room for it.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), BufferError> {
        if let Some(capacity) = self.capacity_for(part)? {
            self.reservation.grow(self.other_bytes + capacity).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Adds a part of a response's body, and waits for some time until there is room for it.
    ///
    /// # Errors
    /// As [`push`](Self::push).
    pub async fn push_response(&mut self, part: &[u8]) -> Result<(), BufferError> {
        let waits = tokio::time::Instant::now() + RESPONSE_WAIT_LIMIT;
        loop {
            match self.push(part).await {
                Err(BufferError::NoMemory(_)) if tokio::time::Instant::now() < waits => {
                    let _ = tokio::time::timeout_at(waits, self.reservation.another_ended()).await;
                }
                pushed => return pushed,
            }
        }
    }

    /// The capacity that is needed for a part; none if it has room.
    fn capacity_for(&self, part: &[u8]) -> Result<Option<usize>, BufferError> {
        let size = self.bytes.len() + part.len();
        if size > self.max_bytes {
            return Err(BufferError::TooLong);
        }
        let capacity = self.bytes.capacity();
        let doubled = (capacity * 2).max(MIN_BUFFER_BYTES).min(self.expected_bytes);
        Ok((size > capacity).then(|| doubled.max(size)))
    }

    /// The bytes of a whole body, which is not evicted.
    ///
    /// # Errors
    /// Fails when it was evicted before.
    pub fn finish(self) -> Result<ReservedBytes, NoMemory> {
        self.reservation.protect()?;
        Ok(ReservedBytes::new(self.bytes, self.reservation))
    }
}
