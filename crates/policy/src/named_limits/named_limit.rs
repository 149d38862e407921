//! What an answer says of an upstream's limit.

use stallhoist_core::RequestRate;

/// What an answer says of how many requests its upstream takes from all entries together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// Nothing: there is none.
    #[default]
    Unsaid,
    /// Nothing that tells whether there is one: what stands there cannot be read, or the upstream refused
    /// the request without naming one, which is no sign that it is out of need.
    Unknown,
    /// So many a second.
    Of(RequestRate),
}
