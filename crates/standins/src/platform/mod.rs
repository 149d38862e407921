//! Stand-in for the platform: a transactional table service, the host list, an object store and a rater on one
//! address. Read `store`, then `routes`; `server` holds the shared state, `faults` what can be made to fail.

mod faults;
mod routes;
mod server;
mod store;

pub use faults::Faults;
pub use server::PlatformStandin;
pub use store::StoreCounts;
