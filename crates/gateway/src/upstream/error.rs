//! Why an upstream gave no reply.

use std::io;

use displaydoc::Display;

/// Why no connection came up. Nothing was sent.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum ConnectError {
    /// the connection did not come up in time
    TimedOut,
    /// the connection was refused: {0}
    Refused(io::Error),
    /// the HTTP library did not take the connection: {0}
    Handshake(hyper::Error),
}

impl ConnectError {
    /// Whether the host itself refused: it is there, and no process takes connections.
    pub(crate) fn is_by_host(&self) -> bool {
        matches!(self, Self::Refused(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Why a request that was sent, or was about to be, has no reply.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum SendError {
    /// the connection closed before the request was sent
    NotSent,
    /// the connection broke: {0}
    Broken(hyper::Error),
}
