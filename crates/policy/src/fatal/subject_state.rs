//! The states of a request in the crash tracking, and their transitions.

use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

use super::FatalConfig;

/// Upstreams crashed while they ran it; other requests on them may be the cause.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspect;

/// It is quarantined: not sent to upstreams.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldBack {
    /// The start of the quarantine or the end of the last trial.
    since: MonoTime,
    tries: u32,
}

/// It is on trial: this gateway sends it to one upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trying {
    held: HeldBack,
    until: MonoTime,
}

/// It had a complete response: crashes so far do not count.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cleared {
    since: MonoTime,
}

/// The state of a request. Each state has only the transitions that are possible from it.
#[derive(Debug, Clone, Copy)]
pub(super) enum SubjectState {
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
    /// Restores the state from the store.
    pub(super) fn stored(now: MonoTime, tries: u32) -> Self {
        Self { since: now, tries }
    }

    pub(super) fn since(self) -> MonoTime {
        self.since
    }

    pub(super) fn tries(self) -> u32 {
        self.tries
    }

    /// When the next trial may begin; none if there is none.
    pub(super) fn next_trial_at(self, config: &FatalConfig) -> Option<MonoTime> {
        (self.tries < config.max_trials).then(|| self.since.after(config.trial_delay))
    }

    pub(super) fn begin_trial(self, now: MonoTime, config: &FatalConfig) -> Trying {
        let held = Self { tries: self.tries + 1, ..self };
        Trying { held, until: now.after(config.trial_timeout) }
    }

    /// An upstream crashed during a trial: there are no more trials.
    pub(super) fn proved_fatal(self, config: &FatalConfig) -> Self {
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

    /// The trial had no result.
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

impl SubjectState {
    /// The quarantine, which lasts during a trial.
    pub(super) fn quarantined(self) -> Option<HeldBack> {
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

/// How a request may be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It may be sent without restrictions.
    Free,
    /// It may have caused crashes: it is sent, but not to an upstream that runs other suspects.
    Suspect,
    /// It is not sent.
    HeldBack {
        /// When the next trial may begin; none if there is none.
        due: Option<MonoTime>,
    },
    /// It is sent once if the store, which counts the trials of all gateways, agrees.
    MayTry,
}

/// The stored record of a quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FatalRecord {
    /// The number of trials.
    pub tries: u32,
    /// The number of crashes.
    pub ends: u32,
}

/// A conditional write of a request's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FatalChange {
    /// The row version that was read; none if there was no row.
    pub expected: Option<StoreVersion>,
    /// The new record; none to remove the row.
    pub record: Option<FatalRecord>,
}
