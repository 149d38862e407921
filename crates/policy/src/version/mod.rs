//! Version choice: which version of a model answers a new request.

mod split;

pub use split::VersionFacts;
pub use split::VersionRefusal;
pub use split::split;
