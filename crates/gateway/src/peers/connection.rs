//! Connections between gateways.

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

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time without progress while a response is being received. A transfer is bounded by its
/// progress, not by its total time: with a total limit, a transfer cancelled half way restarted at
/// another peer with as little time, so that a configuration of 0.3 MB never arrived over links
/// that carry ten copies of it in three seconds. Lost packets are retransmitted within this time.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Detects that the host at the other end has failed. The requesting side has shorter timeouts of
/// its own; these release the server's resources of a client that failed without closing.
const PEER_TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_idle: Duration::from_secs(2),
    probes: 3,
    ack_timeout: Duration::from_secs(5),
};

/// A connection with length-delimited messages.
pub(super) type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a connection to a peer failed.
#[derive(Debug, Display, thiserror::Error)]
pub(super) enum PeerError {
    /// the connection broke: {0}
    Broken(#[from] io::Error),
    /// a message cannot be decoded: {0}
    Unreadable(#[from] prost::DecodeError),
    /// a value cannot be unpacked: {0}
    Unpackable(io::Error),
    /// the peer closed the connection
    Closed,
    /// nothing came in time
    TimedOut,
    /// the answer was given up after {received_bytes} bytes
    Stalled {
        /// Bytes of the response received so far.
        received_bytes: usize,
    },
}

/// Connects to a peer.
pub(super) async fn connect(addr: SocketAddr) -> Result<Connection, PeerError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_| PeerError::TimedOut)??;
    framed(stream)
}

/// Wraps a stream in the message codec.
///
/// # Errors
/// Fails when the connection has already been closed.
pub(super) fn framed(stream: TcpStream) -> Result<Connection, PeerError> {
    set_socket_options(&stream, PEER_TCP_TIMEOUTS)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    Ok(Framed::new(stream, codec))
}

/// Sends a response, waiting as long as the peer reads it.
pub(super) async fn send(
    connection: &mut Connection,
    response: &PeerResponse,
) -> Result<(), PeerError> {
    let sending = connection.send(Bytes::from(response.encode_to_vec()));
    let sent = tokio::time::timeout(MAX_TRANSFER_TIME, sending).await;
    Ok(sent.map_err(|_| PeerError::TimedOut)??)
}

/// Sends a request and receives the response, which must start within `start_timeout` and then keep
/// making progress.
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

/// Sends one request on a new connection.
pub(super) async fn request_once(
    addr: SocketAddr,
    request: &PeerRequest,
    start_timeout: Duration,
) -> Result<PeerResponse, PeerError> {
    exchange(&mut connect(addr).await?, request, start_timeout).await
}

/// Receives a response as long as it makes progress.
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
