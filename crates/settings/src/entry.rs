//! Settings of an entry.

use serde::Deserialize;
use serde::Serialize;
use stallhoist_core::ByteSize;

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

const MIN_KEY_BYTES: usize = 16;

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Memory of the host, of which a part is for request bodies; what the system tells if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host_memory: Option<ByteSize>,
    /// Maximum number of requests in progress; requests beyond it are rejected, to be retried later.
    pub max_in_flight_requests: usize,
    /// Deadline of a request that specifies none.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a request may specify.
    pub max_deadline_ms: u64,
    /// Time after which an idle connection is closed.
    pub keep_alive_s: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            host_memory: None,
            max_in_flight_requests: 2_000,
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
            keep_alive_s: 30,
        }
    }
}

impl Validate for CallerLimits {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("max_body_bytes", self.max_body_bytes, 1_024..=(32 << 20));
        problems.check_range("max_in_flight_requests", self.max_in_flight_requests, 1..=100_000);
        problems.check_range("default_deadline_ms", self.default_deadline_ms, 10..=3_600_000);
        problems.check_range("max_deadline_ms", self.max_deadline_ms, 10..=3_600_000);
        problems.check_range("keep_alive_s", self.keep_alive_s, 0..=3_600);
    }
}

/// Sampling of responses for quality ratings.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RatingSettings {
    /// Percentage of complete responses that are rated.
    pub sample_percent: f64,
}

impl Default for RatingSettings {
    fn default() -> Self {
        Self { sample_percent: 5.0 }
    }
}

impl Validate for RatingSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("sample_percent", self.sample_percent, 0.0..=100.0);
    }
}

/// All settings of an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity of the process.
    pub host: HostSettings,
    /// Address that callers connect to, `IP:PORT`.
    pub callers_addr: String,
    /// Address of the operators' endpoints, `IP:PORT`.
    pub operators_addr: String,
    /// Address and polling of the platform's services.
    pub platform: PlatformSettings,
    /// Keys of session tokens: the first one signs new tokens, tokens signed with any of them are accepted.
    pub session_keys: Vec<Secret>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Selection of upstreams.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Retries and ejection of failing upstreams.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Sampling of responses for quality ratings.
    #[serde(default)]
    pub ratings: RatingSettings,
    /// Batching and timeout of idempotency-key claims.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Delivery of bill records to the ledger.
    #[serde(default)]
    pub bill: BillSettings,
    /// Heartbeat interval, timeouts and grace periods.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Maximum size of a message on a connection.
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
    fn validate(&self, problems: &mut Problems) {
        problems.check_section("host", &self.host);
        problems.check_address("callers_addr", &self.callers_addr);
        problems.check_address("operators_addr", &self.operators_addr);
        problems.check_section("platform", &self.platform);
        if self.session_keys.is_empty() {
            problems.add("session_keys", "must hold at least one key");
        }
        if self.session_keys.iter().any(|key| key.reveal().len() < MIN_KEY_BYTES) {
            problems
                .add("session_keys", format!("each must have at least {MIN_KEY_BYTES} characters"));
        }
        problems.check_section("callers", &self.callers);
        problems.check_section("placement", &self.placement);
        problems.check_section("retries", &self.retries);
        problems.check_section("ratings", &self.ratings);
        problems.check_section("claims", &self.claims);
        problems.check_section("bill", &self.bill);
        problems.check_section("timing", &self.timing);
        problems.check_range("max_frame_bytes", self.max_frame_bytes, 65_536..=(64 << 20));
        if self.max_frame_bytes < self.callers.max_body_bytes + FRAME_OVERHEAD_BYTES {
            problems.add(
                "max_frame_bytes",
                format!("must exceed callers.max_body_bytes by {FRAME_OVERHEAD_BYTES}"),
            );
        }
    }
}

/// Upper bound on what a message adds to the body that it carries.
const FRAME_OVERHEAD_BYTES: usize = 16_384;
