//! Why a response is incomplete, and whether the cause is a crash of the upstream.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::StatusCode;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_http::caller_memory::BufferError;
use tokio::net::TcpStream;

use crate::state::GatewayState;
use crate::upstream::ReadError;
use crate::upstream::StreamError;

/// Why a response was not received completely, or is not valid.
#[derive(Debug, Display)]
pub(crate) enum BrokenResponse {
    /// the connection broke: {0}
    Connection(String),
    /// the upstream's host stopped responding: {0}
    HostUnresponsive(String),
    /// the stream ended inside an event, or without any
    IncompleteEvent,
    /// the reply has status {0}, which ends no request
    NotFinal(StatusCode),
    /// the response is too long
    TooLong,
    /// this gateway has no memory for it
    NoMemory,
    /// nothing came for too long
    IdleTimeout,
    /// the reply is to another request
    WrongRequest,
    /// the reply carries no seal
    Unsealed,
}

impl BrokenResponse {
    /// Classifies a connection error: the connection broke, or the other host did not respond in time.
    pub(crate) fn connection(error: &(dyn Error + 'static)) -> Self {
        let mut causes = std::iter::successors(Some(error), |error| (*error).source());
        let is_silence = |error: &(dyn Error + 'static)| {
            let io = error.downcast_ref::<io::Error>();
            io.is_some_and(|error| error.kind() == io::ErrorKind::TimedOut)
        };
        let text = error.to_string();
        if causes.any(is_silence) { Self::HostUnresponsive(text) } else { Self::Connection(text) }
    }

    /// Whether the cause may be a crash of the upstream's process, which closes its connections.
    fn may_be_crash(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::HostUnresponsive(_) | Self::IncompleteEvent)
    }

    /// Whether the cause may be a crash although the host accepts connections again. A host that stopped
    /// responding is most likely partitioned, and a process that starts behind the partition did so for
    /// another reason.
    pub(crate) fn may_be_confirmed_later(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::IncompleteEvent)
    }

    /// Whether a crash of the upstream's process is the cause.
    ///
    /// A connection also breaks by a network partition or a reset. After a reset the process accepts a new
    /// connection, after a partition there is no response; after a crash the host refuses connections at once. So
    /// a connection is opened, on which nothing is sent. That takes one round trip (0.2 to 3 ms).
    pub(crate) async fn is_crash_of(
        &self,
        state: &GatewayState,
        incarnation: &UpstreamIncarnation,
        addr: SocketAddr,
    ) -> bool {
        if !self.may_be_crash() {
            return false;
        }
        if state.upstreams.is_terminated(state.now(), incarnation) {
            return true;
        }
        let timeout = Duration::from_millis(state.settings.upstream.connect_timeout_ms);
        let connected = tokio::time::timeout(timeout, TcpStream::connect(addr)).await;
        matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl From<StreamError> for BrokenResponse {
    fn from(error: StreamError) -> Self {
        match error {
            StreamError::Broken(error) => Self::connection(&error),
            StreamError::IncompleteEvent => Self::IncompleteEvent,
            StreamError::TooLong(_) => Self::TooLong,
        }
    }
}

impl From<ReadError> for BrokenResponse {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Broken(error) => Self::connection(&error),
            ReadError::NotKept(BufferError::TooLong) => Self::TooLong,
            ReadError::NotKept(BufferError::NoMemory(_)) => Self::NoMemory,
        }
    }
}
