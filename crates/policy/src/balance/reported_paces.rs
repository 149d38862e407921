//! How long work takes at each upstream at present, as the upstreams report it.
//!
//! A report is believed less with age. How fast is learned for each service from successive reports of the same
//! upstream: the more often they differ, the sooner a report is old.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;

/// Two reports that differ by more than this factor count as a change.
const CHANGE_FACTOR: f64 = 1.25;

/// Only pairs of reports within this time tell how fast reports change: in a longer time they change several
/// times.
const MAX_PAIR_AGE: Duration = Duration::from_millis(1_000);

/// Until reports show otherwise, they change twice a second.
const INITIAL_CHANGES: f64 = 2.0;
const INITIAL_TIME_S: f64 = 1.0;

/// Bound on the weight of what was learned, so that the rate of change can change.
const MAX_TIME_S: f64 = 60.0;

/// A report older than this is not used, however rarely reports change.
const MAX_AGE: Duration = Duration::from_millis(1_000);

/// Bound on the slowdown that a report can claim.
const MAX_SLOWDOWN: f64 = 4.0;

/// A pace in percent of the usual duration of work: 100 is normal, 200 takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PacePercent(u32);

impl PacePercent {
    /// The valid range: a figure outside of it is none.
    const RANGE: std::ops::RangeInclusive<u32> = 10..=2_000;

    /// The pace, if the figure is plausible.
    pub fn new(percent: u32) -> Option<Self> {
        Self::RANGE.contains(&percent).then_some(Self(percent))
    }

    /// Duration of work relative to the usual one.
    pub fn slowdown(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Whether work takes about as long as usual.
    pub fn is_normal(self) -> bool {
        self.slowdown().ln().abs() <= CHANGE_FACTOR.ln()
    }

    fn differs_from(self, other: Self) -> bool {
        (self.slowdown() / other.slowdown()).ln().abs() > CHANGE_FACTOR.ln()
    }
}

/// How often the reports of a service change.
#[derive(Debug, Clone, Copy)]
struct ChangeRate {
    changes: f64,
    time_s: f64,
}

impl Default for ChangeRate {
    fn default() -> Self {
        Self { changes: INITIAL_CHANGES, time_s: INITIAL_TIME_S }
    }
}

impl ChangeRate {
    fn observe(&mut self, time: Duration, is_change: bool) {
        self.changes += f64::from(u8::from(is_change));
        self.time_s += time.as_secs_f64();
        let kept = (MAX_TIME_S / self.time_s).min(1.0);
        self.changes *= kept;
        self.time_s *= kept;
    }

    /// Probability that a report of this age still holds.
    fn belief(self, age: Duration) -> f64 {
        (-self.changes / self.time_s * age.as_secs_f64()).exp()
    }
}

/// Reported paces of all upstreams.
#[derive(Debug, Default)]
pub struct ReportedPaces {
    by_incarnation: HashMap<UpstreamIncarnation, (MonoTime, PacePercent)>,
    rates: HashMap<ServiceName, ChangeRate>,
}

impl ReportedPaces {
    /// Stores a report.
    pub fn record(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        incarnation: &UpstreamIncarnation,
        pace: PacePercent,
    ) {
        let before = self.by_incarnation.insert(incarnation.clone(), (now, pace));
        let pair = before.map(|(at, before)| (now.since(at), pace.differs_from(before)));
        if let Some((time, is_change)) = pair.filter(|(time, _)| *time <= MAX_PAIR_AGE) {
            self.rates.entry(service.clone()).or_default().observe(time, is_change);
        }
    }

    /// Expected duration of work at an upstream now, relative to its usual one. Counts upwards only, so that an
    /// upstream which reports a pace that it does not have attracts no work.
    pub fn slowdown(
        &self,
        now: MonoTime,
        service: &ServiceName,
        incarnation: &UpstreamIncarnation,
    ) -> f64 {
        let Some((at, pace)) = self.by_incarnation.get(incarnation) else {
            return 1.0;
        };
        let age = now.since(*at);
        if age >= MAX_AGE {
            return 1.0;
        }
        let rate = self.rates.get(service).copied().unwrap_or_default();
        let reported = pace.slowdown().clamp(1.0, MAX_SLOWDOWN);
        1.0 + (reported - 1.0) * rate.belief(age)
    }

    /// Drops upstreams that are no longer known.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_incarnation.retain(|incarnation, _| is_known(incarnation));
    }
}
