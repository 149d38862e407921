//! Calling an upstream: one connection for each attempt.
//!
//! A fresh connection costs one more round trip, and gives what a kept one cannot: an
//! upstream that is gone is found out before the request is sent, so the request provably
//! did not run; and nothing that an earlier request left on a connection can be taken for
//! the answer. `docs/design/platform.md` has the figures.

mod call;
mod connection;
mod error;

pub(crate) use call::OpenReply;
pub(crate) use call::Outgoing;
pub(crate) use call::ReadError;
pub(crate) use call::StreamError;
pub(crate) use call::send;
pub(crate) use connection::ConnectSettings;
pub(crate) use connection::Connection;
pub(crate) use connection::connect;
pub(crate) use error::ConnectError;
pub(crate) use error::SendError;
