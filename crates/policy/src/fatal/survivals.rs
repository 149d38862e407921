//! When responses to requests with a part last went well at this gateway.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;

/// The most parts that are remembered, at some 40 bytes each. The least recent are forgotten first.
const MAX_PARTS: usize = 4_096;

/// When responses to requests with a part last went well at this gateway.
#[derive(Debug, Default)]
pub(super) struct Survivals {
    at: HashMap<PartFingerprint, MonoTime>,
}

impl Survivals {
    pub(super) fn record(&mut self, now: MonoTime, part: PartFingerprint) {
        if self.at.len() >= MAX_PARTS && !self.at.contains_key(&part) {
            self.forget_older_half();
        }
        self.at.insert(part, now);
    }

    /// Whether a response went well within the last `window`.
    pub(super) fn has_survived(
        &self,
        now: MonoTime,
        part: PartFingerprint,
        window: Duration,
    ) -> bool {
        self.at.get(&part).is_some_and(|at| now.since(*at) < window)
    }

    pub(super) fn expire(&mut self, now: MonoTime, memory: Duration) {
        self.at.retain(|_, at| now.since(*at) < memory);
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<_> = self.at.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.at.retain(|_, at| *at > median);
    }
}
