//! Times in which a part of the fleet was faulty.

use std::time::Duration;
use std::time::Instant;

/// A time in which something was faulty, both ends included.
#[derive(Debug, Clone, Copy)]
pub(super) struct Period {
    pub(super) from: Instant,
    pub(super) to: Instant,
}

impl Period {
    pub(super) fn from_now(lasts: Duration) -> Self {
        let from = Instant::now();
        Self { from, to: from + lasts }
    }

    pub(super) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}
