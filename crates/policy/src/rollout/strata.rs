//! Counts of both versions by the time at which they came.

use super::AnswerCounts;
use super::RouteCounts;

/// Responses of the old version in a stratum, at first.
const MIN_RESPONSES: u64 = 30;

/// Number of strata from which on neighbours are joined.
const MAX_STRATA: usize = 16;

/// The number of responses that the old version's rate over all time counts as in that of a stratum.
const TOTAL_RATE_RESPONSES: f64 = 10.0;

/// Counts of both versions, in strata of consecutive responses.
///
/// A trouble that lasts for a while, such as an upstream that fails, concerns both versions while it lasts.
/// So the responses of the new version are compared with those of the old one of the same time.
#[derive(Debug)]
pub(super) struct Strata {
    strata: Vec<RouteCounts>,
    min_responses: u64,
    total: RouteCounts,
}

impl Default for Strata {
    fn default() -> Self {
        Self { strata: Vec::new(), min_responses: MIN_RESPONSES, total: RouteCounts::default() }
    }
}

impl Strata {
    /// Adds responses that came since the last ones.
    pub(super) fn add(&mut self, counts: RouteCounts) {
        self.total.add(counts);
        match self.strata.last_mut() {
            Some(last) if last.old.answers < self.min_responses => last.add(counts),
            _ => self.strata.push(counts),
        }
        if self.strata.len() > MAX_STRATA {
            self.join_neighbours();
        }
    }

    /// The counts of all time.
    pub(super) fn total(&self) -> RouteCounts {
        self.total
    }

    /// For each stratum with responses of the new version, the old version's rate of bad responses and the counts of the new one. `prior_rate`
    /// is assumed before the old version's first response, and counts as `prior_responses`.
    pub(super) fn iter(
        &self,
        prior_rate: f64,
        prior_responses: f64,
    ) -> impl Iterator<Item = (f64, AnswerCounts)> {
        let total_rate = self.total.old.failure_rate(prior_rate, prior_responses);
        let compared = self.strata.iter().filter(|counts| counts.new.answers > 0);
        compared.map(move |RouteCounts { old, new }| {
            (old.failure_rate(total_rate, TOTAL_RATE_RESPONSES), *new)
        })
    }

    fn join_neighbours(&mut self) {
        self.min_responses *= 2;
        let joined = self.strata.chunks(2).map(|pair| {
            let mut sum = RouteCounts::default();
            pair.iter().for_each(|counts| sum.add(*counts));
            sum
        });
        self.strata = joined.collect();
    }
}
