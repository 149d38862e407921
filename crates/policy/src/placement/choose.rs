//! The choice among the upstreams that replied to a probe.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::HostId;
use stallhoist_core::NotRunReason;

/// An upstream's reply to a probe.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The host of the upstream.
    pub host: HostId,
    /// The predicted time to the first token.
    pub first_token: Duration,
    /// The round-trip time of the probe.
    pub round_trip: Duration,
    /// The number of running and queued requests.
    pub load_requests: u32,
    /// Why it would reject the request, and the retry time.
    pub refusal: Option<(NotRunReason, Duration)>,
}

/// The result of the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this host.
    Send(HostId),
    /// All candidates would reject the request. The shortest of their retry times applies.
    Refuse {
        /// The reason of the candidate with the shortest retry time.
        reason: NotRunReason,
        /// The time after which to retry.
        retry_after: Duration,
    },
    /// No upstream replied.
    NoCandidate,
}

/// Chooses the candidate with the earliest predicted first token in whole milliseconds;
/// among equals the least loaded, and among those a random one. Differences below a
/// millisecond are network jitter and would outweigh the load.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Choice {
    let cost = |c: &Candidate| {
        let first_token = c.first_token + c.round_trip / 2;
        (first_token.as_millis(), c.load_requests)
    };
    let accepting: Vec<_> = candidates.iter().filter(|c| c.refusal.is_none()).collect();
    if let Some(least) = accepting.iter().map(|c| cost(c)).min() {
        let best: Vec<_> = accepting.iter().filter(|c| cost(c) == least).collect();
        let at = rng.random_range(0..best.len());
        return Choice::Send(best[at].host.clone());
    }
    let refusals = candidates.iter().filter_map(|c| c.refusal);
    match refusals.min_by_key(|(_, retry_after)| *retry_after) {
        Some((reason, retry_after)) => Choice::Refuse { reason, retry_after },
        None => Choice::NoCandidate,
    }
}
