//! Counts the bytes of a connection to an upstream.
//!
//! An upstream in trouble may send bytes without end in place of the head of a response, also interim responses, which are
//! passed over.
//!
//! An upstream that has more connections than it accepts resets the surplus ones. Where the reset arrives before the
//! first byte was written, the write fails, and the request provably did not run.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::observed_io::Observer;

/// Whether bytes were written to a connection.
#[derive(Debug, Clone, Default)]
pub(super) struct WrittenBytes(Arc<AtomicBool>);

impl WrittenBytes {
    /// Whether no byte was written.
    pub(super) fn is_none(&self) -> bool {
        !self.0.load(Ordering::Acquire)
    }

    fn record(&self, bytes: usize) {
        if bytes > 0 {
            self.0.store(true, Ordering::Release);
        }
    }
}

/// The bytes that may be read before the head of a response is complete. Some of its body may be among them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// The limit of what is read before the head of the response.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadLimit {
    is_lifted: Arc<AtomicBool>,
}

impl HeadLimit {
    /// The head is there.
    pub(super) fn lift(&self) {
        self.is_lifted.store(true, Ordering::Release);
    }

    fn is_exceeded_by(&self, bytes: usize) -> bool {
        bytes > MAX_HEAD_BYTES && !self.is_lifted.load(Ordering::Acquire)
    }
}

/// Records whether bytes were written, and limits what is read before the head of the response.
#[derive(Debug)]
pub(super) struct HeadBytes {
    written_bytes: WrittenBytes,
    head_limit: HeadLimit,
    read_bytes: usize,
}

impl HeadBytes {
    pub(super) fn new(written_bytes: WrittenBytes, head_limit: HeadLimit) -> Self {
        Self { written_bytes, head_limit, read_bytes: 0 }
    }
}

impl Observer for HeadBytes {
    fn reading(&mut self) -> io::Result<()> {
        if self.head_limit.is_exceeded_by(self.read_bytes) {
            let error = "the upstream sent too much before the head of a response";
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(())
    }

    fn read(&mut self, bytes: usize, _room_bytes: usize) -> io::Result<()> {
        self.read_bytes = self.read_bytes.saturating_add(bytes);
        Ok(())
    }

    fn written(&mut self, bytes: usize) {
        self.written_bytes.record(bytes);
    }
}
