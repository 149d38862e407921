//! The upstreams that are known, and how they come and go.

mod directory;
mod incarnation_history;
mod member;

pub use directory::Directory;
pub use directory::ListingState;
pub use incarnation_history::Superseded;
pub use member::Member;
pub use member::MemberState;
