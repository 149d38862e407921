//! Client of the platform's table service, host list and rating service.
//!
//! This crate alone knows the platform's published interface and interprets a missing reply. A write whose reply is
//! lost may have taken effect: it returns [`StoreError::Unsettled`], never a failure, and the caller determines the
//! outcome by reading back.
//!
//! Read `client` first; `transaction`, `record`, `host_list` and `rating` hold the bodies of its requests and replies.

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
