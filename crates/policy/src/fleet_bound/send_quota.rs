//! Whether a request may be sent to an upstream.

use stallhoist_core::MonoTime;

/// Whether a request may be sent to an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendQuota {
    /// Nothing bounds what comes to it: any number may.
    Unbounded,
    /// There is a bound, and this entry may send it one.
    Free,
    /// There is a bound, and this entry may send it one from then on.
    FreeAt(MonoTime),
    /// Other entries send it what it takes; this one may do so from then on.
    OthersUntil(MonoTime),
}

impl SendQuota {
    /// The place under two bounds at once.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unbounded, place) | (place, Self::Unbounded) => place,
            (Self::Free, place) | (place, Self::Free) => place,
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
