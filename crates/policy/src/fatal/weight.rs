//! How much the crashes of a subject weigh as evidence that it is the cause.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::ResponsePhase;
use crate::balance::UpstreamKey;

/// What evidence weighs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(pub u32);

/// A sound request is seldom between the head of its response and the first part of the body when its upstream
/// crashes; it is sooner shortly after that, and waits more often than either.
const BEGUN: Weight = Weight(4);
const STARTED: Weight = Weight(3);
const AWAITED: Weight = Weight(2);

impl Weight {
    /// What one crash weighs against a part of the prompt of a request whose response had come so far.
    pub(super) fn of_phase(phase: ResponsePhase) -> Self {
        match phase {
            ResponsePhase::Awaited => AWAITED,
            ResponsePhase::Begun => BEGUN,
            ResponsePhase::Started => STARTED,
            ResponsePhase::Written => Self::default(),
        }
    }

    /// This weight where so much is needed, on the scale of another need.
    pub(super) fn relative_to(self, needed: Self, scale: Self) -> Self {
        Self(self.0 * scale.0 / needed.0.max(1))
    }

    /// What one crash weighs against a request, which runs on one upstream at a time.
    pub(super) const OF_REQUEST: Self = BEGUN;
}

/// A crash, and what it weighs against one of the subjects on the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WeighedCrash {
    pub(super) at: MonoTime,
    pub(super) upstream: UpstreamKey,
    pub(super) weight: Weight,
}

/// The crashes of a subject, in order of time.
#[derive(Debug, Default)]
pub(super) struct WeighedCrashes(Vec<WeighedCrash>);

impl WeighedCrashes {
    pub(super) fn of(crashes: impl Iterator<Item = WeighedCrash>) -> Self {
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable();
        Self(crashes)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &WeighedCrash> {
        self.0.iter()
    }

    pub(super) fn retain(&mut self, counts: impl Fn(&WeighedCrash) -> bool) {
        self.0.retain(counts);
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// What they weigh together.
    pub(super) fn weight(&self) -> Weight {
        Weight(self.0.iter().map(|crash| crash.weight.0).sum())
    }

    /// How many of them follow one another by this time at least.
    pub(super) fn occasions(&self, spacing: Duration) -> usize {
        let mut occasions = 0;
        let mut latest: Option<MonoTime> = None;
        for crash in &self.0 {
            if latest.is_none_or(|latest| crash.at.since(latest) >= spacing) {
                occasions += 1;
                latest = Some(crash.at);
            }
        }
        occasions
    }
}
