//! Connections between entries.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use super::messages::MAX_MESSAGE_BYTES;
use super::messages::PeerRequest;
use super::response::PeerResponse;
use crate::control_store::MAX_TRANSFER_TIME;
use crate::tcp::TcpTimeouts;
use crate::tcp::set_socket_options;

/// How long a connection to another entry may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an answer that has begun to come may rest before it is given up. An answer is judged
/// by its progress, never by the time that it takes in all: one that was given up half way began
/// anew elsewhere, with as little time, so that a configuration of 0.3 MB never came over links
/// that carry ten copies of it in three seconds. Packets that are lost are sent again within this time.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// When the host at the other end is taken for gone. The one that asks has shorter waits of its
/// own; this ends what is kept for one that has gone without a word.
const PEER_TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_idle: Duration::from_secs(2),
    probes: 3,
    ack_timeout: Duration::from_secs(5),
};

/// A connection whose messages carry their length.
pub(super) type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a connection to another entry ended.
#[derive(Debug, Display, thiserror::Error)]
pub(super) enum PeerError {
    /// the connection broke: {0}
    Broken(#[from] io::Error),
    /// a message cannot be read: {0}
    Unreadable(#[from] prost::DecodeError),
    /// a value cannot be unpacked: {0}
    Unpackable(io::Error),
    /// the other end closed the connection
    Closed,
    /// nothing came in time
    TimedOut,
    /// the answer was given up after {received_bytes} bytes
    Stalled {
        /// What had come of it.
        received_bytes: usize,
    },
}

/// Connects to another entry.
pub(super) async fn connect(addr: SocketAddr) -> Result<Connection, PeerError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_| PeerError::TimedOut)??;
    framed(stream)
}

/// Puts messages on a stream.
///
/// # Errors
/// Fails when the connection has ended already.
pub(super) fn framed(stream: TcpStream) -> Result<Connection, PeerError> {
    set_socket_options(&stream, PEER_TCP_TIMEOUTS)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

/// Sends an answer, as long as the one that asked takes it.
pub(super) async fn send(
    connection: &mut Connection,
    response: &PeerResponse,
) -> Result<(), PeerError> {
    let sending = connection.send(Bytes::from(response.encode_to_vec()));
    let sent = tokio::time::timeout(MAX_TRANSFER_TIME, sending).await;
    Ok(sent.map_err(|_| PeerError::TimedOut)??)
}

/// Asks, and waits for the answer, which begins within this time and comes without long rests.
pub(super) async fn exchange(
    connection: &mut Connection,
    request: &PeerRequest,
    start_timeout: Duration,
) -> Result<PeerResponse, PeerError> {
    let sending = connection.send(Bytes::from(request.encode_to_vec()));
    tokio::time::timeout(start_timeout, sending).await.map_err(|_| PeerError::TimedOut)??;
    let receiving = tokio::time::timeout(MAX_TRANSFER_TIME, receive(connection, start_timeout));
    receiving.await.map_err(|_| PeerError::TimedOut)?
}

/// Asks an entry once, on a connection of its own.
pub(super) async fn request_once(
    addr: SocketAddr,
    request: &PeerRequest,
    start_timeout: Duration,
) -> Result<PeerResponse, PeerError> {
    exchange(&mut connect(addr).await?, request, start_timeout).await
}

/// Receives an answer as long as more of it comes.
async fn receive(
    connection: &mut Connection,
    start_timeout: Duration,
) -> Result<PeerResponse, PeerError> {
    let mut received_bytes = 0;
    let mut rest = start_timeout;
    loop {
        match tokio::time::timeout(rest, connection.next()).await {
            Ok(frame) => return Ok(PeerResponse::decode(frame.ok_or(PeerError::Closed)??)?),
            Err(_) if connection.read_buffer().len() == received_bytes => {
                return Err(PeerError::Stalled { received_bytes });
            }
            Err(_) => received_bytes = connection.read_buffer().len(),
        }
        rest = STALL_TIMEOUT;
    }
}
