//! How far the response of an attempt had come when it broke.

use std::time::Duration;

use displaydoc::Display;
use stallhoist_core::MonoTime;

/// A response that was written for this long did not crash its upstream: what crashes an upstream as it begins to
/// write does so within a tenth of a second, or some tenths if the upstream is busy.
const WRITTEN_AFTER: Duration = Duration::from_millis(500);

/// How far a response had come: nothing was received, the head, parts of the body, or parts of the body for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum ResponsePhase {
    /// awaited
    Awaited,
    /// begun
    Begun,
    /// started
    Started,
    /// written
    Written,
}

/// The progress of one response.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseProgress {
    begun_at: Option<MonoTime>,
    last_part_at: Option<MonoTime>,
}

impl ResponseProgress {
    /// The head of the response was received.
    pub fn record_head(&mut self, now: MonoTime) {
        self.begun_at = Some(now);
    }

    /// A part of the body was received. Returns whether the response counts as written from now on.
    pub fn record_part(&mut self, now: MonoTime) -> bool {
        let previous = self.phase();
        self.last_part_at = Some(now);
        previous < ResponsePhase::Written && self.phase() == ResponsePhase::Written
    }

    /// How far the response has come.
    pub fn phase(&self) -> ResponsePhase {
        let Some(begun_at) = self.begun_at else {
            return ResponsePhase::Awaited;
        };
        match self.last_part_at {
            None => ResponsePhase::Begun,
            Some(at) if at.since(begun_at) < WRITTEN_AFTER => ResponsePhase::Started,
            Some(_) => ResponsePhase::Written,
        }
    }
}
