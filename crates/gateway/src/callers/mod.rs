//! The HTTP interface to callers.
//!
//! Read `handler` first, which checks and executes one request; `accept` serves the connections, `connections` bounds
//! their number, `head_io` counts
//! what they read, `body` reads bodies, `response` and `rejection` build the responses.
//!
//! Invariant: a request that is rejected here has reached no upstream.

mod accept;
mod body;
mod connections;
mod handler;
mod head_io;
mod rejection;
mod response;

pub(crate) use accept::CallerServer;
