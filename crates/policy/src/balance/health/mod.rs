//! Health of each upstream incarnation: its state, and its recent failure rate.
//!
//! Read `evidence` first, which has the effect of each signal, then `health_state` for the states and
//! their transitions.
//!
//! Invariant: every state expires, so that no upstream is excluded for good.

mod evidence;
mod health_state;

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

pub use evidence::Evidence;
pub use health_state::BackoffRange;
pub use health_state::Fitness;
use health_state::HealthState;
pub use health_state::HealthUpdate;

/// Weights and durations of the signals.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// Weight of the newest response in the failure rate, from 0 to 1.
    pub newest_weight: f64,
    /// Time in which the failure rate halves without responses.
    pub half_life: Duration,
    /// Back-off of an unreachable upstream: a process that restarts is back within a second, a network
    /// partition lasts seconds.
    pub unreachable: BackoffRange,
    /// Back-off after a rejection: about the time in which a queue advances.
    pub refused: BackoffRange,
    /// Time for which an upstream counts as terminated after another process responded at its address. An
    /// outdated row of the upstream list expires within the first value.
    pub misdirected: BackoffRange,
    /// Time for which an upstream counts as terminated after a crash. A host that restarts it under the
    /// same id, without a start time, has it back within the first value.
    pub ended: BackoffRange,
    /// Time for which an upstream counts as terminated after a later incarnation was listed at its address.
    pub address_taken: Duration,
    /// How long a termination is published to peers: all of them have received it by then, and each
    /// message costs bytes.
    pub publish_terminated_for: Duration,
    /// Number of consecutive rejections from which peers are informed: the first ones may concern a single
    /// request.
    pub publish_backoff_from: u32,
    /// Peers' updates on an upstream are ignored for this long after it responded to this gateway.
    pub trust_local_response_for: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            newest_weight: 0.2,
            half_life: Duration::from_secs(3),
            unreachable: BackoffRange {
                first: Duration::from_millis(500),
                longest: Duration::from_secs(4),
            },
            refused: BackoffRange {
                first: Duration::from_millis(200),
                longest: Duration::from_secs(2),
            },
            misdirected: BackoffRange {
                first: Duration::from_secs(10),
                longest: Duration::from_secs(60),
            },
            ended: BackoffRange { first: Duration::from_secs(4), longest: Duration::from_secs(60) },
            address_taken: Duration::from_secs(60),
            publish_terminated_for: Duration::from_secs(3),
            publish_backoff_from: 3,
            trust_local_response_for: Duration::from_secs(1),
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    failure_rate: f64,
    updated: MonoTime,
    last_response: Option<MonoTime>,
    state: HealthState,
    /// The newest signal was that it is unreachable. That may be a fault of this gateway's own network
    /// and is not published.
    is_unreachable: bool,
}

/// Health of each upstream incarnation.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    config: HealthConfig,
    by_incarnation: HashMap<UpstreamIncarnation, Record>,
}

impl UpstreamHealth {
    /// Starts with all upstreams healthy.
    pub fn new(config: HealthConfig) -> Self {
        Self { config, by_incarnation: HashMap::new() }
    }

    /// Applies a signal on an upstream incarnation.
    pub fn observe(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        evidence: Evidence,
    ) {
        let Self { config, by_incarnation } = self;
        let record = by_incarnation.entry(incarnation.clone()).or_default();
        record.is_unreachable = evidence == Evidence::Unreachable;
        match evidence {
            Evidence::Answered => {
                record.rate(now, config, 0.0);
                record.last_response = Some(now);
                record.state = HealthState::default();
            }
            Evidence::Failed => record.rate(now, config, 1.0),
            Evidence::Unreachable => {
                record.rate(now, config, 1.0);
                record.state = record.state.back_off(now, config.unreachable);
            }
            Evidence::Refused => {
                record.rate(now, config, 1.0);
                record.state = record.state.back_off(now, config.refused);
            }
            Evidence::Misdirected => {
                record.state = record.state.terminate(now, config.misdirected);
            }
            Evidence::Ended => {
                record.rate(now, config, 1.0);
                record.state = record.state.terminate(now, config.ended);
            }
            Evidence::AddressTaken => {
                let (first, longest) = (config.address_taken, config.address_taken);
                record.state = record.state.terminate(now, BackoffRange { first, longest });
            }
        }
    }

    /// Merges a peer's update on an upstream incarnation, unless it responded here just now.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        update: HealthUpdate,
    ) {
        let update = update.bounded(&self.config);
        let record = self.by_incarnation.entry(incarnation.clone()).or_default();
        let has_responded = record
            .last_response
            .is_some_and(|at| now.since(at) < self.config.trust_local_response_for);
        if !has_responded {
            record.state = record.state.apply_peer_update(now, update);
        }
    }

    /// Updates to send to peers.
    pub fn peer_updates(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&UpstreamIncarnation, HealthUpdate)> {
        let reached = self.by_incarnation.iter().filter(|(_, record)| !record.is_unreachable);
        reached.filter_map(move |(incarnation, record)| {
            Some((incarnation, record.state.peer_updates(now, &self.config)?))
        })
    }

    /// State of an upstream incarnation; one without a record is healthy.
    pub fn fitness(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> Fitness {
        self.by_incarnation
            .get(incarnation)
            .map_or(Fitness::Well, |record| record.state.fitness(now))
    }

    /// Recent share of failed responses, from 0 to 1.
    pub fn failure_rate(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> f64 {
        self.by_incarnation
            .get(incarnation)
            .map_or(0.0, |record| record.decayed_rate(now, &self.config))
    }

    /// Drops incarnations that are no longer known.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_incarnation.retain(|incarnation, _| is_known(incarnation));
    }
}

impl Record {
    /// Adds a response to the failure rate: `failure` is 1 for a failure, 0 for a success.
    fn rate(&mut self, now: MonoTime, config: &HealthConfig, failure: f64) {
        let rate = self.decayed_rate(now, config);
        self.failure_rate = rate + config.newest_weight * (failure - rate);
        self.updated = now;
    }

    fn decayed_rate(&self, now: MonoTime, config: &HealthConfig) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / config.half_life.as_secs_f64();
        self.failure_rate * 0.5f64.powf(half_lives)
    }
}
