//! How each upstream has answered lately.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::MonoTime;

/// How answers are weighed.
#[derive(Debug, Clone)]
pub struct HealthConfig {
    /// The weight of the newest answer, from 0 to 1.
    pub newest_weight: f64,
    /// The time in which a failure rate halves without new answers.
    pub half_life: Duration,
    /// How long an upstream is left alone after it could not be reached; doubles each
    /// time in a row.
    pub first_pause: Duration,
    /// The longest such pause.
    pub max_pause: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            newest_weight: 0.2,
            half_life: Duration::from_secs(3),
            first_pause: Duration::from_millis(500),
            max_pause: Duration::from_secs(4),
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    failure_rate: f64,
    updated: MonoTime,
    unreachable_in_row: u32,
    pause_until: Option<MonoTime>,
}

/// How each upstream has answered lately.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    config: HealthConfig,
    by_instance: HashMap<InstanceId, Record>,
}

impl UpstreamHealth {
    /// Nothing is known yet.
    pub fn new(config: HealthConfig) -> Self {
        Self { config, by_instance: HashMap::new() }
    }

    /// An upstream answered well.
    pub fn succeeded(&mut self, now: MonoTime, instance: &InstanceId) {
        self.observe(now, instance, 0.0);
        if let Some(record) = self.by_instance.get_mut(instance) {
            record.unreachable_in_row = 0;
            record.pause_until = None;
        }
    }

    /// An upstream answered with a failure, or broke off.
    pub fn failed(&mut self, now: MonoTime, instance: &InstanceId) {
        self.observe(now, instance, 1.0);
    }

    /// An upstream could not be connected to: it is left alone for a while.
    pub fn unreachable(&mut self, now: MonoTime, instance: &InstanceId) {
        self.observe(now, instance, 1.0);
        let (first, max) = (self.config.first_pause, self.config.max_pause);
        if let Some(record) = self.by_instance.get_mut(instance) {
            let doubled = first.saturating_mul(1 << record.unreachable_in_row.min(8));
            record.pause_until = Some(now.after(doubled.min(max)));
            record.unreachable_in_row += 1;
        }
    }

    /// Whether an upstream is left alone at present.
    pub fn is_paused(&self, now: MonoTime, instance: &InstanceId) -> bool {
        let until = self.by_instance.get(instance).and_then(|record| record.pause_until);
        until.is_some_and(|until| now < until)
    }

    /// The share of answers that failed lately, from 0 to 1.
    pub fn failure_rate(&self, now: MonoTime, instance: &InstanceId) -> f64 {
        self.by_instance.get(instance).map_or(0.0, |record| self.decayed(now, record))
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, mut is_known: impl FnMut(&InstanceId) -> bool) {
        self.by_instance.retain(|instance, _| is_known(instance));
    }

    fn observe(&mut self, now: MonoTime, instance: &InstanceId, failure: f64) {
        let known = self.by_instance.get(instance);
        let rate = known.map_or(0.0, |record| self.decayed(now, record));
        let record = self.by_instance.entry(instance.clone()).or_default();
        record.failure_rate = rate + self.config.newest_weight * (failure - rate);
        record.updated = now;
    }

    fn decayed(&self, now: MonoTime, record: &Record) -> f64 {
        let half_lives =
            now.since(record.updated).as_secs_f64() / self.config.half_life.as_secs_f64();
        record.failure_rate * 0.5f64.powf(half_lives)
    }
}
