//! The rate limit that a response reports.

use stallhoist_core::RequestRate;

/// What a response reports of the rate limit of its upstream, which applies to all gateways together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// No limit is reported: there is none.
    #[default]
    Unsaid,
    /// It is unclear whether there is a limit: the value cannot be parsed, or the upstream rejected the
    /// request without reporting one, which does not mean that it can take more.
    Unknown,
    /// A limit in requests per second.
    Of(RequestRate),
}
