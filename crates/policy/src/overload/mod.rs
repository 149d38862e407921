//! Decisions while requests need more engine time than the upstreams have.
//!
//! Three parts decide together: admission says whether an attempt is sent now, waits or is rejected; fair
//! shares say which workspaces are within their share; the price of engine time says what a second attempt
//! or a better model costs other requests. Their results are the types of this module, so that none of the
//! parts depends on the state of another.
//!
//! Invariant: while there is room, every attempt is sent at once, no workspace has a limit, and engine time
//! has no price.

mod decision;
mod end_rate;
mod engine_price;
mod fair_shares;
mod max_min;
mod recent_use;
mod reservations;
mod room;
mod share;
mod waiter;
mod waiting;

pub use decision::AttemptDecision;
pub use decision::RejectReason;
pub use engine_price::EnginePrice;
pub use fair_shares::FairShares;
pub use fair_shares::WorkspaceKey;
pub use fair_shares::WorkspaceUse;
pub use max_min::fair_share;
pub(crate) use reservations::Reservations;
pub use room::NewsValidity;
pub use room::ServiceRoom;
pub use room::UpstreamOccupancy;
pub use share::ShareStatus;
pub use waiter::Waiter;
pub use waiter::WaiterId;
pub use waiting::WaitLimits;
pub use waiting::WaitingQueue;
