//! What a request is taken for, and how that changes.

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

use super::FatalConfig;

/// Upstreams have ended while they ran it; others that ran there may have done it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspect;

/// It is not sent to upstreams.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldBack {
    /// Since when, or when it was tried last.
    since: MonoTime,
    tries: u32,
}

/// It is sent to one upstream, by this entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trying {
    held: HeldBack,
    until: MonoTime,
}

/// It was answered whole: the ends so far do not count.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cleared {
    since: MonoTime,
}

/// What a request is taken for. Each state has the transitions that are possible from it.
#[derive(Debug, Clone, Copy)]
pub(super) enum Standing {
    Suspect(Suspect),
    HeldBack(HeldBack),
    Trying(Trying),
    Cleared(Cleared),
}

impl Suspect {
    pub(super) fn hold(self, now: MonoTime) -> HeldBack {
        HeldBack { since: now, tries: 0 }
    }
}

impl HeldBack {
    /// As the store has it.
    pub(super) fn stored(now: MonoTime, tries: u32) -> Self {
        Self { since: now, tries }
    }

    pub(super) fn since(self) -> MonoTime {
        self.since
    }

    pub(super) fn tries(self) -> u32 {
        self.tries
    }

    /// When it may be tried again; none when it may not be.
    pub(super) fn due(self, config: &FatalConfig) -> Option<MonoTime> {
        (self.tries < config.max_trials).then(|| self.since.after(config.trial_delay))
    }

    pub(super) fn begin_trial(self, now: MonoTime, config: &FatalConfig) -> Trying {
        let held = Self { tries: self.tries + 1, ..self };
        Trying { held, until: now.after(config.trial_timeout) }
    }

    /// An upstream has ended under it, when it was tried again: it is never tried again.
    pub(super) fn proved(self, config: &FatalConfig) -> Self {
        Self { tries: config.max_trials, ..self }
    }
}

impl Trying {
    pub(super) fn held(self) -> HeldBack {
        self.held
    }

    pub(super) fn until(self) -> MonoTime {
        self.until
    }

    /// The try proved nothing.
    pub(super) fn end(self, now: MonoTime) -> HeldBack {
        HeldBack { since: now, ..self.held }
    }
}

impl Cleared {
    pub(super) fn at(now: MonoTime) -> Self {
        Self { since: now }
    }

    pub(super) fn since(self) -> MonoTime {
        self.since
    }
}

impl Standing {
    /// It is held back, also while it is tried.
    pub(super) fn held(self) -> Option<HeldBack> {
        match self {
            Self::HeldBack(held) => Some(held),
            Self::Trying(trying) => Some(trying.held()),
            Self::Suspect(_) | Self::Cleared(_) => None,
        }
    }

    pub(super) fn is_cleared(self) -> bool {
        matches!(self, Self::Cleared(_))
    }
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Nothing speaks against it.
    Free,
    /// It may be what ended upstreams: it is sent, but not beside others of which that is thought.
    Suspect,
    /// It is not sent.
    HeldBack {
        /// When it may be tried again; none when never.
        due: Option<MonoTime>,
    },
    /// It is sent once if the store agrees, which counts the tries of all entries.
    MayTry,
}

/// What is to be written to the store of a request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FatalRecord {
    /// How often it was tried again.
    pub tries: u32,
    /// Under how many upstreams' ends it has been.
    pub ends: u32,
}

/// What the store has of a request, and what is to be there instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FatalChange {
    /// The version of its row that was read; none when there was no row.
    pub expected: Option<StoreVersion>,
    /// The new record; none when the row is to be removed.
    pub record: Option<FatalRecord>,
}
