//! How an answer breaks off, and what that shows of the upstream.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http_body_util::LengthLimitError;
use stallhoist_core::UpstreamIncarnation;
use tokio::net::TcpStream;

use crate::state::GatewayState;
use crate::upstream::ReadError;
use crate::upstream::StreamError;

/// How an answer that had begun, or was waited for, broke off.
#[derive(Debug, Display)]
pub(crate) enum Break {
    /// the connection broke: {0}
    Connection(String),
    /// the upstream's host says nothing any more: {0}
    HostSilent(String),
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
    /// The connection broke, or its other end's host has said nothing for too long.
    pub(crate) fn connection(error: &(dyn Error + 'static)) -> Self {
        let mut causes = std::iter::successors(Some(error), |error| (*error).source());
        let is_silence = |error: &(dyn Error + 'static)| {
            let io = error.downcast_ref::<io::Error>();
            io.is_some_and(|error| error.kind() == io::ErrorKind::TimedOut)
        };
        let text = error.to_string();
        if causes.any(is_silence) { Self::HostSilent(text) } else { Self::Connection(text) }
    }

    /// Whether it may come of the end of the upstream's process, which closes its connections.
    fn may_be_an_end(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::HostSilent(_) | Self::Torn)
    }

    /// Whether it may come of such an end although the host takes connections. A host that says nothing is
    /// cut off, most likely, and what has started behind the cut did so for another reason.
    pub(crate) fn may_show_later(&self) -> bool {
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
        start: &UpstreamIncarnation,
        addr: SocketAddr,
    ) -> bool {
        if !self.may_be_an_end() {
            return false;
        }
        if state.upstreams.is_terminated(state.now(), start) {
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
            StreamError::Broken(error) => Self::connection(&error),
            StreamError::Torn => Self::Torn,
        }
    }
}

impl From<ReadError> for Break {
    fn from(error: ReadError) -> Self {
        if error.is::<LengthLimitError>() {
            Self::TooLong
        } else {
            Self::connection(error.as_ref())
        }
    }
}
