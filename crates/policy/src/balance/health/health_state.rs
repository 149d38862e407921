//! States of an upstream incarnation, and the transitions between them.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::HealthConfig;

/// Health of an upstream incarnation at a point in time, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fitness {
    /// Healthy.
    Well,
    /// Backing off: not used for a while, as long as another upstream is healthy.
    Resting,
    /// Terminated: used only where there is no other upstream, in case the signal was wrong.
    Over,
}

/// No signal against it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Well;

/// It rejects requests, or is unreachable.
#[derive(Debug, Clone, Copy)]
pub(super) struct Resting {
    until: MonoTime,
    in_row: u32,
}

/// The incarnation has terminated.
#[derive(Debug, Clone, Copy)]
pub(super) struct Over {
    /// When this gateway learned of the termination.
    since: MonoTime,
    until: MonoTime,
    in_row: u32,
}

/// State of an upstream incarnation. Each state has the transitions that are possible from it.
#[derive(Debug, Clone, Copy)]
pub(super) enum HealthState {
    Well(Well),
    Resting(Resting),
    Over(Over),
}

impl Default for HealthState {
    fn default() -> Self {
        Self::Well(Well)
    }
}

/// Exponential back-off: the first delay, which doubles with each signal in a row, and its maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffRange {
    /// First delay.
    pub first: Duration,
    /// Maximum delay.
    pub longest: Duration,
}

impl BackoffRange {
    fn delay(self, in_row: u32) -> Duration {
        self.first.saturating_mul(1 << in_row.min(16)).min(self.longest)
    }
}

impl Well {
    fn back_off(self, now: MonoTime, range: BackoffRange) -> Resting {
        Resting { until: now.after(range.delay(0)), in_row: 1 }
    }

    fn terminate(self, now: MonoTime, range: BackoffRange) -> Over {
        Over { since: now, until: now.after(range.delay(0)), in_row: 1 }
    }
}

impl Resting {
    fn back_off(self, now: MonoTime, range: BackoffRange) -> Self {
        let until = now.after(range.delay(self.in_row)).max(self.until);
        Self { until, in_row: self.in_row + 1 }
    }

    fn terminate(self, now: MonoTime, range: BackoffRange) -> Over {
        Well.terminate(now, range)
    }
}

impl Over {
    fn terminate(self, now: MonoTime, range: BackoffRange) -> Self {
        let until = now.after(range.delay(self.in_row)).max(self.until);
        Self { since: now, until, in_row: self.in_row + 1 }
    }
}

impl HealthState {
    /// After a rejection, or where it is unreachable. A terminated incarnation stays terminated.
    pub(super) fn back_off(self, now: MonoTime, range: BackoffRange) -> Self {
        match self {
            Self::Well(well) => Self::Resting(well.back_off(now, range)),
            Self::Resting(resting) => Self::Resting(resting.back_off(now, range)),
            Self::Over(over) => Self::Over(over),
        }
    }

    /// After a signal that the incarnation has terminated.
    pub(super) fn terminate(self, now: MonoTime, range: BackoffRange) -> Self {
        Self::Over(match self {
            Self::Well(well) => well.terminate(now, range),
            Self::Resting(resting) => resting.terminate(now, range),
            Self::Over(over) => over.terminate(now, range),
        })
    }

    /// Merges a peer's update. It has no effect where the state is as bad already, so that an update which
    /// two gateways send to each other is not renewed endlessly.
    pub(super) fn apply_peer_update(self, now: MonoTime, update: HealthUpdate) -> Self {
        if self.fitness(now) >= update.fitness() {
            return self;
        }
        match update {
            HealthUpdate::Over(left) => {
                Self::Over(Over { since: now, until: now.after(left), in_row: 1 })
            }
            HealthUpdate::BackingOff(left) => {
                Self::Resting(Resting { until: now.after(left), in_row: 1 })
            }
        }
    }

    /// Update to send to peers, if any.
    pub(super) fn peer_updates(self, now: MonoTime, config: &HealthConfig) -> Option<HealthUpdate> {
        match self {
            Self::Over(over)
                if now < over.until && now.since(over.since) < config.publish_terminated_for =>
            {
                Some(HealthUpdate::Over(over.until.since(now)))
            }
            Self::Resting(resting)
                if now < resting.until && resting.in_row >= config.publish_backoff_from =>
            {
                Some(HealthUpdate::BackingOff(resting.until.since(now)))
            }
            _ => None,
        }
    }

    pub(super) fn fitness(self, now: MonoTime) -> Fitness {
        match self {
            Self::Resting(resting) if now < resting.until => Fitness::Resting,
            Self::Over(over) if now < over.until => Fitness::Over,
            _ => Fitness::Well,
        }
    }
}

/// Update on an upstream incarnation that gateways exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthUpdate {
    /// It counts as terminated for this much longer.
    Over(Duration),
    /// It rejected several requests in a row, and is backing off for this much longer.
    BackingOff(Duration),
}

impl HealthUpdate {
    fn fitness(self) -> Fitness {
        match self {
            Self::Over(_) => Fitness::Over,
            Self::BackingOff(_) => Fitness::Resting,
        }
    }

    /// Limits the duration to the maximum of its kind.
    pub(super) fn bounded(self, config: &HealthConfig) -> Self {
        match self {
            Self::Over(left) => Self::Over(left.min(config.misdirected.longest)),
            Self::BackingOff(left) => Self::BackingOff(left.min(config.refused.longest)),
        }
    }
}
