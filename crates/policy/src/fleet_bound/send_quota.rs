//! Whether a request may be sent to an upstream.

use stallhoist_core::MonoTime;

/// Whether a request may be sent to an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendQuota {
    /// There is no bound: any number of requests may be sent.
    Unbounded,
    /// There is a bound, and this gateway may send a request now.
    Free,
    /// There is a bound, and this gateway may send its next request from then on.
    FreeAt(MonoTime),
    /// Other gateways use the whole bound; this one may send a request from then on.
    OthersUntil(MonoTime),
}

impl SendQuota {
    /// The quota under two bounds at once: the stricter of both.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unbounded, quota) | (quota, Self::Unbounded) => quota,
            (Self::Free, quota) | (quota, Self::Free) => quota,
            (Self::FreeAt(a), Self::FreeAt(b)) => Self::FreeAt(a.max(b)),
            (Self::OthersUntil(a) | Self::FreeAt(a), Self::OthersUntil(b) | Self::FreeAt(b)) => {
                Self::OthersUntil(a.max(b))
            }
        }
    }

    /// Whether a request may be sent now.
    pub fn is_usable(self) -> bool {
        matches!(self, Self::Unbounded | Self::Free)
    }
}
