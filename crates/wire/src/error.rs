//! What can go wrong on a connection.

use std::io;

use displaydoc::Display;

/// What can go wrong with a frame. Each closes the connection it came on, and no other.
#[derive(Debug, Display, thiserror::Error)]
pub enum WireError {
    /// the connection failed
    Io(#[from] io::Error),
    /// a frame is not a message of this protocol
    Garbled(#[from] prost::DecodeError),
    /// a frame without a body
    EmptyFrame,
    /// field '{0}' of a message is missing or not valid
    BadField(&'static str),
    /// the connection is closed
    Closed,
}

/// Why a handshake failed.
#[derive(Debug, Display, thiserror::Error)]
pub enum HandshakeError {
    /// the connection failed
    Wire(#[from] WireError),
    /// the peer did not finish the handshake in time
    TimedOut,
    /// the peer sent something else than the handshake asks for
    Unexpected,
    /// the peer speaks protocol version {0}, this process {1}
    Version(u32, u32),
    /// the peer does not hold the fleet key
    WrongKey,
}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> Self {
        Self::Wire(WireError::Io(error))
    }
}
