//! Divides the memory for callers' requests and responses among them.
//!
//! Each request and each response that is held has a reservation, which grows with what is read. Where there is no room, reservations
//! of the workspace that holds the most are evicted first, and of these the ones that have held the most for the longest: a
//! caller whose bytes come without delay outlasts those that stall. A request that is read in full is owed a response and
//! is not evicted.
//!
//! `MemoryLimits` derives the limits from the host's memory, `MemoryLedger` decides on reservations and `CallerConnections` on
//! connections.

mod connections;
mod ledger;
mod limits;

pub use connections::Accepted;
pub use connections::CallerConnections;
pub use connections::ConnectionId;
pub use ledger::Growth;
pub use ledger::MemoryLedger;
pub use ledger::ReservationId;
pub use limits::MemoryLimits;
