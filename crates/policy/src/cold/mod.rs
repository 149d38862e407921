//! Upstreams that are cold: for a while after a start they bear only so many requests a second.
//!
//! An upstream that comes back has nothing to do and is the best choice of every entry at once: 34
//! to 48 requests came to one within a second from 21 entries, where 32 are borne. The bound holds
//! for all entries together, and none of them may have to agree on it first. So each entry works
//! out, from the list of entries alone, how many requests a second are its own part of it.

mod bound;
mod record;
mod upstreams;

pub use bound::ColdBound;
pub use bound::ColdService;
pub use record::ReportedCold;
pub use upstreams::ColdUpstreams;
