//! Connections to upstreams that find out soon when the other end has gone silent.

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

/// An upstream whose connection is at rest for so long is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// So many probes in a row may go unanswered.
const PROBES: u32 = 2;

/// How connections to upstreams are made.
#[derive(Debug, Clone)]
pub(crate) struct ConnectSettings {
    /// The longest that a connection may take to come up.
    pub(crate) connect_timeout: Duration,
    /// After this time without a sign from the other end's system, it is taken for gone.
    pub(crate) silence_timeout: Duration,
}

/// A connection that is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) driver: Driver,
}

/// The task that moves a connection's bytes. Dropping it closes the connection.
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
/// Fails when no connection comes up in time.
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
            // Whoever waits for the reply gets an error too, and says what it means.
            log::debug!(addr:% = addr, error:% = error; "connection to an upstream ended");
        }
    });
    Ok(Connection { sender, driver: Driver(driver) })
}
