//! Why a gateway did not start.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use stallhoist_http::ServerError;

/// Why a gateway did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum GatewayError {
    /// '{0}' is not an IP address with a port
    Address(String),
    /// callers cannot be served on {addr}: {cause}
    Callers {
        /// The address that was asked for.
        addr: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// other entries cannot be served on {addr}: {cause}
    Peers {
        /// The address that was asked for.
        addr: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// an endpoint did not start
    Server(#[from] ServerError),
}
