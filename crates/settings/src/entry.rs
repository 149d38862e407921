//! An entry's settings.

use serde::Deserialize;
use serde::Serialize;

use crate::BillSettings;
use crate::ClaimSettings;
use crate::HostSettings;
use crate::PlacementSettings;
use crate::PlatformSettings;
use crate::Problems;
use crate::RetrySettings;
use crate::Secret;
use crate::TimingSettings;
use crate::Validate;

const MIN_KEY_LEN: usize = 16;

/// What callers may ask for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest request body.
    pub max_body_bytes: usize,
    /// The most requests in progress; beyond it callers are told to come back.
    pub max_in_flight_requests: usize,
    /// The deadline of a request that names none.
    pub default_deadline_ms: u64,
    /// The longest deadline a request may name.
    pub max_deadline_ms: u64,
    /// How long an idle connection is kept open.
    pub keep_alive_s: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_in_flight_requests: 2_000,
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
            keep_alive_s: 30,
        }
    }
}

impl Validate for CallerLimits {
    fn check(&self, problems: &mut Problems) {
        problems.range("max_body_bytes", self.max_body_bytes, 1_024..=(32 << 20));
        problems.range("max_in_flight_requests", self.max_in_flight_requests, 1..=100_000);
        problems.range("default_deadline_ms", self.default_deadline_ms, 10..=3_600_000);
        problems.range("max_deadline_ms", self.max_deadline_ms, 10..=3_600_000);
        problems.range("keep_alive_s", self.keep_alive_s, 0..=3_600);
    }
}

/// How answers are rated.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingSettings {
    /// The part of whole answers that is rated, in percent.
    pub sample_percent: f64,
}

impl Default for RatingSettings {
    fn default() -> Self {
        Self { sample_percent: 5.0 }
    }
}

impl Validate for RatingSettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("sample_percent", self.sample_percent, 0.0..=100.0);
    }
}

/// All settings of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who the process is.
    pub host: HostSettings,
    /// Where callers connect to.
    pub callers_addr: String,
    /// Where operators connect to.
    pub operators_addr: String,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Keys of session tokens: the first signs, all are accepted.
    pub session_keys: Vec<Secret>,
    /// What callers may ask for.
    #[serde(default)]
    pub callers: CallerLimits,
    /// How it chooses an upstream.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// How it tries again.
    #[serde(default)]
    pub retries: RetrySettings,
    /// How answers are rated.
    #[serde(default)]
    pub ratings: RatingSettings,
    /// How it claims idempotency keys.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// How it brings records to the ledger.
    #[serde(default)]
    pub bill: BillSettings,
    /// How often it speaks and how long it waits.
    #[serde(default)]
    pub timing: TimingSettings,
    /// The largest message on a connection.
    #[serde(default = "default_max_frame_bytes")]
    pub max_frame_bytes: usize,
}

fn default_max_frame_bytes() -> usize {
    EntrySettings::default().max_frame_bytes
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            host: HostSettings::default(),
            callers_addr: "127.0.0.1:0".to_owned(),
            operators_addr: "127.0.0.1:0".to_owned(),
            platform: PlatformSettings::default(),
            session_keys: vec![Secret::new("session-key-for-loopback")],
            callers: CallerLimits::default(),
            placement: PlacementSettings::default(),
            retries: RetrySettings::default(),
            ratings: RatingSettings::default(),
            claims: ClaimSettings::default(),
            bill: BillSettings::default(),
            timing: TimingSettings::default(),
            max_frame_bytes: 8 << 20,
        }
    }
}

impl Validate for EntrySettings {
    fn check(&self, problems: &mut Problems) {
        problems.section("host", &self.host);
        problems.address("callers_addr", &self.callers_addr);
        problems.address("operators_addr", &self.operators_addr);
        problems.section("platform", &self.platform);
        if self.session_keys.is_empty() {
            problems.add("session_keys", "must hold at least one key");
        }
        if self.session_keys.iter().any(|key| key.reveal().len() < MIN_KEY_LEN) {
            problems
                .add("session_keys", format!("each must have at least {MIN_KEY_LEN} characters"));
        }
        problems.section("callers", &self.callers);
        problems.section("placement", &self.placement);
        problems.section("retries", &self.retries);
        problems.section("ratings", &self.ratings);
        problems.section("claims", &self.claims);
        problems.section("bill", &self.bill);
        problems.section("timing", &self.timing);
        problems.range("max_frame_bytes", self.max_frame_bytes, 65_536..=(64 << 20));
        if self.max_frame_bytes < self.callers.max_body_bytes + FRAME_OVERHEAD_BYTES {
            problems.add(
                "max_frame_bytes",
                format!("must exceed callers.max_body_bytes by {FRAME_OVERHEAD_BYTES}"),
            );
        }
    }
}

/// What a message adds to the body it carries, generously.
const FRAME_OVERHEAD_BYTES: usize = 16_384;
