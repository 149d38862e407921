//! Requests under which upstreams have ended, as this entry knows them.
//!
//! What is decided is in [`stallhoist_policy::fatal`]. Here it meets requests, other entries and the
//! store: [`FatalBook`] is what the tasks share, `keeper` is the task that writes to the store.

mod book;
mod keeper;

pub(crate) use book::FatalBook;
pub(crate) use book::Trial;
pub(crate) use keeper::keep;
