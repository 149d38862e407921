//! Requests to upstreams, each on a connection of its own.
//!
//! A new connection costs one more round trip than a pooled one, and has two advantages: an upstream that has
//! gone is detected before the request is sent, so that the request provably did not run, and no bytes of an
//! earlier response on the connection can be mistaken for the response. `docs/design/platform.md` has the
//! figures.
//!
//! Invariant: each error tells whether the request may have been sent.

mod call;
mod connection;
mod error;
mod head_bytes;

pub(crate) use call::OpenResponse;
pub(crate) use call::Outgoing;
pub(crate) use call::ReadError;
pub(crate) use call::StreamError;
pub(crate) use call::send;
pub(crate) use connection::ConnectSettings;
pub(crate) use connection::Connection;
pub(crate) use connection::connect;
pub(crate) use error::ConnectError;
pub(crate) use error::SendError;
