//! The steps of the duty, their results, and what they depend on.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::DutyWrite;
use super::UsageCall;
use super::UsageCounts;

/// What a gateway does next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DutyStep {
    /// Nothing for this time, unless something becomes known before.
    Wait(Duration),
    /// Read the record.
    Read,
    /// Write the record.
    Write(DutyWrite),
    /// Send a report. The call must have ended after `within`.
    Send {
        /// The call.
        call: UsageCall,
        /// Time after which the call must not reach the platform any more.
        within: Duration,
    },
}

/// Why a write of the record is not known to have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFailure {
    /// The record has changed since it was read; nothing was written.
    Conflict,
    /// The store rejected the call, or was not reached; nothing was written.
    NotDone,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// The result of sending a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The platform has accepted it.
    Delivered,
    /// The platform rejects it for good.
    Rejected,
    /// It may or may not have been accepted; it is sent again.
    Failed,
}

/// What a decision depends on besides the duty's own state.
#[derive(Debug, Clone, Copy)]
pub struct DutyContext<'a> {
    /// The process's clock.
    pub now: MonoTime,
    /// The agreed time of day, as a duration since the Unix epoch.
    pub unix: Duration,
    /// The position of this gateway in the order in which all gateways take the duty over.
    pub rank: usize,
    /// Whether no other gateway is listed.
    pub is_alone: bool,
    /// Whether this gateway is about to stop.
    pub is_leaving: bool,
    /// The counts of all gateways.
    pub counts: &'a UsageCounts,
}

impl DutyContext<'_> {
    /// Whether this gateway hears from others, or is the only one.
    pub(super) fn is_connected(&self) -> bool {
        self.is_alone || self.counts.is_connected(self.now)
    }

    /// The time up to which the counts of all gateways are known; none if those of others are not known at all.
    pub(super) fn complete_through(&self) -> Option<Duration> {
        let is_known = self.is_alone || self.counts.has_marks(self.now);
        is_known.then(|| self.counts.complete_through(self.now, self.unix, &[]))
    }
}
