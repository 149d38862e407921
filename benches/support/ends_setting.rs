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
pub(crate) enum Joining {
    /// It is forgotten: a connection was cut.
    Never,
    /// Its entry remembers it until it learns itself that the upstream has ended.
    Here,
    /// The same, and the first entry to learn it tells the others.
    Among,
}

/// How the ends of upstreams show.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Showing {
    /// The share of them that does not show at once, since the upstream listens again at once.
    pub(crate) late: f64,
    /// Each entry learns of such an end at some time until then, in seconds.
    pub(crate) within_s: f64,
    pub(crate) joining: Joining,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) policy: Policy,
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    pub(crate) bodies: usize,
    pub(crate) per_s: f64,
    pub(crate) beside: usize,
    pub(crate) chance: f64,
    pub(crate) back_s: f64,
    pub(crate) news_s: f64,
    pub(crate) lost: f64,
    pub(crate) showing: Showing,
}

/// From which each row of the table differs in one thing or two.
pub(crate) const USUAL: Setting = Setting {
    policy: Policy::Kept,
    entries: 7,
    upstreams: 12,
    bodies: 3,
    per_s: 2.0,
    beside: 8,
    chance: 1.0,
    back_s: 2.0,
    news_s: 0.25,
    lost: 0.0,
    showing: Showing { late: 0.0, within_s: 0.0, joining: Joining::Among },
};

/// What came of it.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    pub(crate) ends: usize,
    pub(crate) late_sends: usize,
    pub(crate) streams: usize,
    pub(crate) lost: usize,
    pub(crate) held_back: usize,
    pub(crate) bytes: u64,
}
