//! Parameters and results of simulations in which prompt parts crash upstreams.

use stallhoist_policy::fatal::FatalConfig;

/// What gateways know of parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Crashes count for whole requests only.
    Requests,
    /// Crashes count for the parts of prompts, too.
    Parts,
    /// Knows a fatal part from its first crash.
    Oracle,
}

/// Crashes of upstreams that no request causes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OtherCrashes {
    pub(crate) every_s: f64,
    pub(crate) at_once: usize,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub(crate) policy: Policy,
    pub(crate) config: FatalConfig,
    pub(crate) gateways: usize,
    pub(crate) upstreams: usize,
    pub(crate) sound_per_s: f64,
    /// Number of fatal parts, and requests per second with each.
    pub(crate) fatal_parts: usize,
    pub(crate) fatal_per_s: f64,
    /// Sound requests that share all other parts with a fatal one, for each of these.
    pub(crate) companions: usize,
    /// Whether the fatal part always comes together with another part that nobody else sends.
    pub(crate) is_paired: bool,
    /// Whether upstreams crash before they respond, or after the first part of the response, and not after its head.
    pub(crate) crashes_before_head: bool,
    pub(crate) crashes_after_first_part: bool,
    /// Whether requests with the fatal part were sound until then.
    pub(crate) turns_fatal: bool,
    /// Mean time until a response begins, and its duration.
    pub(crate) wait_s: f64,
    pub(crate) response_s: f64,
    /// Distinct first and second parts of sound requests.
    pub(crate) first_parts: u64,
    pub(crate) second_parts: u64,
    pub(crate) restart_s: f64,
    pub(crate) update_delay_s: f64,
    pub(crate) other_crashes: Option<OtherCrashes>,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            policy: Policy::Parts,
            config: FatalConfig::default(),
            gateways: 4,
            upstreams: 9,
            sound_per_s: 60.0,
            fatal_parts: 1,
            fatal_per_s: 3.0,
            companions: 2,
            is_paired: false,
            crashes_before_head: false,
            crashes_after_first_part: false,
            turns_fatal: false,
            wait_s: 0.15,
            response_s: 2.5,
            first_parts: 8,
            second_parts: 200,
            restart_s: 3.0,
            update_delay_s: 0.1,
            other_crashes: None,
        }
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) crashes: usize,
    /// Sends of requests with each fatal part later than 3 s after its fifth crash.
    pub(crate) late_sends: Vec<usize>,
    /// Sound requests, and those that were never completed.
    pub(crate) sound: usize,
    pub(crate) lost: usize,
    /// Sound requests that were rejected as a part or they themselves were quarantined.
    pub(crate) held_back: usize,
    /// Sound requests from 6 s after the fifth crash until the end of the fatal ones, and those that began at the first
    /// attempt.
    pub(crate) later: usize,
    pub(crate) later_begun: usize,
    /// Sound parts that any gateway ever held back.
    pub(crate) wrong_parts: usize,
    /// Crash updates that gateways sent.
    pub(crate) updates: usize,
}
