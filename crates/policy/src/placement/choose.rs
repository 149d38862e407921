//! The choice among those that answered.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::HostId;
use stallhoist_core::NotRunReason;

/// What an upstream answered to a probe.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Which upstream.
    pub host: HostId,
    /// Its predicted time to the first token.
    pub first_token: Duration,
    /// The time the probe took there and back.
    pub round_trip: Duration,
    /// How much runs and waits there.
    pub load_requests: u32,
    /// Why it would refuse, and when it would not.
    pub refusal: Option<(NotRunReason, Duration)>,
}

/// The choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    Send(HostId),
    /// All that answered would refuse: come back after the shortest of their times.
    Refuse {
        /// Why the one with the shortest time would refuse.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Nobody answered.
    NoCandidate,
}

/// Takes the one with the earliest predicted first token; of those equal to the
/// millisecond the least loaded, of those a random one. Finer differences are noise of
/// the connection, and would drown the load.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Choice {
    let cost = |c: &Candidate| {
        let first_token = c.first_token + c.round_trip / 2;
        (first_token.as_millis(), c.load_requests)
    };
    let willing: Vec<_> = candidates.iter().filter(|c| c.refusal.is_none()).collect();
    if let Some(least) = willing.iter().map(|c| cost(c)).min() {
        let best: Vec<_> = willing.iter().filter(|c| cost(c) == least).collect();
        let at = rng.random_range(0..best.len());
        return Choice::Send(best[at].host.clone());
    }
    let refusals = candidates.iter().filter_map(|c| c.refusal);
    match refusals.min_by_key(|(_, retry_after)| *retry_after) {
        Some((reason, retry_after)) => Choice::Refuse { reason, retry_after },
        None => Choice::NoCandidate,
    }
}
