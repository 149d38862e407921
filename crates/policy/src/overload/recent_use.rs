//! Engine time of the recent past, with an exponential decay.

use std::time::Duration;

use stallhoist_core::EngineTime;
use stallhoist_core::MonoTime;

use super::fair_shares::WorkspaceUse;

/// Time in which past use decays to 1 / e. Several times as long as a typical response, and short enough that
/// a workspace is back within its share seconds after its burst.
const DECAY: Duration = Duration::from_secs(3);

/// Recent engine time of one workspace, decaying.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentUse {
    updated: MonoTime,
    asked_ms: f64,
    sent_ms: f64,
}

impl RecentUse {
    pub(super) fn record_asked(&mut self, now: MonoTime, time: EngineTime) {
        self.decay(now);
        self.asked_ms += time.as_millis();
    }

    pub(super) fn record_sent(&mut self, now: MonoTime, time: EngineTime) {
        self.decay(now);
        self.sent_ms += time.as_millis();
    }

    /// What is left of it at `now`.
    pub(super) fn at(&self, now: MonoTime) -> WorkspaceUse {
        let left = self.share_left(now);
        WorkspaceUse {
            asked_ms: (self.asked_ms * left).round() as u32,
            sent_ms: (self.sent_ms * left).round() as u32,
        }
    }

    fn decay(&mut self, now: MonoTime) {
        let left = self.share_left(now);
        self.asked_ms *= left;
        self.sent_ms *= left;
        self.updated = now;
    }

    fn share_left(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / DECAY.as_secs_f64();
        (-age).exp()
    }
}
