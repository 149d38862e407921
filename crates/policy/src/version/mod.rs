//! Version choice: which version of a model runs a new request.

mod split;

pub use split::VersionCandidate;
pub use split::VersionRefusal;
pub use split::split;
