//! What each target did on this upstream.

use std::collections::BTreeMap;

use stallhoist_core::Target;

/// What one target did since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Evidence {
    /// Attempts that were started and ended, good or bad.
    pub answers: u64,
    /// Those that ended in an error, broke off or came empty.
    pub failures: u64,
    /// Answers that an entry had rated.
    pub ratings: u64,
    /// Those that were rated poor.
    pub poor_ratings: u64,
}

/// Counts by target.
#[derive(Debug, Default)]
pub(crate) struct EvidenceBook {
    by_target: BTreeMap<Target, Evidence>,
    changed: BTreeMap<Target, Evidence>,
}

impl EvidenceBook {
    pub(crate) fn count(&mut self, target: &Target, is_failure: bool) {
        self.change(target, |evidence| {
            evidence.answers += 1;
            evidence.failures += u64::from(is_failure);
        });
    }

    pub(crate) fn rated(&mut self, target: &Target, is_poor: bool) {
        self.change(target, |evidence| {
            evidence.ratings += 1;
            evidence.poor_ratings += u64::from(is_poor);
        });
    }

    fn change(&mut self, target: &Target, change: impl FnOnce(&mut Evidence)) {
        let evidence = self.by_target.entry(target.clone()).or_default();
        change(evidence);
        self.changed.insert(target.clone(), *evidence);
    }

    /// All counts.
    pub(crate) fn all(&self) -> BTreeMap<Target, Evidence> {
        self.by_target.clone()
    }

    /// The counts that changed since the last call.
    pub(crate) fn take_changed(&mut self) -> BTreeMap<Target, Evidence> {
        std::mem::take(&mut self.changed)
    }
}
