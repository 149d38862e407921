//! Counters of a version on one upstream.

use std::ops::Add;

/// Counters of a version on one upstream since its sidecar started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// Attempts that ended, whether they succeeded or failed.
    pub answers: u64,
    /// Attempts that failed or whose response was truncated or empty.
    pub failures: u64,
    /// Rated responses.
    pub ratings: u64,
    /// Responses that were rated poor.
    pub poor_ratings: u64,
}

impl EvidenceCounts {
    /// The increase since `earlier`; all counts if the counters were reset meanwhile.
    pub(crate) fn since(self, earlier: Self) -> Self {
        let is_reset = self.answers < earlier.answers || self.ratings < earlier.ratings;
        if is_reset {
            return self;
        }
        Self {
            answers: self.answers - earlier.answers,
            failures: self.failures.saturating_sub(earlier.failures),
            ratings: self.ratings - earlier.ratings,
            poor_ratings: self.poor_ratings.saturating_sub(earlier.poor_ratings),
        }
    }
}

impl Add for EvidenceCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            failures: self.failures + other.failures,
            ratings: self.ratings + other.ratings,
            poor_ratings: self.poor_ratings + other.poor_ratings,
        }
    }
}
