//! Outlier ejection: failing upstreams are not used for a time, up to a maximum share.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;

/// The maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;

/// When an upstream is ejected, and for how long.
#[derive(Debug, Clone)]
pub struct EjectionConfig {
    /// The number of consecutive failures that ejects an upstream.
    pub after_failures: u32,
    /// The duration of the first ejection; it doubles with each consecutive one.
    pub pause: Duration,
    /// The maximum share of ejected upstreams, in percent of the known ones, rounded up.
    pub max_percent: u32,
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self { after_failures: 5, pause: Duration::from_secs(2), max_percent: 30 }
    }
}

#[derive(Debug, Default)]
struct HostState {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<MonoTime>,
    /// After the pause, a single request probes the upstream before others follow.
    is_trial_running: bool,
}

/// Tracks failures and ejects upstreams.
#[derive(Debug)]
pub struct Ejection {
    config: EjectionConfig,
    by_host: HashMap<HostId, HostState>,
}

impl Ejection {
    /// Creates a tracker without ejections.
    pub fn new(config: EjectionConfig) -> Self {
        Self { config, by_host: HashMap::new() }
    }

    /// The upstreams among `hosts` that may be used now. If more than the allowed share are
    /// ejected, those whose ejection ends first are used again.
    pub fn usable(&self, now: MonoTime, hosts: &[HostId]) -> Vec<HostId> {
        let mut out: Vec<_> = hosts.iter().filter(|h| self.is_ejected(now, h)).collect();
        let max_ejected = self.max_ejected(hosts.len());
        out.sort_by_key(|host| self.by_host[*host].ejected_until);
        let surplus = out.len().saturating_sub(max_ejected);
        let kept_out = &out[surplus..];
        hosts.iter().filter(|host| !kept_out.contains(host)).cloned().collect()
    }

    /// How many of `hosts` upstreams may be ejected: the configured share, rounded up so that
    /// one of two can be, but never all.
    fn max_ejected(&self, hosts: usize) -> usize {
        let part = (hosts * self.config.max_percent as usize).div_ceil(100);
        part.min(hosts.saturating_sub(1))
    }

    /// Records that a request was sent to an upstream.
    pub fn sent(&mut self, host: &HostId) {
        if let Some(state) = self.by_host.get_mut(host)
            && state.ejected_until.is_some()
        {
            state.is_trial_running = true;
        }
    }

    /// Records a success.
    pub fn succeeded(&mut self, host: &HostId) {
        self.by_host.remove(host);
    }

    /// Records that a request ended with neither success nor failure of the upstream.
    pub fn released(&mut self, host: &HostId) {
        if let Some(state) = self.by_host.get_mut(host) {
            state.is_trial_running = false;
        }
    }

    /// Records a failure. The pause has a random jitter of up to one half, so that gateways do
    /// not all return to the upstream at once.
    pub fn failed(&mut self, now: MonoTime, host: &HostId, rng: &mut impl Rng) {
        let state = self.by_host.entry(host.clone()).or_default();
        state.consecutive_failures += 1;
        let was_trial = std::mem::take(&mut state.is_trial_running);
        if state.consecutive_failures >= self.config.after_failures || was_trial {
            let doublings = state.consecutive_ejections.min(MAX_DOUBLINGS);
            let pause = self.config.pause * 2u32.pow(doublings);
            let jitter = pause.mul_f64(rng.random_range(0.0..0.5));
            state.ejected_until = Some(now.after(pause + jitter));
            state.consecutive_ejections += 1;
        }
    }

    /// The upstreams that are ejected now.
    pub fn ejected(&self, now: MonoTime) -> Vec<HostId> {
        let out = self.by_host.keys().filter(|host| self.is_ejected(now, host));
        out.cloned().collect()
    }

    fn is_ejected(&self, now: MonoTime, host: &HostId) -> bool {
        let Some(state) = self.by_host.get(host) else {
            return false;
        };
        match state.ejected_until {
            Some(until) => now < until || state.is_trial_running,
            None => false,
        }
    }
}
