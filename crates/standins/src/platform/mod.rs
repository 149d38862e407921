//! The platform's stand-in: a transactional table service, the host list, an object
//! store, a rate-limited weight store and a rater, behind one address.

mod faults;
mod routes;
mod server;
mod store;

pub use faults::Faults;
pub use server::PlatformStandin;
pub use store::StoreCounts;
