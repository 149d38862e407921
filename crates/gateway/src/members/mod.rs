//! The known upstreams: rows of the list, the directory built from them, and the history of incarnations.

mod directory;
mod incarnation_history;
mod member;

pub use directory::Directory;
pub use directory::ListingState;
pub use incarnation_history::Superseded;
pub use member::Member;
pub use member::MemberState;
