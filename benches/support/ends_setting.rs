//! What requests that end upstreams meet, and what came of it.

/// How an entry decides about requests under which upstreams have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Kept,
    Nothing,
    Alone,
    ByWorkspace,
    Oracle,
}

/// What becomes of an answer that broke off at an upstream whose end does not show at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attribution {
    /// It is forgotten: a connection was cut.
    Never,
    /// Its entry remembers it until it learns itself that the upstream has ended.
    Here,
    /// The same, and the first entry to learn it tells the others.
    Among,
}

/// How the ends of upstreams show.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashDetection {
    /// The share of them that does not show at once, since the upstream listens again at once.
    pub(crate) late: f64,
    /// Each entry learns of such an end at some time until then, in seconds.
    pub(crate) within_s: f64,
    pub(crate) attribution: Attribution,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) policy: Policy,
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) bodies: usize,
    pub(crate) per_s: f64,
    pub(crate) streams_per_upstream: usize,
    pub(crate) crash_probability: f64,
    pub(crate) restart_s: f64,
    pub(crate) update_delay_s: f64,
    pub(crate) lost: f64,
    pub(crate) detection: CrashDetection,
}

/// From which each row of the table differs in one thing or two.
pub(crate) const DEFAULTS: Setting = Setting {
    policy: Policy::Kept,
    entries: 7,
    upstreams: 12,
    bodies: 3,
    per_s: 2.0,
    streams_per_upstream: 8,
    crash_probability: 1.0,
    restart_s: 2.0,
    update_delay_s: 0.25,
    lost: 0.0,
    detection: CrashDetection { late: 0.0, within_s: 0.0, attribution: Attribution::Among },
};

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) ends: usize,
    pub(crate) late_sends: usize,
    pub(crate) streams: usize,
    pub(crate) lost: usize,
    pub(crate) held_back: usize,
    pub(crate) bytes: u64,
}
