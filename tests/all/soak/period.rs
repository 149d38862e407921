//! Periods during which a part of the fleet is faulty.

use std::time::Duration;
use std::time::Instant;

/// A period with both ends included.
#[derive(Debug, Clone, Copy)]
pub(super) struct Period {
    pub(super) from: Instant,
    pub(super) to: Instant,
}

impl Period {
    pub(super) fn from_now(duration: Duration) -> Self {
        let from = Instant::now();
        Self { from, to: from + duration }
    }

    pub(super) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}
