//! Counters of each target on this upstream.

use std::collections::BTreeMap;

use stallhoist_core::Target;

/// Counters of one target since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Evidence {
    /// Attempts that started and ended, whether they succeeded or failed.
    pub answers: u64,
    /// Attempts that ended in an error or whose response was truncated or empty.
    pub failures: u64,
    /// Responses that an entry had rated.
    pub ratings: u64,
    /// Responses that were rated poor.
    pub poor_ratings: u64,
}

/// Counters by target.
#[derive(Debug, Default)]
pub(crate) struct EvidenceCounters {
    by_target: BTreeMap<Target, Evidence>,
    changed: BTreeMap<Target, Evidence>,
}

impl EvidenceCounters {
    pub(crate) fn record_end(&mut self, target: &Target, is_failure: bool) {
        self.update(target, |evidence| {
            evidence.answers += 1;
            evidence.failures += u64::from(is_failure);
        });
    }

    pub(crate) fn record_rating(&mut self, target: &Target, is_poor: bool) {
        self.update(target, |evidence| {
            evidence.ratings += 1;
            evidence.poor_ratings += u64::from(is_poor);
        });
    }

    fn update(&mut self, target: &Target, change: impl FnOnce(&mut Evidence)) {
        let evidence = self.by_target.entry(target.clone()).or_default();
        change(evidence);
        self.changed.insert(target.clone(), *evidence);
    }

    /// All counters.
    pub(crate) fn all(&self) -> BTreeMap<Target, Evidence> {
        self.by_target.clone()
    }

    /// The counters that changed since the last call.
    pub(crate) fn take_changed(&mut self) -> BTreeMap<Target, Evidence> {
        std::mem::take(&mut self.changed)
    }
}
