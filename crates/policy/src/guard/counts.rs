//! What was counted of a version on one upstream.

use std::ops::Add;

/// What was counted of a version on one upstream since its sidecar started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// Attempts that ended, good or bad.
    pub answers: u64,
    /// Those that failed, broke off or came empty.
    pub failures: u64,
    /// Answers that were rated.
    pub ratings: u64,
    /// Those that were rated poor.
    pub poor_ratings: u64,
}

impl EvidenceCounts {
    /// What came since `earlier`; everything, when the counts have started anew.
    pub(crate) fn since(self, earlier: Self) -> Self {
        let has_restarted = self.answers < earlier.answers || self.ratings < earlier.ratings;
        if has_restarted {
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
