//! Parameters of the attribution of crashes to requests and prompt parts.

use std::time::Duration;

use super::Weight;

/// Parameters of the attribution of crashes to requests and prompt parts, the subjects.
#[derive(Debug, Clone)]
pub struct FatalConfig {
    /// A request is quarantined after this many crashes, unless others explain all of them. A threshold of two would
    /// quarantine requests that happened to run twice on the same upstream as a fatal one.
    pub quarantine_threshold: usize,
    /// A part is quarantined if its crashes that others don't explain weigh this much, the same as three crashes of
    /// upstreams that had just begun a response.
    pub part_weight: Weight,
    /// The same for a part that has been sent to this service without harm: it is most likely in the same requests as
    /// the cause.
    pub known_part_weight: Weight,
    /// How long a gateway remembers that a response to a part went well.
    pub survival_memory: Duration,
    /// Upstreams that crash within this time count as one crash against a part.
    pub crash_spacing: Duration,
    /// Delay before a quarantined subject may be sent on trial, counted from the quarantine or the last
    /// trial. Upstreams that crashed are back after some seconds, and all gateways know of the crash by
    /// then.
    pub trial_delay: Duration,
    /// The most trials of a subject, over all gateways: each may cost an upstream.
    pub max_trials: u32,
    /// A trial without a result after this time is treated as lost with its gateway.
    pub trial_timeout: Duration,
    /// How long a crash is published to peers after it was recorded. It is sent several times during
    /// this time, and each message costs bytes.
    pub publish_for: Duration,
    /// How long the crashes of a subject that is rarely sent count.
    pub suspect_ttl: Duration,
    /// How long cleared crashes are kept: peers may still publish them.
    pub cleared_ttl: Duration,
    /// The most subjects that are kept, at about 200 bytes each. Only a crash of an upstream adds subjects, so filling
    /// this takes crashes of hundreds of upstreams.
    pub max_subjects: usize,
    /// The most subjects that are kept for one crash.
    pub max_subjects_per_crash: usize,
    /// The most crashes that are kept for one subject.
    pub max_crashes_per_subject: usize,
}

impl Default for FatalConfig {
    fn default() -> Self {
        Self {
            quarantine_threshold: 3,
            part_weight: Weight(12),
            known_part_weight: Weight(24),
            survival_memory: Duration::from_secs(60),
            crash_spacing: Duration::from_millis(100),
            trial_delay: Duration::from_secs(5),
            max_trials: 2,
            trial_timeout: Duration::from_secs(30),
            publish_for: Duration::from_secs(3),
            suspect_ttl: Duration::from_secs(24 * 3_600),
            cleared_ttl: Duration::from_secs(60),
            max_subjects: 4_096,
            max_subjects_per_crash: 256,
            max_crashes_per_subject: 32,
        }
    }
}
