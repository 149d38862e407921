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
