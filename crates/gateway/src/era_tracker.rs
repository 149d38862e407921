//! Tracks the store era that a feed is known from, without performing I/O.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

/// How long responses of an earlier era count as stale.
const STALE_PERIOD: Duration = Duration::from_secs(10);

/// The era of a response, compared with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraComparison {
    /// The known era, or the first one.
    Current,
    /// A later era: the store was restored from a copy since this version.
    Advanced(StoreVersion),
    /// An era earlier than that of this version: a peer's copy, or a delayed response.
    Stale(StoreVersion),
    /// An earlier era that has been the only one for long, and is accepted.
    Reverted(StoreVersion),
}

/// The store era that a feed is known from.
#[derive(Debug, Default)]
pub struct EraTracker {
    /// The newest known version; `None` before the first one.
    newest: Option<StoreVersion>,
    /// After a restore from a copy: until then what is missing in the store may be rewritten.
    grace_until: Option<MonoTime>,
    /// Since when only responses of an earlier era have arrived.
    stale_since: Option<MonoTime>,
}

impl EraTracker {
    /// Records a read of the whole feed.
    pub fn record_read(&mut self, now: MonoTime, version: StoreVersion) -> EraComparison {
        let Some(newest) = self.newest.replace(version) else {
            return EraComparison::Current;
        };
        if version.era >= newest.era {
            self.newest = Some(newest.max(version));
            self.stale_since = None;
            let is_later = version.era > newest.era;
            return if is_later { EraComparison::Advanced(newest) } else { EraComparison::Current };
        }
        let since = *self.stale_since.get_or_insert(now);
        if now.since(since) >= STALE_PERIOD {
            self.stale_since = None;
            return EraComparison::Reverted(newest);
        }
        self.newest = Some(newest);
        EraComparison::Stale(newest)
    }

    /// Records changes up to a version.
    pub fn record_follow(&mut self, version: StoreVersion) {
        self.newest = self.newest.max(Some(version));
    }

    /// Whether no newer version is known.
    pub fn is_newest(&self, version: StoreVersion) -> bool {
        self.newest.is_none_or(|newest| version >= newest)
    }

    /// The newest known version.
    pub fn newest(&self) -> Option<StoreVersion> {
        self.newest
    }

    /// Lets local state take precedence over the store for a time.
    pub fn begin_grace(&mut self, now: MonoTime, time: Duration) {
        self.grace_until = Some(now.after(time));
    }

    /// The remaining time for which local state takes precedence; `None` if it does not.
    pub fn grace_left(&self, now: MonoTime) -> Option<Duration> {
        let left = self.grace_until?.since(now);
        (!left.is_zero()).then_some(left)
    }
}
