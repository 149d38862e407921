//! How near the evidence is to a verdict.

use super::EvidenceTotals;

/// A test of the new version against the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceTest {
    /// Whether more of its answers fail.
    Failures,
    /// Whether the first parts of more of its answers are slow.
    FirstParts,
    /// Whether it generates more of its streams slowly.
    Paces,
}

/// Running mean of the loads at which streams were generated: requests in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeanLoad {
    answers: u64,
    requests: f64,
}

impl MeanLoad {
    pub(super) fn observe(&mut self, load: u32) {
        self.answers += 1;
        self.requests += (f64::from(load) - self.requests) / self.answers as f64;
    }

    /// Requests in progress; zero before the first answer.
    pub fn requests(&self) -> f64 {
        self.requests
    }
}

/// How near the evidence is to a verdict: what an operator needs to tell a version that is
/// as good as the old one from one that is not yet, or cannot be, found worse.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceStatus {
    /// Counted by this entry.
    pub own: EvidenceTotals,
    /// Counted by all entries, as far as they told.
    pub all: EvidenceTotals,
    /// For each test, the decimal logarithm of how much likelier the answers are of a worse
    /// version than of a good one.
    pub strengths: Vec<(EvidenceTest, f64)>,
    /// The strength from which on the version is called worse.
    pub needed_strength: f64,
    /// The load at which this entry's times of the old version were taken.
    pub old_load: MeanLoad,
    /// The load at which those of the new version were taken.
    pub new_load: MeanLoad,
}
