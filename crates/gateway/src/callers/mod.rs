//! The interface to callers.

mod accept;
mod answer;
mod handler;
mod rejection;

pub(crate) use accept::CallerServer;
