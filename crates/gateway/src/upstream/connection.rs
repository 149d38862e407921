//! Connections to upstreams, with keep-alive probes that detect an unresponsive host.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::ConnectError;
use super::head_bytes::HeadBytes;
use super::head_bytes::HeadLimit;
use super::head_bytes::WrittenBytes;
use crate::observed_io::ObservedIo;
use crate::tcp::TcpTimeouts;
use crate::tcp::set_socket_options;

/// Idle time of a connection after which the upstream's host is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Number of unanswered probes in a row after which the connection is closed.
const PROBES: u32 = 2;

/// An upstream resets a surplus connection when it accepts it: one round trip after the connection was established
/// here, and the time that it takes to accept.
const RESET_WAIT_ROUND_TRIPS: u32 = 3;
const MIN_RESET_WAIT: Duration = Duration::from_millis(2);
const MAX_RESET_WAIT: Duration = Duration::from_millis(10);

/// Timeouts of connections to upstreams.
#[derive(Debug, Clone)]
pub(crate) struct ConnectSettings {
    /// Timeout for establishing a connection.
    pub(crate) connect_timeout: Duration,
    /// Whether to wait until the upstream would have reset a surplus connection, before anything is sent.
    pub(crate) awaits_reset: bool,
    /// Time without an acknowledgement by the other host after which the connection is closed.
    pub(crate) silence_timeout: Duration,
}

/// A connection that is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) driver: Driver,
    /// Bytes that the host's network stack has taken.
    pub(super) written_bytes: WrittenBytes,
    /// The limit of what is read before the head of the response.
    pub(super) head_limit: HeadLimit,
}

/// The task that performs a connection's I/O. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Driver(JoinHandle<()>);

impl Driver {
    /// Closes the connection.
    pub(super) fn close(&self) {
        self.0.abort();
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.close();
    }
}

/// Connects to an upstream.
///
/// # Errors
/// Fails when no connection can be established in time.
pub(crate) async fn connect(
    addr: SocketAddr,
    settings: &ConnectSettings,
) -> Result<Connection, ConnectError> {
    let started = Instant::now();
    let connecting = TcpStream::connect(addr);
    let stream = tokio::time::timeout(settings.connect_timeout, connecting)
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .map_err(ConnectError::Refused)?;
    if settings.awaits_reset {
        let wait =
            (started.elapsed() * RESET_WAIT_ROUND_TRIPS).clamp(MIN_RESET_WAIT, MAX_RESET_WAIT);
        check_open(&stream, wait).await?;
    }
    let limits = TcpTimeouts {
        keepalive_idle: PROBE_AFTER,
        probes: PROBES,
        ack_timeout: settings.silence_timeout,
    };
    set_socket_options(&stream, limits).map_err(ConnectError::Refused)?;
    let written_bytes = WrittenBytes::default();
    let head_limit = HeadLimit::default();
    let io = ObservedIo::new(stream, HeadBytes::new(written_bytes.clone(), head_limit.clone()));
    let handshake = http1::handshake(TokioIo::new(io)).await;
    let (sender, connection) = handshake.map_err(ConnectError::Handshake)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            // The attempt that waits for the response receives an error as well, and handles it.
            log::debug!(addr:% = addr, error:% = error; "connection to an upstream closed");
        }
    });
    Ok(Connection { sender, driver: Driver(driver), written_bytes, head_limit })
}

/// Waits whether the upstream closes or resets a connection on which nothing was sent.
///
/// # Errors
/// Fails when it does.
async fn check_open(stream: &TcpStream, wait: Duration) -> Result<(), ConnectError> {
    let mut unexpected = [0];
    match tokio::time::timeout(wait, stream.peek(&mut unexpected)).await {
        Err(_) => Ok(()),
        Ok(Ok(_)) => Err(ConnectError::Closed),
        Ok(Err(error)) => Err(ConnectError::Reset(error)),
    }
}
