//! Connects the policy on fatal requests with the gateway.
//!
//! [`stallhoist_policy::fatal`] makes the decisions. [`FatalSubjectTracker`] holds its state, which the
//! request, peer and store tasks share; `store_writer` is the task that writes to the store.

mod store_writer;
mod tracker;

pub(crate) use store_writer::store_fatal_requests;
pub(crate) use tracker::FatalSubjectTracker;
pub(crate) use tracker::Trial;
