//! Errors on a connection.

use std::io;

use displaydoc::Display;

/// Errors of sending or receiving frames. Each closes the connection on which it occurs, and no other.
#[derive(Debug, Display, thiserror::Error)]
pub enum WireError {
    /// connection failed
    Io(#[from] io::Error),
    /// frame is not a message of this protocol
    Malformed(#[from] prost::DecodeError),
    /// frame has no body
    EmptyFrame,
    /// field '{0}' of a message is missing or invalid
    BadField(&'static str),
    /// connection is closed
    Closed,
}

/// Why a handshake failed.
#[derive(Debug, Display, thiserror::Error)]
pub enum HandshakeError {
    /// connection failed
    Wire(#[from] WireError),
    /// peer did not complete the handshake in time
    TimedOut,
    /// peer sent an unexpected message during the handshake
    Unexpected,
    /// peer uses protocol version {0}, this process uses version {1}
    Version(u32, u32),
    /// peer does not hold the fleet key
    WrongKey,
}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> Self {
        Self::Wire(WireError::Io(error))
    }
}
