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

/// Maximum number of frames queued for a slow peer; beyond it senders wait.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// The receiving half of a connection.
#[derive(Debug)]
pub struct FrameReader {
    stream: SplitStream<Framed<TcpStream, FrameCodec>>,
    /// Number of bytes received of the incomplete frame.
    partial_frame_bytes: Arc<AtomicUsize>,
}

impl FrameReader {
    /// Receives the next message.
    ///
    /// # Errors
    /// Fails if the connection is closed or broken, or a frame is malformed. Any error ends the connection.
    pub async fn next(&mut self) -> Result<Body, WireError> {
        self.stream.next().await.ok_or(WireError::Closed)?
    }

    /// Receives the next message, unless the peer is silent for longer than `max_silence`. Received bytes show that
    /// the peer is alive even if they don't complete a message. If only complete messages counted, a peer whose link
    /// takes longer than `max_silence` for a large message would be disconnected, reconnect and send the message
    /// again.
    ///
    /// # Errors
    /// Fails as [`FrameReader::next`] does, and if the peer is silent for too long. Any error ends the connection.
    pub async fn next_within(&mut self, max_silence: Duration) -> Result<Body, WireError> {
        loop {
            let before = self.partial_frame_bytes.load(Ordering::Relaxed);
            if let Ok(received) = tokio::time::timeout(max_silence, self.next()).await {
                return received;
            }
            if self.partial_frame_bytes.load(Ordering::Relaxed) == before {
                return Err(WireError::Closed);
            }
        }
    }
}

/// The sending half of a connection, shared by all tasks that send to the peer.
#[derive(Debug, Clone)]
pub struct FrameSender {
    frames: mpsc::Sender<Body>,
    sent_bytes: Arc<AtomicU64>,
    closing: CancellationToken,
}

impl FrameSender {
    /// Queues a message; waits while the queue of a slow peer is full.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub async fn send(&self, body: Body) -> Result<(), WireError> {
        tokio::select! {
            sent = self.frames.send(body) => sent.map_err(|_| WireError::Closed),
            () = self.closing.cancelled() => Err(WireError::Closed),
        }
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    /// Fails if the connection is closed or the queue of a slow peer is full.
    pub fn try_send(&self, body: Body) -> Result<(), WireError> {
        self.frames.try_send(body).map_err(|_| WireError::Closed)
    }

    /// Queues a message that must not be lost, or closes the connection if the queue is full: the slow peer
    /// reconnects and receives the current state.
    pub fn send_or_close(&self, body: Body) {
        if self.frames.try_send(body).is_err() {
            self.close();
        }
    }

    /// Number of bytes of control messages sent so far, without length prefixes, requests and responses.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed() || self.closing.is_cancelled()
    }

    /// Closes the connection for all holders of a sender.
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

    /// Whether both senders belong to the same connection.
    pub fn is_same_connection(&self, other: &Self) -> bool {
        self.frames.same_channel(&other.frames)
    }
}

/// Splits a connection into its halves and spawns the task that writes to it. The task ends when the last sender is
/// dropped, the connection is closed or it fails.
pub fn start_writer(framed: Framed<TcpStream, FrameCodec>) -> (FrameSender, FrameReader) {
    let partial_frame_bytes = framed.codec().partial_frame_bytes();
    let (mut sink, stream) = framed.split();
    let (frames, mut queue) = mpsc::channel::<Body>(MAX_QUEUED_FRAMES);
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&sent_bytes);
    let closing = CancellationToken::new();
    let closed = closing.clone();
    tokio::spawn(async move {
        let write = async {
            while let Some(body) = queue.recv().await {
                count_control_bytes(&counter, &body);
                sink.feed(body).await?;
                // One flush for all queued frames: fewer writes when the connection is busy.
                while let Ok(body) = queue.try_recv() {
                    count_control_bytes(&counter, &body);
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
    (FrameSender { frames, sent_bytes, closing }, FrameReader { stream, partial_frame_bytes })
}

fn count_control_bytes(counter: &AtomicU64, body: &Body) {
    // Requests and responses of callers are payload, not control traffic.
    if matches!(body, Body::Dispatch(_) | Body::Chunk(_) | Body::ResponseHead(_)) {
        return;
    }
    counter.fetch_add(body.encoded_len() as u64, Ordering::Relaxed);
}
