//! The connections to sidecars.

mod event;
mod link;
mod links;
mod waiters;

pub(crate) use event::AttemptEvent;
pub(crate) use link::Link;
pub(crate) use links::Links;
