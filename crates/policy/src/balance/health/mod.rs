//! How each start of an upstream has answered lately, and whether it is used.

mod evidence;
mod standing;

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

pub use evidence::Evidence;
pub use standing::Fitness;
pub use standing::HealthUpdate;
pub use standing::PauseRange;
use standing::Standing;

/// How evidence is weighed.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// The weight of the newest answer in the failure rate, from 0 to 1.
    pub newest_weight: f64,
    /// The time in which a failure rate halves without new answers.
    pub half_life: Duration,
    /// How long one that could not be reached is left alone: a process that starts again is back
    /// within a second, a cut lasts seconds.
    pub unreachable: PauseRange,
    /// The same for one that refused a request: about the time in which a queue moves on.
    pub refused: PauseRange,
    /// How long one is taken to be over after another process answered in its place. An entry of
    /// the list that is out of date lapses in less than the first.
    pub misdirected: PauseRange,
    /// How long one is taken to be over whose process has ended. A host that starts it again under the
    /// same id, and does not tell when, has it back in less than the first.
    pub ended: PauseRange,
    /// How long after a later start was listed at its address.
    pub address_taken: Duration,
    /// How long after it was found out others are told that one is over: all have heard of it by
    /// then, and each message costs bytes.
    pub tell_over_for: Duration,
    /// From so many refusals in a row on other entries are told: the first ones may concern one
    /// request alone.
    pub tell_resting_from: u32,
    /// What others tell of a start that has answered here within this time is not believed.
    pub trust_own_answer_for: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            newest_weight: 0.2,
            half_life: Duration::from_secs(3),
            unreachable: PauseRange {
                first: Duration::from_millis(500),
                longest: Duration::from_secs(4),
            },
            refused: PauseRange {
                first: Duration::from_millis(200),
                longest: Duration::from_secs(2),
            },
            misdirected: PauseRange {
                first: Duration::from_secs(10),
                longest: Duration::from_secs(60),
            },
            ended: PauseRange { first: Duration::from_secs(4), longest: Duration::from_secs(60) },
            address_taken: Duration::from_secs(60),
            tell_over_for: Duration::from_secs(3),
            tell_resting_from: 3,
            trust_own_answer_for: Duration::from_secs(1),
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    failure_rate: f64,
    updated: MonoTime,
    answered: Option<MonoTime>,
    standing: Standing,
    /// It could not be reached when it was tried last: the pause for that concerns this entry's
    /// way to it alone.
    is_unreachable: bool,
}

/// How each start of an upstream has answered lately, and whether it is used.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    config: HealthConfig,
    by_start: HashMap<UpstreamIncarnation, Record>,
}

impl UpstreamHealth {
    /// Nothing is known yet.
    pub fn new(config: HealthConfig) -> Self {
        Self { config, by_start: HashMap::new() }
    }

    /// Something has shown how a start of an upstream is.
    pub fn observe(&mut self, now: MonoTime, start: &UpstreamIncarnation, evidence: Evidence) {
        let Self { config, by_start } = self;
        let record = by_start.entry(start.clone()).or_default();
        record.is_unreachable = evidence == Evidence::Unreachable;
        match evidence {
            Evidence::Answered => {
                record.rate(now, config, 0.0);
                record.answered = Some(now);
                record.standing = Standing::default();
            }
            Evidence::Failed => record.rate(now, config, 1.0),
            Evidence::Unreachable => {
                record.rate(now, config, 1.0);
                record.standing = record.standing.rests(now, config.unreachable);
            }
            Evidence::Refused => {
                record.rate(now, config, 1.0);
                record.standing = record.standing.rests(now, config.refused);
            }
            Evidence::Misdirected => {
                record.standing = record.standing.ends(now, config.misdirected);
            }
            Evidence::Ended => {
                record.rate(now, config, 1.0);
                record.standing = record.standing.ends(now, config.ended);
            }
            Evidence::AddressTaken => {
                let (first, longest) = (config.address_taken, config.address_taken);
                record.standing = record.standing.ends(now, PauseRange { first, longest });
            }
        }
    }

    /// Another entry tells what it knows of a start of an upstream.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        told: HealthUpdate,
    ) {
        let told = told.bounded(&self.config);
        let record = self.by_start.entry(start.clone()).or_default();
        let has_answered = record
            .answered
            .is_some_and(|answered| now.since(answered) < self.config.trust_own_answer_for);
        if !has_answered {
            record.standing = record.standing.apply_peer_update(now, told);
        }
    }

    /// What other entries should know.
    pub fn peer_updates(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&UpstreamIncarnation, HealthUpdate)> {
        let reached = self.by_start.iter().filter(|(_, record)| !record.is_unreachable);
        reached.filter_map(move |(start, record)| {
            Some((start, record.standing.peer_updates(now, &self.config)?))
        })
    }

    /// How fit for use a start of an upstream is.
    pub fn fitness(&self, now: MonoTime, start: &UpstreamIncarnation) -> Fitness {
        self.by_start.get(start).map_or(Fitness::Well, |record| record.standing.fitness(now))
    }

    /// The share of answers that failed lately, from 0 to 1.
    pub fn failure_rate(&self, now: MonoTime, start: &UpstreamIncarnation) -> f64 {
        self.by_start.get(start).map_or(0.0, |record| record.decayed(now, &self.config))
    }

    /// Forgets starts that are gone.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_start.retain(|start, _| is_known(start));
    }
}

impl Record {
    fn rate(&mut self, now: MonoTime, config: &HealthConfig, failure: f64) {
        let rate = self.decayed(now, config);
        self.failure_rate = rate + config.newest_weight * (failure - rate);
        self.updated = now;
    }

    fn decayed(&self, now: MonoTime, config: &HealthConfig) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / config.half_life.as_secs_f64();
        self.failure_rate * 0.5f64.powf(half_lives)
    }
}
