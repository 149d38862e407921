//! A connection that tells an observer what is read from it and written to it.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Learns what is read from a connection and written to it. An error breaks the connection.
pub(crate) trait Observer: Unpin {
    /// Something is about to be read.
    ///
    /// # Errors
    /// Fails when no more may be read.
    fn reading(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// So many bytes were read into a buffer with so much room.
    ///
    /// # Errors
    /// Fails when they were too many.
    fn read(&mut self, bytes: usize, room_bytes: usize) -> io::Result<()>;

    /// So many bytes were written.
    fn written(&mut self, _bytes: usize) {}
}

/// A connection that tells an observer what is read from it and written to it.
#[derive(Debug)]
pub(crate) struct ObservedIo<O> {
    io: TcpStream,
    observer: O,
}

impl<O> ObservedIo<O> {
    pub(crate) fn new(io: TcpStream, observer: O) -> Self {
        Self { io, observer }
    }
}

impl<O: Observer> AsyncRead for ObservedIo<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.observer.reading()?;
        let room_bytes = buffer.remaining();
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        Poll::Ready(self.observer.read(room_bytes - buffer.remaining(), room_bytes))
    }
}

impl<O: Observer> AsyncWrite for ObservedIo<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(context, bytes))?;
        self.observer.written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write_vectored(context, buffers))?;
        self.observer.written(written);
        Poll::Ready(Ok(written))
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
