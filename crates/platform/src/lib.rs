//! Clients of the platform's table service, host list, object store and rater.
//!
//! This crate exists so that one place knows the platform's published interface and
//! one place decides what a missing reply means. A write whose reply is lost may
//! have taken effect: it ends as [`StoreError::Unsettled`], never as a failure, and
//! the caller settles it by reading back.

mod client;
mod error;
mod host_list;
mod rating;
mod record;
mod transaction;

pub use client::PlatformClient;
pub use error::StoreError;
pub use host_list::HostEntry;
pub use host_list::HostList;
pub use host_list::HostRole;
pub use host_list::HostState;
pub use rating::Rating;
pub use rating::RatingRequest;
pub use record::Record;
pub use record::RecordPage;
pub use record::RecordVersion;
pub use transaction::Condition;
pub use transaction::Conflict;
pub use transaction::ConflictReply;
pub use transaction::Expectation;
pub use transaction::Put;
pub use transaction::Transaction;
