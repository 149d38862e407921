//! What each target did on this upstream.

use std::collections::BTreeMap;

use stallhoist_core::Target;

/// What one target did since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Evidence {
    /// Attempts that were started and ended, good or bad.
    pub answers: u64,
    /// Those that ended in an error or broke off.
    pub failures: u64,
}

/// Counts by target.
#[derive(Debug, Default)]
pub(crate) struct EvidenceBook {
    by_target: BTreeMap<Target, Evidence>,
    changed: BTreeMap<Target, Evidence>,
}

impl EvidenceBook {
    pub(crate) fn count(&mut self, target: &Target, is_failure: bool) {
        let evidence = self.by_target.entry(target.clone()).or_default();
        evidence.answers += 1;
        evidence.failures += u64::from(is_failure);
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
