//! The HTTP interface to callers.
//!
//! Read `handler` first, which checks and executes one request; `accept` serves the connections, `connections` bounds
//! their number, `request_head` counts the heads that they read, `body` reads bodies, `response` and `rejection` build the
//! responses.
//!
//! Invariant: a request that is rejected here has reached no upstream.

mod accept;
mod body;
mod connections;
mod handler;
mod rejection;
mod request_head;
mod response;

pub(crate) use accept::CallerServer;
