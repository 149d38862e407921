//! Simulates gateways and upstreams in virtual time, where some upstreams report a rate limit.
//!
//! The gateways decide with the gateway's own `policy::named_limits`. All random draws of a run come from
//! its seed, so a run with the same seed gives the same result.

use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::RequestRate;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::fleet_bound::Fleet;
use stallhoist_policy::named_limits::NamedLimit;
use stallhoist_policy::named_limits::NamedLimits;

use crate::seeded_runs::at;
use crate::seeded_runs::draw_weighted;
use crate::seeded_runs::hosts;
use crate::seeded_runs::incarnations;
use crate::seeded_runs::next_arrival_s;
use crate::seeded_runs::weight;

/// The platform's specification bounds the requests in a window to `OVERAGE` times the limit, plus `SLACK`.
const WINDOW_S: f64 = 4.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// When upstreams report their limits, for how long the run continues, and the longest delay until a gateway
/// learns of them.
const REPORTED_S: f64 = 3.0;
const DURATION_S: f64 = 20.0;
const UPDATE_DELAY_S: f64 = 0.5;

/// Share of requests that are delayed in transit, by `EXTRA_DELAY_S`.
const DELAYED_RATIO: f64 = 0.01;
const EXTRA_DELAY_S: f64 = 0.3;
const TRANSIT_S: f64 = 0.001;

/// How gateways enforce a limit together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Strategy {
    /// Each gateway applies the whole limit by itself.
    Alone,
    /// Each gateway applies its share, which follows from its rank.
    Parts,
    /// Gateways use the whole limit in turn, one window each, with synchronized clocks.
    Turns,
    /// Knows every request sent by any gateway, and sends up to the limit.
    Oracle,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    /// Number of the upstreams that report a limit.
    pub(crate) limited: usize,
    pub(crate) limit_per_s: f64,
    /// Requests per second at all gateways together.
    pub(crate) per_s: f64,
    /// Factor by which a third of the gateways gets more requests than each of the others.
    pub(crate) skew: f64,
}

pub(crate) const DEFAULTS: Setting =
    Setting { entries: 21, upstreams: 40, limited: 4, limit_per_s: 2.2, per_s: 278.0, skew: 1.0 };

impl Setting {
    /// Most requests that one upstream may receive in a window.
    pub(crate) fn bound(&self) -> f64 {
        OVERAGE * self.limit_per_s * WINDOW_S + SLACK
    }
}

/// Result of a run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunResult {
    /// Most requests within a window at one limited upstream.
    pub(crate) peak_per_window: usize,
    /// Requests sent to limited upstreams.
    pub(crate) at_limited: usize,
    /// Requests that no upstream could accept.
    pub(crate) refused: usize,
    pub(crate) requests: usize,
}

struct Entry {
    limits: NamedLimits,
    fleet: Fleet,
    weight: f64,
    learns_s: f64,
    has_learned: bool,
}

struct World<'a> {
    setting: &'a Setting,
    strategy: Strategy,
    rng: StdRng,
    entries: Vec<Entry>,
    incarnations: Vec<UpstreamIncarnation>,
    /// Arrival times of the requests at each limited upstream.
    arrivals: Vec<Vec<f64>>,
    /// Send times within the last window for each upstream; used by `Strategy::Oracle`.
    recent_sends: Vec<VecDeque<f64>>,
    /// Number of the last turn and the requests sent in it, for each upstream; used by `Strategy::Turns`.
    turn_usage: Vec<(usize, usize)>,
    result: RunResult,
}

/// Simulates upstreams that report a limit from `REPORTED_S` on.
pub(crate) fn run(setting: &Setting, strategy: Strategy, seed: u64) -> RunResult {
    World::new(setting, strategy, seed).run()
}

impl<'a> World<'a> {
    fn new(setting: &'a Setting, strategy: Strategy, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = hosts(seed, setting.entries);
        let mut entries = Vec::new();
        for (n, host) in hosts.iter().enumerate() {
            let mut fleet = Fleet::new(host);
            let known_hosts = if strategy == Strategy::Alone { &hosts[n..=n] } else { &hosts[..] };
            known_hosts.iter().for_each(|other| fleet.add_gateway(other.clone()));
            let weight = weight(n, setting.skew);
            let learns_s = REPORTED_S + rng.random_range(0.0..=UPDATE_DELAY_S);
            let limits = NamedLimits::default();
            entries.push(Entry { limits, fleet, weight, learns_s, has_learned: false });
        }
        Self {
            setting,
            strategy,
            rng,
            entries,
            incarnations: incarnations(seed, setting.limited),
            arrivals: vec![Vec::new(); setting.limited],
            recent_sends: vec![VecDeque::new(); setting.limited],
            turn_usage: vec![(0, 0); setting.limited],
            result: RunResult::default(),
        }
    }

    fn run(mut self) -> RunResult {
        let weights: Vec<f64> = self.entries.iter().map(|entry| entry.weight).collect();
        let mut now_s = REPORTED_S;
        loop {
            now_s = next_arrival_s(&mut self.rng, now_s, self.setting.per_s);
            if now_s >= REPORTED_S + DURATION_S {
                break;
            }
            let entry = draw_weighted(&mut self.rng, &weights);
            self.request(now_s, entry);
        }
        self.result.peak_per_window =
            self.arrivals.iter_mut().map(|arrivals| peak_in_window(arrivals)).max().unwrap_or(0);
        self.result.at_limited = self.arrivals.iter().map(Vec::len).sum();
        self.result
    }

    /// A request goes to a limited upstream, which has little to do, if it may.
    fn request(&mut self, now_s: f64, number: usize) {
        self.result.requests += 1;
        self.learn(now_s, number);
        if !self.entries[number].has_learned {
            return;
        }
        let first = self.rng.random_range(0..self.setting.limited);
        let limited = (0..self.setting.limited).map(|n| (first + n) % self.setting.limited);
        let usable = limited.into_iter().find(|upstream| self.is_usable(now_s, number, *upstream));
        let Some(upstream) = usable else {
            let has_others = self.setting.limited < self.setting.upstreams;
            self.result.refused += usize::from(!has_others);
            return;
        };
        let is_delayed = self.rng.random_bool(DELAYED_RATIO);
        let transit_s = TRANSIT_S + if is_delayed { EXTRA_DELAY_S } else { 0.0 };
        self.arrivals[upstream].push(now_s + transit_s);
        self.recent_sends[upstream].push_back(now_s);
        self.turn_usage[upstream].1 += 1;
        self.entries[number].limits.record_sent(at(now_s), &self.incarnations[upstream]);
    }

    fn learn(&mut self, now_s: f64, number: usize) {
        let entry = &mut self.entries[number];
        if entry.has_learned || now_s < entry.learns_s {
            return;
        }
        entry.has_learned = true;
        let limit = RequestRate::from_per_s(self.setting.limit_per_s).expect("a valid rate");
        for start in &self.incarnations {
            entry.limits.record_report(at(now_s), start, at(now_s), NamedLimit::Of(limit));
        }
    }

    fn is_usable(&mut self, now_s: f64, number: usize, upstream: usize) -> bool {
        let whole = (self.setting.limit_per_s * WINDOW_S).max(1.0) as usize;
        match self.strategy {
            Strategy::Alone | Strategy::Parts => {
                let entry = &self.entries[number];
                let place =
                    entry.limits.place(at(now_s), &self.incarnations[upstream], &entry.fleet);
                place.is_usable()
            }
            Strategy::Turns => {
                let turn = ((now_s - REPORTED_S) / WINDOW_S) as usize + upstream;
                if self.turn_usage[upstream].0 != turn {
                    self.turn_usage[upstream] = (turn, 0);
                }
                turn % self.setting.entries == number && self.turn_usage[upstream].1 < whole
            }
            Strategy::Oracle => {
                let recent_sends = &mut self.recent_sends[upstream];
                while recent_sends.front().is_some_and(|sent_s| now_s - sent_s > WINDOW_S) {
                    recent_sends.pop_front();
                }
                recent_sends.len() < whole
            }
        }
    }
}

/// The most requests that arrived within one window; sorts `arrivals`.
fn peak_in_window(arrivals: &mut [f64]) -> usize {
    arrivals.sort_by(f64::total_cmp);
    let mut first = 0;
    let mut peak_per_window = 0;
    for last in 0..arrivals.len() {
        while arrivals[last] - arrivals[first] > WINDOW_S {
            first += 1;
        }
        peak_per_window = peak_per_window.max(last - first + 1);
    }
    peak_per_window
}
