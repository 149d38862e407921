//! Whether a start of an upstream is used, and how that changes.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::HealthConfig;

/// How fit for use a start of an upstream is; the fitter one comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fitness {
    /// Nothing speaks against it.
    Well,
    /// It is left alone for a while, as long as another one is well.
    Resting,
    /// This start of it has ended: there is no use in it unless that is an error.
    Over,
}

/// Nothing speaks against it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Well;

/// It does not run requests, or cannot be reached.
#[derive(Debug, Clone, Copy)]
pub(super) struct Resting {
    until: MonoTime,
    in_row: u32,
}

/// The start has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Over {
    /// Since when it is known.
    since: MonoTime,
    until: MonoTime,
    in_row: u32,
}

/// What a start of an upstream is. Each state has the transitions that are possible from it.
#[derive(Debug, Clone, Copy)]
pub(super) enum Standing {
    Well(Well),
    Resting(Resting),
    Over(Over),
}

impl Default for Standing {
    fn default() -> Self {
        Self::Well(Well)
    }
}

/// The first pause of a kind, and the longest; each in a row is twice as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseRange {
    /// The first one.
    pub first: Duration,
    /// The longest one.
    pub longest: Duration,
}

impl PauseRange {
    fn pause(self, in_row: u32) -> Duration {
        self.first.saturating_mul(1 << in_row.min(16)).min(self.longest)
    }
}

impl Well {
    fn rest(self, now: MonoTime, pauses: PauseRange) -> Resting {
        Resting { until: now.after(pauses.pause(0)), in_row: 1 }
    }

    fn end(self, now: MonoTime, pauses: PauseRange) -> Over {
        Over { since: now, until: now.after(pauses.pause(0)), in_row: 1 }
    }
}

impl Resting {
    fn rest(self, now: MonoTime, pauses: PauseRange) -> Self {
        let until = now.after(pauses.pause(self.in_row)).max(self.until);
        Self { until, in_row: self.in_row + 1 }
    }

    fn end(self, now: MonoTime, pauses: PauseRange) -> Over {
        Well.end(now, pauses)
    }
}

impl Over {
    fn end(self, now: MonoTime, pauses: PauseRange) -> Self {
        let until = now.after(pauses.pause(self.in_row)).max(self.until);
        Self { since: now, until, in_row: self.in_row + 1 }
    }
}

impl Standing {
    /// It does not run requests, or cannot be reached. One that is over stays so.
    pub(super) fn rests(self, now: MonoTime, pauses: PauseRange) -> Self {
        match self {
            Self::Well(well) => Self::Resting(well.rest(now, pauses)),
            Self::Resting(resting) => Self::Resting(resting.rest(now, pauses)),
            Self::Over(over) => Self::Over(over),
        }
    }

    /// The start has ended.
    pub(super) fn ends(self, now: MonoTime, pauses: PauseRange) -> Self {
        Self::Over(match self {
            Self::Well(well) => well.end(now, pauses),
            Self::Resting(resting) => resting.end(now, pauses),
            Self::Over(over) => over.end(now, pauses),
        })
    }

    /// What another entry knows: it is over, or refuses requests, for so much longer. It changes
    /// nothing at one that is known to be as bad, so that what two entries tell each other again
    /// and again comes to an end.
    pub(super) fn apply_peer_update(self, now: MonoTime, told: HealthUpdate) -> Self {
        if self.fitness(now) >= told.fitness() {
            return self;
        }
        match told {
            HealthUpdate::Over(left) => {
                Self::Over(Over { since: now, until: now.after(left), in_row: 1 })
            }
            HealthUpdate::BackingOff(left) => {
                Self::Resting(Resting { until: now.after(left), in_row: 1 })
            }
        }
    }

    /// What other entries should know.
    pub(super) fn peer_updates(self, now: MonoTime, config: &HealthConfig) -> Option<HealthUpdate> {
        match self {
            Self::Over(over)
                if now < over.until && now.since(over.since) < config.tell_over_for =>
            {
                Some(HealthUpdate::Over(over.until.since(now)))
            }
            Self::Resting(resting)
                if now < resting.until && resting.in_row >= config.tell_resting_from =>
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

/// What entries tell each other of a start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthUpdate {
    /// It is over, and is taken for so for this time.
    Over(Duration),
    /// It refuses requests, one after the other, and rests for this time.
    BackingOff(Duration),
}

impl HealthUpdate {
    fn fitness(self) -> Fitness {
        match self {
            Self::Over(_) => Fitness::Over,
            Self::BackingOff(_) => Fitness::Resting,
        }
    }

    /// The same, for no longer than it can be.
    pub(super) fn bounded(self, config: &HealthConfig) -> Self {
        match self {
            Self::Over(left) => Self::Over(left.min(config.misdirected.longest)),
            Self::BackingOff(left) => Self::BackingOff(left.min(config.refused.longest)),
        }
    }
}
