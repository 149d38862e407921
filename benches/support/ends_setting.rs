//! Parameters and results of simulations with fatal requests: requests that crash upstreams.

/// How gateways decide about requests that were running when upstreams crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Quarantines by request; gateways exchange crashes and share records through the store.
    Kept,
    /// Quarantines nothing.
    Nothing,
    /// As `Kept`, but gateways send no crashes to peers, and write to the store only for trials.
    Alone,
    /// Quarantines all requests of a workspace from the third crash on.
    ByWorkspace,
    /// Knows a fatal body from its first crash.
    Oracle,
}

/// Whether a broken stream counts as a crash once the upstream's termination is detected later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attribution {
    /// Not counted: it is taken for a lost connection.
    Never,
    /// The gateway of the stream counts it once that gateway itself detects the termination.
    Here,
    /// As `Here`, and the first gateway to detect the termination informs its peers.
    Among,
}

/// How gateways detect that an upstream has crashed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashDetection {
    /// Share of crashes that are detected late, because the upstream listens again almost immediately.
    pub(crate) late: f64,
    /// Longest time until a gateway detects such a crash, in seconds.
    pub(crate) within_s: f64,
    pub(crate) attribution: Attribution,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) policy: Policy,
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    /// Number of distinct fatal bodies.
    pub(crate) bodies: usize,
    /// Requests per second with each fatal body.
    pub(crate) per_s: f64,
    /// Ordinary streams in progress at each upstream.
    pub(crate) streams_per_upstream: usize,
    /// Probability that a fatal body crashes the upstream that runs it.
    pub(crate) crash_probability: f64,
    /// Time from a crash until the upstream is up again.
    pub(crate) restart_s: f64,
    pub(crate) update_delay_s: f64,
    /// Probability that a message between gateways is lost and sent again.
    pub(crate) lost: f64,
    pub(crate) detection: CrashDetection,
}

/// Defaults; each row of the report differs from them in one or two parameters.
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

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) ends: usize,
    /// Attempts with a fatal body that were sent more than 3 s after its third crash.
    pub(crate) late_sends: usize,
    pub(crate) streams: usize,
    /// Ordinary streams that broke and ran out of attempts.
    pub(crate) lost: usize,
    /// Ordinary streams that were quarantined.
    pub(crate) held_back: usize,
    /// Bytes that gateways sent to each other.
    pub(crate) bytes: u64,
}
