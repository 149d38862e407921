//! Counts of responses by version of a service.

use std::collections::BTreeMap;

use stallhoist_core::RouteName;

/// Responses whose latency was compared with the baseline at the same load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TimedCounts {
    /// All of them.
    pub timed: u64,
    /// Those that were slow.
    pub slow: u64,
}

impl TimedCounts {
    pub(super) fn one(is_slow: bool) -> Self {
        Self { timed: 1, slow: u64::from(is_slow) }
    }

    /// The same as responses, of which the slow ones are bad.
    pub(super) fn as_answers(self) -> AnswerCounts {
        AnswerCounts { answers: self.timed, failures: self.slow }
    }

    fn add(&mut self, more: Self) {
        self.timed += more.timed;
        self.slow += more.slow;
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Responses, and those that failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All of them.
    pub answers: u64,
    /// Those that failed.
    pub failures: u64,
}

impl AnswerCounts {
    /// The rate of failures, if `prior_rate` is assumed before the first response and counts as
    /// `prior_responses`.
    pub(super) fn failure_rate(self, prior_rate: f64, prior_responses: f64) -> f64 {
        (self.failures as f64 + prior_rate * prior_responses)
            / (self.answers as f64 + prior_responses)
    }

    pub(super) fn add(&mut self, more: Self) {
        self.answers += more.answers;
        self.failures += more.failures;
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
        }
    }
}

/// Counts of one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Counts of the old version.
    pub old: AnswerCounts,
    /// Counts of the new version.
    pub new: AnswerCounts,
}

impl RouteCounts {
    pub(super) fn add(&mut self, more: Self) {
        self.old.add(more.old);
        self.new.add(more.new);
    }

    pub(super) fn since(self, earlier: Self) -> Self {
        Self { old: self.old.since(earlier.old), new: self.new.since(earlier.new) }
    }
}

/// Counts of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Responses.
    pub answers: u64,
    /// Failed responses.
    pub failures: u64,
    /// Latencies of the first chunk of a response.
    pub first_parts: TimedCounts,
    /// Token intervals of streams.
    pub paces: TimedCounts,
}

impl VersionCounts {
    /// The responses alone.
    pub(super) fn responses(&self) -> AnswerCounts {
        AnswerCounts { answers: self.answers, failures: self.failures }
    }

    fn add(&mut self, more: Self) {
        self.answers += more.answers;
        self.failures += more.failures;
        self.first_parts.add(more.first_parts);
        self.paces.add(more.paces);
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            first_parts: self.first_parts.since(earlier.first_parts),
            paces: self.paces.since(earlier.paces),
        }
    }
}

/// Counts of the old and the new version of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceTotals {
    /// Counts of the old version.
    pub old: VersionCounts,
    /// Counts of the new version.
    pub new: VersionCounts,
    /// Counts by route.
    pub routes: BTreeMap<RouteName, RouteCounts>,
}

impl EvidenceTotals {
    /// The counts by which these exceed earlier ones; none where they do not.
    pub fn since(&self, earlier: &Self) -> Self {
        let routes = self.routes.iter().map(|(route, counts)| {
            let earlier = earlier.routes.get(route).copied().unwrap_or_default();
            (route.clone(), counts.since(earlier))
        });
        let grown = routes.filter(|(_, counts)| *counts != RouteCounts::default());
        Self {
            old: self.old.since(earlier.old),
            new: self.new.since(earlier.new),
            routes: grown.collect(),
        }
    }

    /// Adds counts.
    pub fn add(&mut self, more: &Self) {
        self.old.add(more.old);
        self.new.add(more.new);
        for (route, counts) in &more.routes {
            self.routes.entry(route.clone()).or_default().add(*counts);
        }
    }
}
