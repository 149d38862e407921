//! A lease as seen by one process.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;

use super::Holder;
use super::LeaseRecord;

/// The holder acts for this share of the duration at most. The rest covers the drift between two hosts' clocks and
/// the delay of packets that were sent in time.
const ACTING_SHARE: f64 = 0.8;

/// When a lease that another process holds may be taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takeover {
    /// Now.
    Now,
    /// At this time, if the record has not changed until then.
    At(MonoTime),
}

/// The newest known state of the record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    /// The version of the row, or of the store if there was no row.
    version: StoreVersion,
    /// None if there was no row.
    record: Option<LeaseRecord>,
    /// When this version was first observed.
    since: MonoTime,
}

/// A lease as seen by one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseTracker {
    local: Holder,
    duration: Duration,
    observed: Option<Observed>,
    /// Start of the last write by this process that is known to have taken effect.
    renewed_at: Option<MonoTime>,
    /// Start of the write with which this process became the holder.
    acquired_at: Option<MonoTime>,
}

impl LeaseTracker {
    /// Creates a tracker that knows nothing of the record.
    pub fn new(local: Holder, duration: Duration) -> Self {
        Self { local, duration, observed: None, renewed_at: None, acquired_at: None }
    }

    /// The newest known record.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.observed.as_ref()?.record.as_ref()
    }

    /// The newest known version of the record, or of the store if there was no record.
    pub fn version(&self) -> Option<StoreVersion> {
        self.observed.as_ref().map(|observed| observed.version)
    }

    /// The store era of the newest known record.
    pub fn era(&self) -> StoreEra {
        self.version().map_or_else(StoreEra::default, |version| version.era)
    }

    /// Records a state of the record that was read, or reported by a peer. Returns whether it is a new one.
    pub fn observe(
        &mut self,
        now: MonoTime,
        version: StoreVersion,
        record: Option<&LeaseRecord>,
    ) -> bool {
        if self.observed.as_ref().is_some_and(|known| known.supersedes(version, record)) {
            return false;
        }
        let is_other_holder = record.is_none_or(|record| record.holder != self.local);
        if is_other_holder || version.era != self.era() {
            self.renewed_at = None;
            self.acquired_at = None;
        }
        self.observed = Some(Observed { version, record: record.cloned(), since: now });
        true
    }

    /// Records a write by this process that was sent at `began` and has taken effect as `version`.
    ///
    /// One that has taken effect in a later era than that of the record it replaced makes no holder: the store has
    /// restored that record under its old version, and another process may have held the lease in between.
    pub fn written(
        &mut self,
        now: MonoTime,
        began: MonoTime,
        version: StoreVersion,
        record: &LeaseRecord,
    ) {
        let is_known = self.observed.as_ref().is_some_and(|known| known.version > version);
        if is_known {
            return;
        }
        if version.era != self.era() {
            self.observe(now, version, Some(record));
            return;
        }
        let is_same_epoch = self.record().is_some_and(|known| known.epoch == record.epoch);
        if !is_same_epoch || self.acquired_at.is_none() {
            self.acquired_at = Some(began);
        }
        self.renewed_at = Some(began);
        self.observed = Some(Observed { version, record: Some(record.clone()), since: now });
    }

    /// Whether this process is the holder as far as it knows. It may act only while [`time_left`](Self::time_left)
    /// is not zero.
    ///
    /// A record of this process that the store has restored from a copy does not count: another process may have
    /// held the lease, with a higher epoch, since that record was written.
    pub fn is_holder(&self) -> bool {
        let is_local = |record: &LeaseRecord| record.holder == self.local && !record.is_released;
        self.renewed_at.is_some() && self.record().is_some_and(is_local)
    }

    /// Time for which this process may still act; zero if it is not the holder.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        match self.renewed_at {
            Some(renewed_at) if self.is_holder() => {
                renewed_at.after(self.duration.mul_f64(ACTING_SHARE)).since(now)
            }
            _ => Duration::ZERO,
        }
    }

    /// When this process, which is not the holder, may take the lease over; none if the record was never read.
    pub fn takeover(&self, now: MonoTime) -> Option<Takeover> {
        let observed = self.observed.as_ref()?;
        let is_free = match &observed.record {
            Some(record) => record.is_released && record.holder.host != self.local.host,
            // In a later era, the row of a holder that still acts may be lost.
            None => observed.version.era == StoreEra::default(),
        };
        let at = observed.since.after(self.duration);
        Some(if is_free || now >= at { Takeover::Now } else { Takeover::At(at) })
    }

    /// The record with which this process acquires or renews the lease.
    pub fn acquired(&self) -> LeaseRecord {
        match self.record() {
            Some(record) if self.is_holder() => record.clone(),
            known => LeaseRecord::next(known, self.local.clone(), self.era()),
        }
    }

    /// The record with which the holder gives the lease up. None if it is not the holder, or has been so for less
    /// than the lease's duration: the holder before it could act again, out of turn, within that time.
    pub fn released(&self, now: MonoTime) -> Option<LeaseRecord> {
        let acquired_at = self.acquired_at.filter(|_| self.is_holder())?;
        let is_settled = now.since(acquired_at) >= self.duration;
        let record = self.record().filter(|_| is_settled)?;
        Some(LeaseRecord { is_released: true, ..record.clone() })
    }
}

impl Observed {
    /// Whether a state of the record is not newer than this one. A record that is missing in the same era is older
    /// than any that was there, as it is never removed.
    fn supersedes(&self, version: StoreVersion, record: Option<&LeaseRecord>) -> bool {
        if version.era != self.version.era {
            return version.era < self.version.era;
        }
        match (&self.record, record) {
            (Some(_), None) => true,
            (None, Some(_)) => false,
            (None, None) => true,
            (Some(_), Some(_)) => version.number <= self.version.number,
        }
    }
}
