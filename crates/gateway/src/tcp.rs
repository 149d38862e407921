//! Socket options by which the system's TCP finds out that the other end has gone.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How often an unanswered probe is sent again.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// When the other end of a connection is taken for gone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TcpTimeouts {
    /// After this time without any bytes, probes are sent.
    pub(crate) keepalive_idle: Duration,
    /// So many probes in a row may go unanswered.
    pub(crate) probes: u32,
    /// What was sent must be acknowledged within this time.
    pub(crate) ack_timeout: Duration,
}

/// Sends small segments at once, and breaks the connection when the other end is silent.
pub(crate) fn set_socket_options(stream: &TcpStream, limits: TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.keepalive_idle)
        .with_interval(PROBE_EVERY)
        .with_retries(limits.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.ack_timeout))
}
