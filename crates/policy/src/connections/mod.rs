//! How many connections a gateway may have to an upstream, which accepts a number of them from all gateways
//! together and resets the rest.
//!
//! The load it answers: many times the usual traffic on few upstreams, when gateways that each keep to a fixed part
//! of the number go over it together. A reset proves nothing once bytes were written, so that a request that may
//! run only once is lost.
//!
//! Each gateway divides what is free, by what the gateways tell each other of their work in progress, so that no
//! part of the bound is idle while one of them needs it. Where nothing is told, the whole bound is divided instead.

mod bound;
mod recent_minimum;

pub use bound::ConnectionBound;
pub use bound::KnownConnections;
pub use recent_minimum::RecentMinimum;
