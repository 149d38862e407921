//! The upstreams that are known, and how they come and go.

mod directory;
mod member;
mod start_history;

pub use directory::Directory;
pub use directory::Presence;
pub use member::Member;
pub use member::MemberState;
pub use start_history::Superseded;
