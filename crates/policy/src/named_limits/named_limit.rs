//! What an answer says of an upstream's limit.

use stallhoist_core::RequestRate;

/// What an answer says of how many requests its upstream takes from all entries together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// Nothing: there is none.
    #[default]
    Unsaid,
    /// Something that cannot be read, which says nothing of whether there is one.
    Unreadable,
    /// So many a second.
    Of(RequestRate),
}
