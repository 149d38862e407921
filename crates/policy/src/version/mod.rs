//! Version choice: which version of a model answers a new request.

mod split;

pub use split::VersionCandidate;
pub use split::VersionRefusal;
pub use split::split;
