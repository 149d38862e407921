//! How an answer breaks off, and what that shows of the upstream.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http_body_util::LengthLimitError;
use stallhoist_core::StartId;
use tokio::net::TcpStream;

use crate::state::GatewayState;
use crate::upstream::ReadError;
use crate::upstream::StreamError;

/// How an answer that had begun, or was waited for, broke off.
#[derive(Debug, Display)]
pub(crate) enum Break {
    /// the connection broke: {0}
    Connection(String),
    /// the stream ended inside an event
    Torn,
    /// the answer is too long
    TooLong,
    /// nothing came for too long
    Silent,
    /// the reply is to another request
    ToAnother,
    /// the reply carries no seal
    Unsealed,
}

impl Break {
    pub(crate) fn connection(error: impl std::fmt::Display) -> Self {
        Self::Connection(error.to_string())
    }

    /// Whether it may come of the end of the upstream's process, which closes its connections.
    fn may_be_an_end(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Torn)
    }

    /// Whether the upstream's process has ended, by which the answer broke off.
    ///
    /// A connection also breaks when it is cut, or is reset alone: then the process takes a new one,
    /// or nothing is heard of it. Where it has ended its host refuses at once. So a connection is
    /// made, on which nothing is sent; it takes the way there and back (0.2 to 3 ms).
    pub(crate) async fn is_end_of(
        &self,
        state: &GatewayState,
        start: &StartId,
        addr: SocketAddr,
    ) -> bool {
        if !self.may_be_an_end() {
            return false;
        }
        if state.upstreams.is_over(state.now(), start) {
            return true;
        }
        let timeout = Duration::from_millis(state.settings.upstream.connect_timeout_ms);
        let connected = tokio::time::timeout(timeout, TcpStream::connect(addr)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl From<StreamError> for Break {
    fn from(error: StreamError) -> Self {
        match error {
            StreamError::Broken(error) => Self::connection(error),
            StreamError::Torn => Self::Torn,
        }
    }
}

impl From<ReadError> for Break {
    fn from(error: ReadError) -> Self {
        if error.is::<LengthLimitError>() { Self::TooLong } else { Self::connection(error) }
    }
}
