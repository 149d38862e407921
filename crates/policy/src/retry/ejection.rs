//! Upstreams that fail are left out for a while, but never too many at once.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;

/// The pause is doubled at most so often.
const MAX_DOUBLINGS: u32 = 4;

/// When an upstream is left out, and for how long.
#[derive(Debug, Clone)]
pub struct EjectionConfig {
    /// Failures in a row that make it so.
    pub after_failures: u32,
    /// The first pause; it doubles each time in a row.
    pub pause: Duration,
    /// The most that may be left out at once, in percent of those known, rounded up.
    pub max_percent: u32,
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self { after_failures: 5, pause: Duration::from_secs(2), max_percent: 30 }
    }
}

#[derive(Debug, Default)]
struct Health {
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Option<MonoTime>,
    /// After a pause, one request tries it before others follow.
    trial_running: bool,
}

/// Which upstreams are left out.
#[derive(Debug)]
pub struct Ejection {
    config: EjectionConfig,
    by_host: HashMap<HostId, Health>,
}

impl Ejection {
    /// Nobody is left out yet.
    pub fn new(config: EjectionConfig) -> Self {
        Self { config, by_host: HashMap::new() }
    }

    /// The upstreams among `hosts` that may be used now. When more than the allowed
    /// part is left out, those longest out come back first; with none out, all are used.
    pub fn usable(&self, now: MonoTime, hosts: &[HostId]) -> Vec<HostId> {
        let mut out: Vec<_> = hosts.iter().filter(|h| self.is_out(now, h)).collect();
        let max_out = self.max_out(hosts.len());
        out.sort_by_key(|host| self.by_host[*host].ejected_until);
        let surplus = out.len().saturating_sub(max_out);
        let kept_out = &out[surplus..];
        hosts.iter().filter(|host| !kept_out.contains(host)).cloned().collect()
    }

    /// How many of so many may be left out: the stated part, rounded up, since one of
    /// two must be, but never the last one.
    fn max_out(&self, hosts: usize) -> usize {
        let part = (hosts * self.config.max_percent as usize).div_ceil(100);
        part.min(hosts.saturating_sub(1))
    }

    /// Work was sent to an upstream.
    pub fn sent(&mut self, host: &HostId) {
        if let Some(health) = self.by_host.get_mut(host)
            && health.ejected_until.is_some()
        {
            health.trial_running = true;
        }
    }

    /// An upstream answered well.
    pub fn succeeded(&mut self, host: &HostId) {
        self.by_host.remove(host);
    }

    /// Work that was sent ended without telling anything about the upstream.
    pub fn released(&mut self, host: &HostId) {
        if let Some(health) = self.by_host.get_mut(host) {
            health.trial_running = false;
        }
    }

    /// An upstream failed. The pause is lengthened by up to a half at random, so that
    /// entries do not all come back at once.
    pub fn failed(&mut self, now: MonoTime, host: &HostId, rng: &mut impl Rng) {
        let health = self.by_host.entry(host.clone()).or_default();
        health.failures_in_row += 1;
        let was_trial = std::mem::take(&mut health.trial_running);
        if health.failures_in_row >= self.config.after_failures || was_trial {
            let doublings = health.ejections_in_row.min(MAX_DOUBLINGS);
            let pause = self.config.pause * 2u32.pow(doublings);
            let jitter = pause.mul_f64(rng.random_range(0.0..0.5));
            health.ejected_until = Some(now.after(pause + jitter));
            health.ejections_in_row += 1;
        }
    }

    /// Those left out now.
    pub fn ejected(&self, now: MonoTime) -> Vec<HostId> {
        let out = self.by_host.keys().filter(|host| self.is_out(now, host));
        out.cloned().collect()
    }

    fn is_out(&self, now: MonoTime, host: &HostId) -> bool {
        let Some(health) = self.by_host.get(host) else {
            return false;
        };
        match health.ejected_until {
            Some(until) => now < until || health.trial_running,
            None => false,
        }
    }
}
