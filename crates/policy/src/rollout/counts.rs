//! What was counted of the versions of a service.

/// What was counted of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Answers.
    pub answers: u64,
    /// Those that failed.
    pub failures: u64,
    /// Answers whose time was compared.
    pub timed: u64,
    /// Those that were slow.
    pub slow: u64,
}

impl VersionCounts {
    fn add(&mut self, more: Self) {
        self.answers += more.answers;
        self.failures += more.failures;
        self.timed += more.timed;
        self.slow += more.slow;
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// What was counted of the old and the new version of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvidenceTotals {
    /// What was counted of the old version.
    pub old: VersionCounts,
    /// What was counted of the new version.
    pub new: VersionCounts,
}

impl EvidenceTotals {
    /// What came since `earlier`; everything, when the counts have started anew.
    pub fn since(self, earlier: Self) -> Self {
        if self.old.answers < earlier.old.answers || self.new.answers < earlier.new.answers {
            return self;
        }
        Self { old: self.old.since(earlier.old), new: self.new.since(earlier.new) }
    }

    pub(super) fn add(&mut self, more: Self) {
        self.old.add(more.old);
        self.new.add(more.new);
    }
}
