//! Connections to upstreams, with keep-alive probes that detect an unresponsive host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::ConnectError;
use crate::tcp::TcpTimeouts;
use crate::tcp::set_socket_options;

/// Idle time of a connection after which the upstream's host is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Number of unanswered probes in a row after which the connection is closed.
const PROBES: u32 = 2;

/// Timeouts of connections to upstreams.
#[derive(Debug, Clone)]
pub(crate) struct ConnectSettings {
    /// Timeout for establishing a connection.
    pub(crate) connect_timeout: Duration,
    /// Time without an acknowledgement by the other host after which the connection is closed.
    pub(crate) silence_timeout: Duration,
}

/// A connection that is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) driver: Driver,
}

/// The task that performs a connection's I/O. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
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
    let connecting = TcpStream::connect(addr);
    let stream = tokio::time::timeout(settings.connect_timeout, connecting)
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .map_err(ConnectError::Refused)?;
    let limits = TcpTimeouts {
        keepalive_idle: PROBE_AFTER,
        probes: PROBES,
        ack_timeout: settings.silence_timeout,
    };
    set_socket_options(&stream, limits).map_err(ConnectError::Refused)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(ConnectError::Handshake)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            // The attempt that waits for the response receives an error as well, and handles it.
            log::debug!(addr:% = addr, error:% = error; "connection to an upstream closed");
        }
    });
    Ok(Connection { sender, driver: Driver(driver) })
}
