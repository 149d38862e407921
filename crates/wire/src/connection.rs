//! The two halves of a connection after the handshake.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::FrameCodec;
use crate::WireError;
use crate::messages::frame::Body;

/// How many frames may wait for a slow peer before senders wait too.
const MAX_WAITING_FRAMES: usize = 1_024;

/// The receiving half.
#[derive(Debug)]
pub struct FrameReader {
    stream: SplitStream<Framed<TcpStream, FrameCodec>>,
    /// What has come of the message that is being received.
    begun_bytes: Arc<AtomicUsize>,
}

impl FrameReader {
    /// The next message; an error once the connection is closed or garbled.
    ///
    /// # Errors
    /// Any error ends the connection.
    pub async fn next(&mut self) -> Result<Body, WireError> {
        self.stream.next().await.ok_or(WireError::Closed)?
    }

    /// The next message, as long as the peer is not silent for longer than this. Bytes are a sign
    /// of life, whole messages or not: judged by messages, a peer whose link takes longer than
    /// that for a large one was taken for gone, connected again and sent it anew.
    ///
    /// # Errors
    /// Any error ends the connection, and so does silence.
    pub async fn next_within(&mut self, silence: Duration) -> Result<Body, WireError> {
        loop {
            let before = self.begun_bytes.load(Ordering::Relaxed);
            if let Ok(received) = tokio::time::timeout(silence, self.next()).await {
                return received;
            }
            if self.begun_bytes.load(Ordering::Relaxed) == before {
                return Err(WireError::Closed);
            }
        }
    }
}

/// The sending half, shared by all tasks that have something to say to the peer.
#[derive(Debug, Clone)]
pub struct FrameSender {
    frames: mpsc::Sender<Body>,
    sent_bytes: Arc<AtomicU64>,
    closing: CancellationToken,
}

impl FrameSender {
    /// Queues a message, waiting while the peer is slow.
    ///
    /// # Errors
    /// Fails once the connection is closed.
    pub async fn send(&self, body: Body) -> Result<(), WireError> {
        tokio::select! {
            sent = self.frames.send(body) => sent.map_err(|_| WireError::Closed),
            () = self.closing.cancelled() => Err(WireError::Closed),
        }
    }

    /// Queues a message if there is room at once.
    ///
    /// # Errors
    /// Fails when the connection is closed or the peer is slow.
    pub fn try_send(&self, body: Body) -> Result<(), WireError> {
        self.frames.try_send(body).map_err(|_| WireError::Closed)
    }

    /// Queues a message that must not be lost, or closes the connection: a peer that is
    /// so slow connects again and learns what it missed.
    pub fn send_or_close(&self, body: Body) {
        if self.frames.try_send(body).is_err() {
            self.close();
        }
    }

    /// Bytes of messages written so far, without the length prefixes.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed() || self.closing.is_cancelled()
    }

    /// Closes the connection for all that hold a sender.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.closing.cancelled() => {}
            () = self.frames.closed() => {}
        }
    }

    /// Whether both send on one connection.
    pub fn is_same_connection(&self, other: &Self) -> bool {
        self.frames.same_channel(&other.frames)
    }
}

/// Splits a connection and starts the task that writes to it. The task ends when the
/// last sender is dropped or the connection fails.
pub fn start_writer(framed: Framed<TcpStream, FrameCodec>) -> (FrameSender, FrameReader) {
    let begun_bytes = framed.codec().begun_bytes();
    let (mut sink, stream) = framed.split();
    let (frames, mut waiting) = mpsc::channel::<Body>(MAX_WAITING_FRAMES);
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&sent_bytes);
    let closing = CancellationToken::new();
    let closed = closing.clone();
    tokio::spawn(async move {
        let write = async {
            while let Some(body) = waiting.recv().await {
                count(&counter, &body);
                sink.feed(body).await?;
                // One flush for all that waits: fewer writes when the connection is busy.
                while let Ok(body) = waiting.try_recv() {
                    count(&counter, &body);
                    sink.feed(body).await?;
                }
                sink.flush().await?;
            }
            sink.close().await
        };
        tokio::select! {
            _ = write => {}
            () = closed.cancelled() => {}
        }
    });
    (FrameSender { frames, sent_bytes, closing }, FrameReader { stream, begun_bytes })
}

fn count(counter: &AtomicU64, body: &Body) {
    // What callers and upstreams say to each other is not control.
    if matches!(body, Body::Dispatch(_) | Body::Chunk(_) | Body::ResponseHead(_)) {
        return;
    }
    counter.fetch_add(body.encoded_len() as u64, Ordering::Relaxed);
}
