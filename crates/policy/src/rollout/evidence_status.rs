//! How close the tests of a rollout are to a decision.

use super::EvidenceTotals;
use super::Judgement;

/// A test of the new version against the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceTest {
    /// Whether more of its responses fail.
    Failures,
    /// Whether more of its responses on one route fail.
    RouteFailures,
    /// Whether more of its first chunks are slow.
    FirstParts,
    /// Whether more of its streams have slow token intervals.
    Paces,
}

/// The running mean of the loads at which streams were generated, in requests in progress.
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

    /// Requests in progress; zero before the first response.
    pub fn requests(&self) -> f64 {
        self.requests
    }
}

/// How close the tests of a rollout are to a decision. Lets operators tell a version that is as good as
/// the old one from one that is not yet, or cannot be, found worse.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceStatus {
    /// Counts of this gateway.
    pub own: EvidenceTotals,
    /// Counts of all gateways, as far as received.
    pub all: EvidenceTotals,
    /// For each test, the decimal logarithm of the likelihood ratio between a worse version and a good
    /// one. For the routes, that of the worst one, less what many tests would find by chance.
    pub strengths: Vec<(EvidenceTest, f64)>,
    /// The strength from which on the version counts as worse.
    pub needed_strength: f64,
    /// For each test, the harm to be expected if the new version is completed, as a fraction of an outage.
    pub harms: Vec<(EvidenceTest, f64)>,
    /// What follows from the strengths and the harms.
    pub judgement: Judgement,
    /// The load at which this gateway observed the old version's token intervals.
    pub old_load: MeanLoad,
    /// The load at which this gateway observed the new version's token intervals.
    pub new_load: MeanLoad,
}
