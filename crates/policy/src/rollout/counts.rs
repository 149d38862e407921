//! Counts of responses by version of a service.

/// Responses whose latency was compared with the baseline at the same load.
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

/// Counts of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Responses.
    pub answers: u64,
    /// Failed responses.
    pub failures: u64,
    /// Latencies of the first chunk of a response.
    pub first_parts: TimedCounts,
    /// Token intervals of streams.
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

/// Counts of the old and the new version of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvidenceTotals {
    /// Counts of the old version.
    pub old: VersionCounts,
    /// Counts of the new version.
    pub new: VersionCounts,
}

impl EvidenceTotals {
    /// The counts by which these exceed earlier ones; none where they do not.
    pub fn since(self, earlier: Self) -> Self {
        Self { old: self.old.since(earlier.old), new: self.new.since(earlier.new) }
    }

    /// Adds counts.
    pub fn add(&mut self, more: Self) {
        self.old.add(more.old);
        self.new.add(more.new);
    }
}
