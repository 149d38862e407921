//! A connection whose written bytes are counted.
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

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
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

/// A connection that records whether bytes were written to it.
#[derive(Debug)]
pub(super) struct CountedIo {
    io: TokioIo<TcpStream>,
    written_bytes: WrittenBytes,
}

impl CountedIo {
    pub(super) fn new(stream: TcpStream, written_bytes: WrittenBytes) -> Self {
        Self { io: TokioIo::new(stream), written_bytes }
    }
}

impl Read for CountedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for CountedIo {
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
