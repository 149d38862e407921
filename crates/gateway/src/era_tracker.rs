//! Which era of the store a feed is known from, without input or output.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

/// How long answers of an earlier era than what is known are taken for late ones.
const LATE_FOR: Duration = Duration::from_secs(10);

/// What an answer of a version is, by its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraComparison {
    /// That which is known, or the first.
    Current,
    /// A later one: the store has come back from a copy since this version.
    Advanced(StoreVersion),
    /// An earlier one than that of this version: a copy that another entry held, or an answer that was
    /// long on its way.
    Stale(StoreVersion),
    /// An earlier one, and no other ones have come for long: it is to be believed.
    Reverted(StoreVersion),
}

/// Which era of the store a feed is known from.
#[derive(Debug, Default)]
pub struct EraTracker {
    /// The newest version that was heard of; none before the first.
    newest: Option<StoreVersion>,
    /// The store has come back from a copy: until then what is missing there may be written again.
    grace_until: Option<MonoTime>,
    /// Since when only answers of an earlier era have come.
    late_since: Option<MonoTime>,
}

impl EraTracker {
    /// A whole feed was read at a version.
    pub fn record_read(&mut self, now: MonoTime, version: StoreVersion) -> EraComparison {
        let Some(newest) = self.newest.replace(version) else {
            return EraComparison::Current;
        };
        if version.era >= newest.era {
            self.newest = Some(newest.max(version));
            self.late_since = None;
            let is_later = version.era > newest.era;
            return if is_later { EraComparison::Advanced(newest) } else { EraComparison::Current };
        }
        let since = *self.late_since.get_or_insert(now);
        if now.since(since) >= LATE_FOR {
            self.late_since = None;
            return EraComparison::Reverted(newest);
        }
        self.newest = Some(newest);
        EraComparison::Stale(newest)
    }

    /// Changes came, up to a version.
    pub fn record_follow(&mut self, version: StoreVersion) {
        self.newest = self.newest.max(Some(version));
    }

    /// Whether nothing newer is known than a version.
    pub fn is_newest(&self, version: StoreVersion) -> bool {
        self.newest.is_none_or(|newest| version >= newest)
    }

    /// The newest version that was heard of.
    pub fn newest(&self) -> Option<StoreVersion> {
        self.newest
    }

    /// For so long what is known goes before what the store has.
    pub fn begin_grace(&mut self, now: MonoTime, time: Duration) {
        self.grace_until = Some(now.after(time));
    }

    /// For how much longer that is so; none if it is not.
    pub fn grace_left(&self, now: MonoTime) -> Option<Duration> {
        let left = self.grace_until?.since(now);
        (!left.is_zero()).then_some(left)
    }
}
