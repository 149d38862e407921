//! Requests under which upstreams have ended, as this entry knows them.
//!
//! What is decided is in [`stallhoist_policy::fatal`]. Here it meets requests, other entries and the
//! store: [`FatalRequestTracker`] is what the tasks share, `keeper` is the task that writes to the store.

mod store_writer;
mod tracker;

pub(crate) use store_writer::store_fatal_requests;
pub(crate) use tracker::FatalRequestTracker;
pub(crate) use tracker::Trial;
