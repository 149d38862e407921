//! Socket options that detect dead peers.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Interval between unanswered keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits after which the other end of a connection counts as dead.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TcpTimeouts {
    /// Idle time after which probes are sent.
    pub(crate) keepalive_idle: Duration,
    /// Number of consecutive probes that may go unanswered.
    pub(crate) probes: u32,
    /// Time within which sent data must be acknowledged.
    pub(crate) ack_timeout: Duration,
}

/// Disables Nagle's algorithm, and applies the limits.
pub(crate) fn set_socket_options(stream: &TcpStream, limits: TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.keepalive_idle)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(limits.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.ack_timeout))
}
