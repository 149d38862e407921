//! What became of the steps, and what peers tell of the duty.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;

use super::MAX_RETRY_DELAY;
use super::MAX_RETRY_RANK;
use super::MIN_RETRY_DELAY;
use super::UnconfirmedWrite;
use super::UsageDuty;
use crate::usage::Delivery;
use crate::usage::DutyRecord;
use crate::usage::DutySummary;
use crate::usage::DutyWrite;
use crate::usage::UsageWindow;
use crate::usage::WriteFailure;

impl UsageDuty {
    /// Records the result of reading the record: the version of its row, or of the store if there is none.
    pub fn on_read(
        &mut self,
        now: MonoTime,
        unix: Duration,
        result: Option<(StoreVersion, Option<DutyRecord>)>,
    ) {
        let Some((version, record)) = result else {
            self.retry_later(now);
            return;
        };
        self.failures = 0;
        self.needs_read = false;
        self.enter_era(unix, version.era);
        let confirmed = self.unconfirmed.take_if(|write| record.as_ref() == Some(&write.record));
        let lease = record.as_ref().map(|record| &record.lease);
        if let Some(write) = &confirmed {
            if !self.lease.is_holder() {
                self.acquired_at = Some(now);
            }
            self.lease.written(now, write.began, version, &write.record.lease);
        } else {
            self.lease.observe(now, version, lease);
        }
        let is_newest = match lease {
            Some(_) => self.lease.version() == Some(version),
            None => self.lease.record().is_none(),
        };
        if !is_newest {
            self.retry_later(now);
            return;
        }
        if let Some(record) = &record {
            self.summarize(version, record);
        }
        self.record = record;
        self.read_at = Some(unix);
    }

    /// Records the result of a write that was sent at `began`.
    pub fn on_written(
        &mut self,
        now: MonoTime,
        began: MonoTime,
        write: DutyWrite,
        result: Result<StoreVersion, WriteFailure>,
    ) {
        match result {
            Ok(version) => {
                self.failures = 0;
                self.unconfirmed = None;
                let was_holder = self.lease.is_holder();
                self.lease.written(now, began, version, &write.record.lease);
                if !was_holder {
                    self.acquired_at = Some(now);
                }
                if write.record.lease.is_released {
                    self.undelivered_since = None;
                }
                self.summarize(version, &write.record);
                self.record = Some(write.record);
            }
            Err(WriteFailure::Conflict) => self.needs_read = true,
            Err(WriteFailure::NotDone) => self.retry_later(now),
            Err(WriteFailure::Unknown) => {
                let record = write.record;
                let earlier = self.unconfirmed.take().filter(|known| known.record == record);
                let began = earlier.map_or(began, |known| known.began.min(began));
                self.unconfirmed = Some(UnconfirmedWrite { began, record });
                self.needs_read = true;
            }
        }
    }

    /// Records the result of sending a report.
    pub fn on_sent(&mut self, now: MonoTime, window: UsageWindow, delivery: Delivery) {
        match delivery {
            Delivery::Delivered | Delivery::Rejected => {
                self.failures = 0;
                self.undelivered_since = None;
                self.sent(window);
            }
            Delivery::Failed => {
                self.undelivered_since.get_or_insert(now);
                self.retry_later(now);
            }
        }
    }

    /// Records what a peer has told of the duty. Returns whether it is new.
    pub fn on_summary(&mut self, now: MonoTime, unix: Duration, told: &DutySummary) -> bool {
        if self.summary.as_ref().is_some_and(|known| !told.is_newer_than(known)) {
            return false;
        }
        self.enter_era(unix, told.version.era);
        if self.lease.observe(now, told.version, Some(&told.lease)) {
            self.record = None;
        }
        let sent_through = self.known_sent().max(told.sent_through);
        self.summary = Some(DutySummary { sent_through, ..told.clone() });
        true
    }

    /// Updates the summary by a record that was read or written.
    fn summarize(&mut self, version: StoreVersion, record: &DutyRecord) {
        let sent = match record.pending.first() {
            Some(unsent) => unsent.window.previous(),
            None => record.fixed_through,
        };
        self.summary = Some(DutySummary {
            version,
            lease: record.lease.clone(),
            fixed_through: record.fixed_through,
            sent_through: self.known_sent().max(sent),
        });
    }

    /// The last window that is known to be done. It is not forgotten with an era: what was sent has been sent.
    fn known_sent(&self) -> UsageWindow {
        self.summary.as_ref().map_or(UsageWindow::default(), |summary| summary.sent_through)
    }

    pub(super) fn sent(&mut self, window: UsageWindow) {
        if let Some(summary) = &mut self.summary {
            summary.sent_through = summary.sent_through.max(window);
        }
    }

    /// Leaves out the windows that may have been fixed in an earlier era, so all that have ended: the restored store may
    /// have lost their reports.
    fn enter_era(&mut self, unix: Duration, era: StoreEra) {
        if era > self.lease.era() {
            let first = self.schedule.last_ended(unix).next();
            self.first_of_era = self.first_of_era.max(first);
        }
    }

    fn retry_later(&mut self, now: MonoTime) {
        let delay = MIN_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(10));
        let max = match self.lease.is_holder() {
            true => MAX_RETRY_DELAY,
            false => MAX_RETRY_DELAY * (1 + self.rank.min(MAX_RETRY_RANK) as u32),
        };
        self.failures += 1;
        self.retry_at = now.after(delay.min(max));
    }
}
