//! Errors of requests to upstreams.

use std::io;

use displaydoc::Display;

/// Why no connection could be established. Nothing was sent.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum ConnectError {
    /// the connection was not established in time
    TimedOut,
    /// the connection was refused: {0}
    Refused(io::Error),
    /// the upstream reset the connection before anything was sent: {0}
    Reset(io::Error),
    /// the upstream closed the connection, or sent something, before anything was sent to it
    Closed,
    /// the HTTP handshake failed: {0}
    Handshake(hyper::Error),
}

impl ConnectError {
    /// Whether the host itself refused the connection: it is running, and no process listens at the address.
    pub(crate) fn is_refused_by_host(&self) -> bool {
        matches!(self, Self::Refused(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the upstream established the connection and gave it up: it may have more than it accepts.
    pub(crate) fn is_surplus(&self) -> bool {
        matches!(self, Self::Reset(_) | Self::Closed)
    }
}

/// Why a request has no response.
#[derive(Debug, Display, thiserror::Error)]
pub(crate) enum SendError {
    /// the connection closed before any byte of the request was written
    NotSent,
    /// the connection broke: {0}
    Broken(hyper::Error),
}
