//! When a roll-out takes its next step, and which share the new version gets.

use super::RolloutPhase;
use super::RolloutRecord;

/// How a roll-out proceeds. Times are parts of the ordered duration, so that a long
/// roll-out observes the new version for longer.
///
/// A version may be bad only under a load that it does not meet while it is observed, or
/// turn bad late. Nobody can tell it from a good one then. So the times are set such that,
/// whatever the version is, it gets no more than what is allowed of the requests by the end of the
/// ordered duration: `canary_share` x `shift_after` + half of `shift_time` + the rest. Seven
/// eighths of it are used, 0.13 of the usual 0.15, as requests may come more often near the end.
#[derive(Debug, Clone)]
pub struct RolloutConfig {
    /// The new version's share of requests while it is observed.
    pub canary_share: f64,
    /// When everything begins to move over. Sessions stay on their version before half of
    /// the duration has passed, so it must not be earlier than that.
    pub shift_after: f64,
    /// How long the move takes.
    pub shift_time: f64,
    /// When the roll-out is completed, at the earliest: what runs on the old version
    /// should have ended, as it is stopped at once.
    pub complete_after: f64,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            canary_share: 0.03,
            shift_after: 0.885,
            shift_time: 0.02,
            // The order is noticed a second late at times, and the time counts from then.
            complete_after: 0.955,
        }
    }
}

/// The exposure for which the default is made.
const USUAL_EXPOSURE: f64 = 0.15;

/// The part of the allowed exposure that is used.
const USED_EXPOSURE: f64 = 0.875;

/// The least exposure that is heeded: with less the move would be an instant.
const MIN_EXPOSURE: f64 = 0.01;

impl RolloutConfig {
    /// A plan by which no version gets more than so much of the requests in its time.
    ///
    /// Where less is allowed than usual, the new version gets fewer requests while it is observed,
    /// and everything moves over later and faster. With the usual plan a version that is bad under a
    /// load that it never met got 769 of 6,851 requests where 698 were allowed. A larger allowance
    /// changes nothing: there is no use for it.
    pub fn within(max_exposure: f64) -> Self {
        let usual = Self::default();
        if max_exposure.is_nan() || max_exposure >= USUAL_EXPOSURE {
            return usual;
        }
        let max_exposure = max_exposure.max(MIN_EXPOSURE);
        let ratio = max_exposure / USUAL_EXPOSURE;
        let canary_share = usual.canary_share * ratio;
        let shift_time = usual.shift_time * ratio;
        let used = USED_EXPOSURE * max_exposure;
        let shift_after = (1.0 - shift_time / 2.0 - used) / (1.0 - canary_share);
        let complete_after = usual.complete_after.max(shift_after + 2.0 * shift_time);
        Self { canary_share, shift_after, shift_time, complete_after }
    }
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStep {
    /// Nothing yet.
    Wait,
    /// Store this phase.
    Enter(RolloutPhase),
}

/// The next step of a roll-out. `now_ms` is the store's clock.
pub fn next_step(
    config: &RolloutConfig,
    record: &RolloutRecord,
    now_ms: u64,
    is_bad: bool,
) -> RolloutStep {
    let elapsed = elapsed_part(record, now_ms);
    match record.phase {
        RolloutPhase::Completed | RolloutPhase::RolledBack => RolloutStep::Wait,
        _ if is_bad => RolloutStep::Enter(RolloutPhase::RolledBack),
        RolloutPhase::Canary if elapsed >= config.shift_after => {
            RolloutStep::Enter(RolloutPhase::Shifting { since_ms: now_ms })
        }
        RolloutPhase::Shifting { since_ms } if elapsed >= config.complete_after => {
            // A shift that began late is given its time before the old version is stopped.
            let shift_ms = config.shift_time * record.duration_ms as f64;
            let is_over = now_ms.saturating_sub(since_ms) as f64 >= 2.0 * shift_ms;
            if is_over { RolloutStep::Enter(RolloutPhase::Completed) } else { RolloutStep::Wait }
        }
        _ => RolloutStep::Wait,
    }
}

/// The share of requests that the new version gets, from 0 to 1.
pub fn new_version_share(config: &RolloutConfig, record: &RolloutRecord, now_ms: u64) -> f64 {
    match record.phase {
        RolloutPhase::Canary => config.canary_share,
        RolloutPhase::Shifting { since_ms } => {
            let shift_ms = (config.shift_time * record.duration_ms as f64).max(1.0);
            let moved = now_ms.saturating_sub(since_ms) as f64 / shift_ms;
            (config.canary_share + moved * (1.0 - config.canary_share)).min(1.0)
        }
        RolloutPhase::Completed => 1.0,
        RolloutPhase::RolledBack => 0.0,
    }
}

/// The control gets so small a part of what each upstream of the old version usually gets.
const CONTROL_PART: f64 = 0.25;

/// The share of requests that may go to the control, an upstream of the old version that has to
/// rest: as many as each upstream of the new version gets, and no fewer than a part of the usual.
/// With the first alone, one of 17 upstreams got two requests in ten seconds, and rested in vain.
pub fn control_share(canary_share: f64, new_upstreams: usize, old_upstreams: usize) -> f64 {
    let of_new = canary_share / new_upstreams.max(1) as f64;
    let of_usual = CONTROL_PART / old_upstreams.max(1) as f64;
    of_new.max(of_usual)
}

fn elapsed_part(record: &RolloutRecord, now_ms: u64) -> f64 {
    let duration_ms = record.duration_ms.max(1) as f64;
    now_ms.saturating_sub(record.started_ms) as f64 / duration_ms
}
