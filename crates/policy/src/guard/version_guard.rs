//! The guard over all versions.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use stallhoist_core::HostId;
use stallhoist_core::ModelVersion;

use super::EvidenceCounts;
use super::GuardConfig;
use super::SequentialTest;

const WHOLE_PERCENT: f64 = 100.0;

/// Why a version is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldCause {
    /// Its responses fail more often than those of its siblings.
    Failures,
    /// Its responses are rated poor more often than those of its siblings.
    Ratings,
}

impl fmt::Display for HoldCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failures",
            Self::Ratings => "ratings",
        })
    }
}

/// A version that receives no new requests, with its counters when the hold began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Hold {
    /// The version.
    pub version: ModelVersion,
    /// Why it is held.
    pub cause: HoldCause,
    /// Responses until then.
    pub answers: u64,
    /// Failures among them.
    pub failures: u64,
    /// Ratings until then.
    pub ratings: u64,
    /// Poor ones among them.
    pub poor_ratings: u64,
}

/// The tests of one kind of observation of one version.
#[derive(Debug, Default)]
struct VersionTests {
    all: SequentialTest,
    by_upstream: BTreeMap<HostId, SequentialTest>,
    /// For each upstream, the test over the observations of all others.
    leave_one_out: BTreeMap<HostId, SequentialTest>,
}

impl VersionTests {
    fn observe(&mut self, host: &HostId, count: u64, bad: u64, base_rate: f64) {
        if !self.by_upstream.contains_key(host) {
            self.by_upstream.insert(host.clone(), SequentialTest::default());
            self.leave_one_out.insert(host.clone(), self.all);
        }
        self.all.observe(count, bad, base_rate);
        if let Some(own) = self.by_upstream.get_mut(host) {
            own.observe(count, bad, base_rate);
        }
        for (other, test) in &mut self.leave_one_out {
            if other != host {
                test.observe(count, bad, base_rate);
            }
        }
    }

    /// Whether the test rejects the version whichever upstream is left out, so that a single
    /// failing upstream does not cause a hold. With a single upstream, none is left out.
    fn rejects(&self, alpha: f64) -> bool {
        if self.leave_one_out.len() < 2 {
            return self.all.rejects(alpha);
        }
        self.leave_one_out.values().all(|test| test.rejects(alpha))
    }

    fn rejects_upstream(&self, host: &HostId, alpha: f64) -> bool {
        self.by_upstream.get(host).is_some_and(|test| test.rejects(alpha))
    }
}

/// The last report of an upstream, and the counts since the last reset.
#[derive(Debug, Default)]
struct UpstreamCounts {
    reported: EvidenceCounts,
    counted: EvidenceCounts,
}

#[derive(Debug, Default)]
struct VersionEvidence {
    counts: BTreeMap<HostId, UpstreamCounts>,
    failures: VersionTests,
    ratings: VersionTests,
    hold: Option<Hold>,
    resets: u64,
}

impl VersionEvidence {
    fn total(&self) -> EvidenceCounts {
        let counts = self.counts.values().map(|upstream| upstream.counted);
        counts.fold(EvidenceCounts::default(), |sum, counts| sum + counts)
    }

    /// Stores a report and returns its increase over the previous one.
    fn merge_report(&mut self, host: &HostId, counts: EvidenceCounts) -> EvidenceCounts {
        let upstream = self.counts.entry(host.clone()).or_default();
        let new = counts.since(upstream.reported);
        upstream.reported = counts;
        upstream.counted = upstream.counted + new;
        new
    }
}

/// The guard over all versions.
#[derive(Debug)]
pub struct Guard {
    config: GuardConfig,
    versions: BTreeMap<ModelVersion, VersionEvidence>,
}

impl Guard {
    /// Creates a guard without observations.
    pub fn new(config: GuardConfig) -> Self {
        Self { config, versions: BTreeMap::new() }
    }

    /// Records the counters of a sidecar for a version, which count from the start of the
    /// sidecar. Returns the hold if this report causes one.
    pub fn report(
        &mut self,
        host: &HostId,
        version: &ModelVersion,
        counts: EvidenceCounts,
    ) -> Option<Hold> {
        let failure_rate = self.base_rate(version, |c| (c.answers, c.failures));
        // Models differ in quality, so ratings are compared with siblings only. Failures are
        // compared with the prior where there is no sibling.
        let has_rated_sibling = self.rated_siblings(version) >= self.config.prior_answers;
        let poor_rate = self.base_rate(version, |c| (c.ratings, c.poor_ratings));
        let evidence = self.versions.entry(version.clone()).or_default();
        let new = evidence.merge_report(host, counts);
        evidence.failures.observe(host, new.answers, new.failures, failure_rate);
        if has_rated_sibling {
            evidence.ratings.observe(host, new.ratings, new.poor_ratings, poor_rate);
        }
        if evidence.hold.is_some() {
            return None;
        }
        // The two tests share the significance level.
        let alpha = self.config.alpha / 2.0;
        let cause = if evidence.failures.rejects(alpha) {
            HoldCause::Failures
        } else if evidence.ratings.rejects(alpha) {
            HoldCause::Ratings
        } else {
            return None;
        };
        let total = evidence.total();
        evidence.hold = Some(Hold {
            version: version.clone(),
            cause,
            answers: total.answers,
            failures: total.failures,
            ratings: total.ratings,
            poor_ratings: total.poor_ratings,
        });
        evidence.hold.clone()
    }

    /// Whether a version is held.
    pub fn is_held(&self, version: &ModelVersion) -> bool {
        self.versions.get(version).is_some_and(|evidence| evidence.hold.is_some())
    }

    /// All holds.
    pub fn holds(&self) -> Vec<Hold> {
        self.versions.values().filter_map(|evidence| evidence.hold.clone()).collect()
    }

    /// Applies the operators' number of resets of a version. An increase clears the hold and the
    /// evidence so far.
    pub fn set_resets(&mut self, version: &ModelVersion, resets: u64) {
        let Some(evidence) = self.versions.get_mut(version) else {
            return;
        };
        if resets <= evidence.resets {
            return;
        }
        evidence.resets = resets;
        evidence.hold = None;
        evidence.failures = VersionTests::default();
        evidence.ratings = VersionTests::default();
        for upstream in evidence.counts.values_mut() {
            upstream.counted = EvidenceCounts::default();
        }
    }

    /// The maximum share of a version in the new requests of its model, in percent. It is below
    /// 100 only for a new version with an established sibling.
    pub fn cap_percent(&self, version: &ModelVersion) -> f64 {
        let answers = self.answers(version);
        if answers >= self.config.new_below_answers || !self.has_established_sibling(version) {
            return WHOLE_PERCENT;
        }
        let doublings = answers / self.config.double_after_answers;
        let share = self.config.first_share_percent * 2f64.powi(doublings as i32);
        share.min(WHOLE_PERCENT)
    }

    /// Upstreams that fail while their version does not. They should not be used.
    pub fn sick_upstreams(&self) -> Vec<(HostId, ModelVersion)> {
        let mut sick = Vec::new();
        for (version, evidence) in &self.versions {
            if evidence.hold.is_some() || evidence.counts.len() < 2 {
                continue;
            }
            let hosts = evidence.counts.keys();
            let is_sick =
                |host: &&HostId| evidence.failures.rejects_upstream(host, self.config.alpha);
            sick.extend(hosts.filter(is_sick).map(|host| (host.clone(), version.clone())));
        }
        sick
    }

    fn answers(&self, version: &ModelVersion) -> u64 {
        self.versions.get(version).map_or(0, |evidence| evidence.total().answers)
    }

    fn has_established_sibling(&self, version: &ModelVersion) -> bool {
        let mut siblings = self.siblings(version);
        siblings.any(|(_, e)| e.total().answers >= self.config.established_answers)
    }

    fn siblings<'a>(
        &'a self,
        version: &'a ModelVersion,
    ) -> impl Iterator<Item = (&'a ModelVersion, &'a VersionEvidence)> {
        let is_sibling =
            move |other: &ModelVersion| other != version && other.model == version.model;
        self.versions.iter().filter(move |(other, _)| is_sibling(other))
    }

    /// The number of ratings of a version's siblings.
    fn rated_siblings(&self, version: &ModelVersion) -> f64 {
        let ratings = self.siblings(version).map(|(_, evidence)| evidence.total().ratings);
        ratings.sum::<u64>() as f64
    }

    /// The highest acceptable rate of a version: that of its siblings without a hold, plus the
    /// margin.
    fn base_rate(&self, version: &ModelVersion, of: fn(&EvidenceCounts) -> (u64, u64)) -> f64 {
        let healthy = self.siblings(version).filter(|(_, evidence)| evidence.hold.is_none());
        let (count, bad) = healthy
            .map(|(_, evidence)| of(&evidence.total()))
            .fold((0, 0), |(count, bad), (more, more_bad)| (count + more, bad + more_bad));
        let prior = self.config.prior_answers;
        let rate = (bad as f64 + self.config.prior_rate * prior) / (count as f64 + prior);
        (rate + self.config.margin).min(0.5)
    }
}
