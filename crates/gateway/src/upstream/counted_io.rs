//! A connection whose bytes are counted.
//!
//! An upstream in trouble may send bytes without end in place of the head of a response, also interim responses, which are
//! passed over.
//!
//! An upstream that has more connections than it accepts resets the surplus ones. Where the reset arrives before the
//! first byte was written, the write fails, and the request provably did not run.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether bytes were written to a connection.
#[derive(Debug, Clone, Default)]
pub(super) struct WrittenBytes(Arc<AtomicBool>);

impl WrittenBytes {
    /// Whether no byte was written.
    pub(super) fn is_none(&self) -> bool {
        !self.0.load(Ordering::Acquire)
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
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

/// A connection that records whether bytes were written to it, and limits what is read before the head of the response.
#[derive(Debug)]
pub(super) struct CountedIo {
    io: TcpStream,
    written_bytes: WrittenBytes,
    head_limit: HeadLimit,
    read_bytes: usize,
}

impl CountedIo {
    pub(super) fn new(
        stream: TcpStream,
        written_bytes: WrittenBytes,
        head_limit: HeadLimit,
    ) -> Self {
        Self { io: stream, written_bytes, head_limit, read_bytes: 0 }
    }
}

impl AsyncRead for CountedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_limit.is_exceeded_by(self.read_bytes) {
            let error = "the upstream sent too much before the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        self.read_bytes = self.read_bytes.saturating_add(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for CountedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.written_bytes.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.written_bytes.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
