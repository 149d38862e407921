//! Counts the request heads that a caller's connection reads: a head takes memory before there is a request.

use std::io;
use std::sync::Arc;

use parking_lot::Mutex;
use stallhoist_http::caller_memory::CallerMemory;
use stallhoist_http::caller_memory::Reservation;
use tokio_util::sync::CancellationToken;

use crate::observed_io::Observer;

#[derive(Debug, Default)]
struct Reading {
    /// The reservation of the head that is being read.
    reservation: Option<Reservation>,
    head_bytes: usize,
    /// Whether a request is in progress.
    has_request: bool,
}

/// The head that a connection reads, shared by its I/O and its handler.
#[derive(Debug)]
pub(super) struct RequestHead {
    memory: Arc<CallerMemory>,
    reading: Mutex<Reading>,
    evicted: CancellationToken,
}

impl RequestHead {
    /// `evicted` is cancelled when the head is evicted.
    pub(super) fn new(memory: Arc<CallerMemory>, evicted: CancellationToken) -> Self {
        Self { memory, reading: Mutex::default(), evicted }
    }

    /// The reservation of a request whose head was read.
    pub(super) fn take(&self) -> Reservation {
        let mut reading = self.reading.lock();
        reading.has_request = true;
        reading.head_bytes = 0;
        let evicted = CancellationToken::new();
        match reading.reservation.take() {
            Some(reservation) => reservation.signal(evicted),
            None => self.memory.open_request(evicted),
        }
    }

    /// What is read from now on belongs to the next request.
    pub(super) fn expect_next(&self) {
        self.reading.lock().has_request = false;
    }

    /// Records that a part of a head was read into a buffer with so much room.
    ///
    /// # Errors
    /// Fails when there is no memory for the head.
    fn record(&self, bytes: usize, room_bytes: usize) -> io::Result<()> {
        let mut reading = self.reading.lock();
        if reading.has_request || bytes == 0 {
            return Ok(());
        }
        let buffer_bytes = reading.head_bytes + room_bytes;
        reading.head_bytes += bytes;
        let open = || self.memory.open_request(self.evicted.clone());
        let reservation = reading.reservation.get_or_insert_with(open);
        reservation
            .grow_now(buffer_bytes)
            .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))
    }
}

impl Observer for Arc<RequestHead> {
    fn read(&mut self, bytes: usize, room_bytes: usize) -> io::Result<()> {
        self.record(bytes, room_bytes)
    }
}
