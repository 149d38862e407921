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
mod engine_price;
mod fair_shares;
mod max_min;
mod recent_use;
mod share;

pub use decision::AttemptDecision;
pub use engine_price::EnginePrice;
pub use fair_shares::FairShares;
pub use fair_shares::WorkspaceKey;
pub use fair_shares::WorkspaceUse;
pub use max_min::fair_share;
pub use share::ShareStatus;
