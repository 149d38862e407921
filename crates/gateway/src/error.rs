//! Errors at the start of a gateway.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use stallhoist_http::ServerError;

/// Why a gateway did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum GatewayError {
    /// '{0}' is not an IP address with a port
    Address(String),
    /// cannot listen for callers on {addr}: {cause}
    Callers {
        /// The configured address.
        addr: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// cannot listen for peers on {addr}: {cause}
    Peers {
        /// The configured address.
        addr: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// an endpoint did not start
    Server(#[from] ServerError),
}
