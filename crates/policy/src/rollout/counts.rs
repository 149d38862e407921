//! What was counted of the versions of a service.

/// Answers whose times were compared with the usual time at the same load.
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

/// What was counted of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Answers.
    pub answers: u64,
    /// Those that failed.
    pub failures: u64,
    /// Times to the first part of an answer.
    pub first_parts: TimedCounts,
    /// How fast streams were generated.
    pub paces: TimedCounts,
}

impl VersionCounts {
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
