//! The connections to sidecars.
//!
//! `links` keeps the set of connections in line with the host list, `link` runs one of them, and
//! `waiters` passes its messages to the requests that wait for them.

mod event;
mod link;
mod links;
mod waiters;

pub(crate) use event::AttemptEvent;
pub(crate) use link::Link;
pub(crate) use links::Links;
