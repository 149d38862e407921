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

use super::messages::Answer;
use super::messages::Ask;
use super::messages::MAX_MESSAGE_BYTES;

/// How long a connection to another entry may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection whose messages carry their length.
pub(super) type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a connection to another entry ended.
#[derive(Debug, Display, thiserror::Error)]
pub(super) enum PeerError {
    /// the connection broke: {0}
    Broken(#[from] io::Error),
    /// a message cannot be read: {0}
    Unreadable(#[from] prost::DecodeError),
    /// the other end closed the connection
    Closed,
    /// nothing came in time
    TimedOut,
    /// the answer was given up after {received_bytes} bytes
    GivenUp {
        /// What had come of it.
        received_bytes: usize,
    },
}

/// Connects to another entry.
pub(super) async fn connect(addr: SocketAddr) -> Result<Connection, PeerError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_| PeerError::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(framed(stream))
}

/// Puts messages on a stream.
pub(super) fn framed(stream: TcpStream) -> Connection {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Asks, and waits for the answer.
pub(super) async fn exchange(connection: &mut Connection, ask: &Ask) -> Result<Answer, PeerError> {
    connection.send(Bytes::from(ask.encode_to_vec())).await?;
    let frame = connection.next().await.ok_or(PeerError::Closed)??;
    Ok(Answer::decode(frame)?)
}
