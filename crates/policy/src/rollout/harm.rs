//! The harm that is to be expected if a new version is completed.
//!
//! A bad version turns a fraction of the good responses into bad ones, everywhere or on one route. How
//! likely that is, compared with a good version, follows from the responses so far; how harmful, from the
//! number of requests.

use std::collections::BTreeMap;

use stallhoist_core::RouteName;

use super::AnswerCounts;
use super::EvidenceTest;
use super::EvidenceTotals;
use super::RouteCounts;
use super::TimedCounts;
use super::comparison::ALLOWED_EXCESS;
use super::comparison::PRIOR_RATE;
use super::strata::Strata;

/// The fractions of good responses that a bad version turns into bad ones, equally likely. Smaller ones
/// cannot be told from a good version in a few dozen responses.
const INCREASES: [f64; 3] = [0.25, 0.5, 1.0];

/// The same on one route. Smaller ones show among the responses of all routes.
const ROUTE_INCREASES: [f64; 2] = [0.5, 1.0];

/// Number of bad responses that are a whole outage: fewer in the ordered time harm less.
const OUTAGE_RESPONSES: f64 = 50.0;

/// The number of responses that the rate assumed of the old version counts as.
const PRIOR_RESPONSES: f64 = 2.0;

/// The highest rate of bad responses that is considered.
const MAX_RATE: f64 = 0.99;

/// The responses of both versions, by the time at which they came.
#[derive(Debug, Default)]
pub(super) struct HarmEvidence {
    routes: BTreeMap<RouteName, Strata>,
    /// Responses whose route is not known.
    others: Strata,
    first_parts: Strata,
    paces: Strata,
    all: RouteCounts,
}

impl HarmEvidence {
    /// Adds counts that were not included before.
    pub(super) fn add(&mut self, counts: &EvidenceTotals) {
        let EvidenceTotals { old, new, routes } = counts;
        self.first_parts.add(of_times(old.first_parts, new.first_parts));
        self.paces.add(of_times(old.paces, new.paces));
        let mut others = RouteCounts { old: old.responses(), new: new.responses() };
        self.all.add(others);
        for (route, counts) in routes {
            others = others.since(*counts);
            self.routes.entry(route.clone()).or_default().add(*counts);
        }
        self.others.add(others);
    }

    /// The harm by each of the tests if the service gets this many requests in the ordered time; none if
    /// that is not known.
    pub(super) fn expected(&self, requests: Option<f64>) -> [(EvidenceTest, f64); 4] {
        let requests = requests.unwrap_or(f64::MAX);
        let part_of_streams = self.part_of_all(&self.paces);
        [
            (EvidenceTest::Failures, self.by_failures(requests)),
            (EvidenceTest::RouteFailures, self.by_route_failures(requests)),
            (EvidenceTest::FirstParts, by_times(&self.first_parts, requests)),
            (EvidenceTest::Paces, by_times(&self.paces, part_of_streams * requests)),
        ]
    }

    /// The old version's rate of failures.
    fn old_rate(&self) -> f64 {
        self.all.old.failure_rate(PRIOR_RATE, PRIOR_RESPONSES)
    }

    /// How many of all responses these are.
    fn part_of_all(&self, strata: &Strata) -> f64 {
        let answers = |counts: RouteCounts| (counts.old.answers + counts.new.answers) as f64;
        answers(strata.total()) / answers(self.all).max(1.0)
    }

    /// The harm of a version that fails everywhere.
    fn by_failures(&self, requests: f64) -> f64 {
        let old_rate = self.old_rate();
        let strata = self.routes.values().chain([&self.others]);
        let strata: Vec<_> =
            strata.flat_map(|strata| strata.iter(old_rate, PRIOR_RESPONSES)).collect();
        expected_harm(&INCREASES, requests * (1.0 - old_rate), &strata)
    }

    /// The harm of a version that fails on one route. The more requests a route has, the likelier it is
    /// the one.
    fn by_route_failures(&self, requests: f64) -> f64 {
        let of_route = |strata: &Strata| {
            let part = self.part_of_all(strata);
            let old_rate = strata.total().old.failure_rate(self.old_rate(), PRIOR_RESPONSES);
            let good_requests = part * requests * (1.0 - old_rate);
            let strata: Vec<_> = strata.iter(self.old_rate(), PRIOR_RESPONSES).collect();
            part * expected_harm(&ROUTE_INCREASES, good_requests, &strata)
        };
        self.routes.values().map(of_route).sum()
    }
}

/// The harm of a version that is slow, if there will be this many requests.
fn by_times(times: &Strata, requests: f64) -> f64 {
    let old_rate = times.total().old.failure_rate(PRIOR_RATE, PRIOR_RESPONSES);
    let strata: Vec<_> = times.iter(PRIOR_RATE, PRIOR_RESPONSES).collect();
    expected_harm(&INCREASES, requests * (1.0 - old_rate), &strata)
}

/// The harm to be expected of versions that are bad by one of the increases, as a fraction of an outage, if
/// `good_requests` requests would be answered well. Above 1 if the responses speak against the version.
fn expected_harm(increases: &[f64], good_requests: f64, strata: &[(f64, AnswerCounts)]) -> f64 {
    let harms = increases.iter().map(|increase| {
        let log_ratios = strata.iter().map(|(old_rate, new)| log_ratio(*increase, *old_rate, *new));
        (increase * good_requests / OUTAGE_RESPONSES).min(1.0) * log_ratios.sum::<f64>().exp()
    });
    harms.sum::<f64>() / increases.len() as f64
}

/// The logarithm of how much likelier responses are of a version that turns a fraction of the good
/// responses into bad ones than of a good version, which may exceed the old one's rate a little.
fn log_ratio(increase: f64, old_rate: f64, new: AnswerCounts) -> f64 {
    let good_version = (old_rate + ALLOWED_EXCESS).min(MAX_RATE);
    let bad_version = (good_version + increase * (1.0 - good_version)).min(MAX_RATE);
    let bad = new.failures as f64;
    let good = new.answers.saturating_sub(new.failures) as f64;
    bad * (bad_version / good_version).ln()
        + good * ((1.0 - bad_version) / (1.0 - good_version)).ln()
}

fn of_times(old: TimedCounts, new: TimedCounts) -> RouteCounts {
    RouteCounts { old: old.as_answers(), new: new.as_answers() }
}
