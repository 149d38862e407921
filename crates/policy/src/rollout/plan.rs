//! The schedule of a rollout, and the new version's share of the requests.

use super::Judgement;
use super::Permille;
use super::RolloutPhase;
use super::RolloutRecord;

/// The schedule of a rollout. Times are fractions of the ordered duration, so a longer rollout observes
/// the new version for longer.
///
/// In a service with few requests, the new version's share gives too few responses to judge it. It then
/// gets as many more as a bad version may get beyond the share, spread over the time of observation.
///
/// A version may be bad only under a load that it does not get while it is observed, or turn bad late.
/// It cannot be told from a good one then. So the schedule bounds the share of the requests that any
/// version gets by the end of the ordered duration: `canary_share` x `shift_after` + half of
/// `shift_time` + the rest. Seven eighths of the allowed exposure are used, 0.13 of the default 0.15,
/// as the request rate may rise near the end.
#[derive(Debug, Clone)]
pub struct RolloutConfig {
    /// The new version's share of the requests while it is observed.
    pub canary_share: f64,
    /// When all requests begin to move. Sessions stay on their version until half of the duration has
    /// passed, so it must not be earlier than that.
    pub shift_after: f64,
    /// How long the move takes.
    pub shift_time: f64,
    /// The earliest time of completion. Requests on the old version should have ended by then, as it is
    /// stopped at once.
    pub complete_after: f64,
    /// When a version that is not known to be good goes back: early enough to be stored in time.
    pub decide_by: f64,
    /// The requests that the new version may get beyond its share while it is observed.
    pub extra_requests: f64,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            canary_share: 0.03,
            shift_after: 0.885,
            shift_time: 0.02,
            // An order may be noticed a second late, and the time counts from then.
            complete_after: 0.955,
            decide_by: 0.98,
            extra_requests: 0.0,
        }
    }
}

/// The allowed exposure for which the default schedule is made.
const DEFAULT_EXPOSURE: f64 = 0.15;

/// The fraction of the allowed exposure that the schedule uses.
const USED_EXPOSURE: f64 = 0.875;

/// The fraction of the slack that the schedule uses: requests that are not answered yet, and those that
/// others have not reported yet, are not known.
const USED_SLACK: f64 = 0.7;

/// The lowest exposure that is respected: with less, the move would be instantaneous.
const MIN_EXPOSURE: f64 = 0.01;

impl RolloutConfig {
    /// A schedule by which no version gets more than `max_exposure` of the requests in its time.
    ///
    /// If less than the default is allowed, the new version gets fewer requests while it is observed,
    /// and the move is later and faster. With the default schedule, a version that is bad under a load
    /// that it never got before received 769 of 6,851 requests where 698 were allowed. A larger
    /// allowance changes nothing, as it has no use.
    pub fn within(max_exposure: f64) -> Self {
        let defaults = Self::default();
        if max_exposure.is_nan() || max_exposure >= DEFAULT_EXPOSURE {
            return defaults;
        }
        let max_exposure = max_exposure.max(MIN_EXPOSURE);
        let ratio = max_exposure / DEFAULT_EXPOSURE;
        let canary_share = defaults.canary_share * ratio;
        let shift_time = defaults.shift_time * ratio;
        let used = USED_EXPOSURE * max_exposure;
        let shift_after = (1.0 - shift_time / 2.0 - used) / (1.0 - canary_share);
        let complete_after = defaults.complete_after.max(shift_after + 2.0 * shift_time);
        let decide_by = defaults.decide_by.max((1.0 + complete_after) / 2.0);
        Self { canary_share, shift_after, shift_time, complete_after, decide_by, ..defaults }
    }

    /// The schedule if a bad version may get this many requests beyond the allowed share.
    #[must_use]
    pub fn with_slack(self, requests: f64) -> Self {
        Self { extra_requests: USED_SLACK * requests, ..self }
    }

    /// The requests that a version may get while it is observed, out of this many so far.
    pub fn allowance(&self, requests: f64) -> f64 {
        self.canary_share * requests + self.extra_requests
    }

    /// The schedule if requests arrive at `relative_rate` times the mean rate since the order: the move begins
    /// later, so that the new version gets no more of the requests than at the mean rate. At 1.5 times
    /// the mean, a schedule by time alone gave it 564 of 4,849 requests where 503 were allowed.
    #[must_use]
    pub fn at_rate(&self, relative_rate: f64) -> Self {
        let relative_rate = relative_rate.max(1.0);
        let shift_after = 1.0 - (1.0 - self.shift_after) / relative_rate;
        // A faster move leaves the time to store the completion within the ordered duration.
        let shift_time = self.shift_time / (relative_rate * relative_rate);
        let complete_after = self.complete_after.max(shift_after + 2.0 * shift_time);
        Self { shift_after, shift_time, complete_after, ..self.clone() }
    }
}

/// The next step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStep {
    /// No step is due.
    Wait,
    /// Store this phase.
    Enter(RolloutPhase),
}

/// The next step of a rollout. `now_ms` is the store's clock.
///
/// A completed version cannot be taken back, so the time alone completes none.
pub fn next_step(
    config: &RolloutConfig,
    record: &RolloutRecord,
    now_ms: u64,
    judgement: Judgement,
) -> RolloutStep {
    let elapsed = elapsed_fraction(record, now_ms);
    match (record.phase, judgement) {
        (RolloutPhase::Completed | RolloutPhase::RolledBack, _) => RolloutStep::Wait,
        (_, Judgement::Worse) => RolloutStep::Enter(RolloutPhase::RolledBack),
        (RolloutPhase::Canary, Judgement::Proven | Judgement::Probable)
            if elapsed >= config.shift_after =>
        {
            RolloutStep::Enter(RolloutPhase::Shifting { since_ms: now_ms })
        }
        (RolloutPhase::Shifting { since_ms }, Judgement::Proven)
            if elapsed >= config.complete_after =>
        {
            // A move that began late gets its full time before the old version is stopped.
            let shift_ms = config.shift_time * record.duration_ms as f64;
            let is_complete = now_ms.saturating_sub(since_ms) as f64 >= 2.0 * shift_ms;
            if is_complete {
                RolloutStep::Enter(RolloutPhase::Completed)
            } else {
                RolloutStep::Wait
            }
        }
        (_, Judgement::Probable | Judgement::Unproven) if elapsed >= config.decide_by => {
            RolloutStep::Enter(RolloutPhase::RolledBack)
        }
        _ => RolloutStep::Wait,
    }
}

/// The share of requests that the new version gets, from 0 to 1.
pub fn new_version_share(config: &RolloutConfig, record: &RolloutRecord, now_ms: u64) -> f64 {
    match record.phase {
        RolloutPhase::Canary => observed_share(config, record),
        RolloutPhase::Shifting { since_ms } => {
            let shift_ms = (config.shift_time * record.duration_ms as f64).max(1.0);
            let moved = now_ms.saturating_sub(since_ms) as f64 / shift_ms;
            let share = observed_share(config, record);
            (share + moved * (1.0 - share)).min(1.0)
        }
        RolloutPhase::Completed => 1.0,
        RolloutPhase::RolledBack => 0.0,
    }
}

/// The new version's share while it is observed.
pub fn observed_share(config: &RolloutConfig, record: &RolloutRecord) -> f64 {
    record.canary_share.map_or(config.canary_share, Permille::fraction)
}

/// When a service's request rate since the order is known well enough, as a fraction of the ordered time.
const RATE_KNOWN_AFTER: f64 = 0.15;

/// The largest share of a version that is observed.
const MAX_CANARY_SHARE: f64 = 0.25;

/// The smallest increase of the share that is worth a write.
const MIN_INCREASE: f64 = 1.25;

/// The share that spreads the rest of the allowance over the rest of the time of observation, once the
/// request rate is known; none if it is hardly above the usual one. `requests` is the number in the
/// ordered time, `received` what the new version got so far.
pub fn canary_share(
    config: &RolloutConfig,
    record: &RolloutRecord,
    now_ms: u64,
    requests: f64,
    received: u64,
) -> Option<Permille> {
    let elapsed = elapsed_fraction(record, now_ms);
    let is_observed = record.phase == RolloutPhase::Canary && elapsed < config.shift_after;
    if record.canary_share.is_some() || !is_observed || elapsed < RATE_KNOWN_AFTER {
        return None;
    }
    let allowance = config.allowance(config.shift_after * requests) - received as f64;
    let remaining = (config.shift_after - elapsed) * requests;
    let share = (allowance / remaining).min(MAX_CANARY_SHARE);
    (share >= MIN_INCREASE * config.canary_share).then(|| Permille::of(share))
}

/// The control gets at least this fraction of an old upstream's normal share.
const CONTROL_FRACTION: f64 = 0.25;

/// The share of requests that may go to the control, a nearly idle upstream of the old version: as many
/// as each upstream of the new version gets, but no less than a fraction of the normal share. With the
/// first bound alone, one of 17 upstreams got two requests in ten seconds, too few for a baseline.
pub fn control_share(canary_share: f64, new_upstreams: usize, old_upstreams: usize) -> f64 {
    let of_new = canary_share / new_upstreams.max(1) as f64;
    let of_normal = CONTROL_FRACTION / old_upstreams.max(1) as f64;
    of_new.max(of_normal)
}

fn elapsed_fraction(record: &RolloutRecord, now_ms: u64) -> f64 {
    let duration_ms = record.duration_ms.max(1) as f64;
    now_ms.saturating_sub(record.started_ms) as f64 / duration_ms
}
