//! Simulates gateways and upstreams in virtual time, where some upstreams restart and need to warm up.
//!
//! The gateways decide with the gateway's own `policy::cold`. All random draws of a run come from its seed,
//! so a run with the same seed gives the same result.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::cold::ColdBound;
use stallhoist_policy::cold::ColdService;
use stallhoist_policy::cold::ColdUpstreams;
use stallhoist_policy::cold::ReportedCold;
use stallhoist_policy::fleet_bound::Fleet;
use stallhoist_policy::fleet_bound::SendQuota;

use crate::seeded_runs::at;
use crate::seeded_runs::draw_weighted;
use crate::seeded_runs::hosts;
use crate::seeded_runs::incarnations;
use crate::seeded_runs::next_arrival_s;
use crate::seeded_runs::weight;

/// Capacity of an upstream while it warms up, and the most requests a second that the platform's
/// specification allows there: `OVERAGE` times the capacity, plus `SLACK`.
pub(crate) const SERVICE: ColdService =
    ColdService { after_start: Duration::from_secs(3), per_s: 18.0 };
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
pub(crate) const BOUND_PER_S: usize = 32;

const WARM_UP_S: f64 = 3.0;
/// Time at which upstreams restart. Gateways may join between the start of the run and this time.
const RESTART_S: f64 = 4.0;
/// Share of requests that are delayed in transit, by `EXTRA_DELAY_S`.
const DELAYED_RATIO: f64 = 0.01;
const EXTRA_DELAY_S: f64 = 0.08;
const TRANSIT_S: f64 = 0.001;

/// How gateways share the capacity of upstreams that warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Strategy {
    /// Every gateway sends without a bound.
    Free,
    /// At most this many gateways send to one upstream, each within its share of the bound.
    Among(u32),
    /// Knows every request sent by any gateway, and sends up to the bound.
    Oracle,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    /// Number of the upstreams that warm up at the same time.
    pub(crate) cold: usize,
    /// Requests per second at all gateways together.
    pub(crate) per_s: f64,
    /// Factor by which a third of the gateways gets more requests than each of the others.
    pub(crate) skew: f64,
    /// Factor on the request rate in the first second after the restart.
    pub(crate) burst: f64,
    /// Longest delay of state received from an upstream or a peer, in seconds.
    pub(crate) update_delay_s: f64,
    /// Percentage of gateways that join in the seconds before the restart.
    pub(crate) joining: usize,
}

pub(crate) const DEFAULTS: Setting = Setting {
    entries: 21,
    upstreams: 40,
    cold: 13,
    per_s: 278.0,
    skew: 1.0,
    burst: 1.0,
    update_delay_s: 0.3,
    joining: 0,
};

/// Result of a run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunResult {
    /// Most requests within a second at one upstream that warms up.
    pub(crate) peak_per_s: usize,
    /// Requests sent to upstreams that warm up.
    pub(crate) at_cold: usize,
    /// Requests that no upstream could accept.
    pub(crate) refused: usize,
    pub(crate) requests: usize,
}

struct Entry {
    cold: ColdUpstreams,
    fleet: Fleet,
    weight: f64,
    /// When it starts to serve, and when it learns that upstreams have restarted.
    joined_s: f64,
    learns_s: f64,
    has_learned: bool,
}

struct World<'a> {
    setting: &'a Setting,
    strategy: Strategy,
    rng: StdRng,
    entries: Vec<Entry>,
    incarnations: Vec<UpstreamIncarnation>,
    /// Send and arrival times of the requests at each upstream that warms up.
    arrivals: Vec<Vec<(f64, f64)>>,
    /// Send times within the last second for each upstream; used by `Strategy::Oracle`.
    recent_sends: Vec<VecDeque<f64>>,
    result: RunResult,
}

/// Simulates one restart of upstreams.
pub(crate) fn run(setting: &Setting, strategy: Strategy, seed: u64) -> RunResult {
    World::new(setting, strategy, seed).run()
}

impl<'a> World<'a> {
    fn new(setting: &'a Setting, strategy: Strategy, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let max_owners = if let Strategy::Among(owners) = strategy { owners } else { u32::MAX };
        let bound = ColdBound { overage: OVERAGE, slack: SLACK, max_owners };
        let joining = setting.entries * setting.joining / 100;
        let hosts = hosts(seed, setting.entries);
        let joined_s: Vec<f64> = (0..setting.entries)
            .map(|n| if n < joining { rng.random_range(0.0..RESTART_S) } else { 0.0 })
            .collect();
        let mut entries = Vec::new();
        for (n, host) in hosts.iter().enumerate() {
            let mut fleet = Fleet::new(host);
            // Gateways that run from the beginning know each other.
            hosts[joining..].iter().for_each(|other| fleet.add_gateway(other.clone()));
            if n < joining {
                fleet.announce_self(at(joined_s[n]));
                fleet.add_gateway(host.clone());
            }
            let weight = weight(n, setting.skew);
            let learns_s = RESTART_S + rng.random_range(0.0..=setting.update_delay_s);
            let joined_s = joined_s[n];
            let cold = ColdUpstreams::new(Some(bound));
            entries.push(Entry { cold, fleet, weight, joined_s, learns_s, has_learned: false });
        }
        let mut world = Self {
            setting,
            strategy,
            rng,
            entries,
            incarnations: incarnations(seed, setting.cold),
            arrivals: vec![Vec::new(); setting.cold],
            recent_sends: vec![VecDeque::new(); setting.cold],
            result: RunResult::default(),
        };
        world.announce_newcomers(&hosts[..joining], &joined_s);
        world
    }

    /// Each gateway learns of each newcomer with a delay after it has joined. An update that comes later
    /// than the middle of the warm-up is dropped, as gateways are only added before the run.
    fn announce_newcomers(&mut self, newcomers: &[HostId], joined_s: &[f64]) {
        for (newcomer, joined_s) in newcomers.iter().zip(joined_s) {
            for entry in &mut self.entries {
                let learns_of_it_s =
                    joined_s + self.rng.random_range(0.0..=self.setting.update_delay_s);
                if learns_of_it_s <= RESTART_S + WARM_UP_S / 2.0 {
                    entry.fleet.add_gateway(newcomer.clone());
                }
            }
        }
    }

    fn run(mut self) -> RunResult {
        let weights: Vec<f64> = self.entries.iter().map(|entry| entry.weight).collect();
        let mut now_s = RESTART_S;
        loop {
            let is_burst = now_s < RESTART_S + 1.0;
            let per_s = self.setting.per_s * if is_burst { self.setting.burst } else { 1.0 };
            now_s = next_arrival_s(&mut self.rng, now_s, per_s);
            if now_s >= RESTART_S + WARM_UP_S {
                break;
            }
            let entry = draw_weighted(&mut self.rng, &weights);
            self.request(now_s, entry);
        }
        self.result.peak_per_s =
            self.arrivals.iter().map(|arrivals| peak_in_second(arrivals)).max().unwrap_or(0);
        self.result.at_cold = self.arrivals.iter().map(Vec::len).sum();
        self.result
    }

    /// Sends a request to an upstream that warms up if the strategy allows one: it is idle and therefore
    /// preferred over busy upstreams.
    fn request(&mut self, now_s: f64, number: usize) {
        if now_s < self.entries[number].joined_s {
            return;
        }
        self.result.requests += 1;
        self.learn(now_s, number);
        let first = self.rng.random_range(0..self.setting.cold);
        let cold = (0..self.setting.cold).map(|n| (first + n) % self.setting.cold);
        let usable = cold.into_iter().find(|upstream| self.is_usable(now_s, number, *upstream));
        let Some(upstream) = usable else {
            let has_warm = self.setting.cold < self.setting.upstreams;
            self.result.refused += usize::from(!has_warm);
            return;
        };
        let is_delayed = self.rng.random_bool(DELAYED_RATIO);
        let transit_s = TRANSIT_S + if is_delayed { EXTRA_DELAY_S } else { 0.0 };
        self.arrivals[upstream].push((now_s, now_s + transit_s));
        self.recent_sends[upstream].push_back(now_s);
        self.entries[number].cold.record_sent(at(now_s), &self.incarnations[upstream]);
    }

    fn learn(&mut self, now_s: f64, number: usize) {
        let entry = &mut self.entries[number];
        if entry.has_learned || now_s < entry.learns_s {
            return;
        }
        entry.has_learned = true;
        let report = ReportedCold::For(Duration::from_secs_f64(WARM_UP_S));
        for start in &self.incarnations {
            entry.cold.record_report(at(now_s), start, report);
        }
    }

    fn is_usable(&mut self, now_s: f64, number: usize, upstream: usize) -> bool {
        let entry = &self.entries[number];
        if !entry.has_learned {
            return false;
        }
        match self.strategy {
            Strategy::Free => true,
            Strategy::Among(_) => {
                let start = &self.incarnations[upstream];
                entry.cold.place(at(now_s), start, Some(&SERVICE), &entry.fleet) == SendQuota::Free
            }
            Strategy::Oracle => {
                let recent_sends = &mut self.recent_sends[upstream];
                while recent_sends.front().is_some_and(|sent_s| now_s - sent_s > 1.0) {
                    recent_sends.pop_front();
                }
                recent_sends.len() < BOUND_PER_S
            }
        }
    }
}

/// The most requests that were both sent and received within one second.
fn peak_in_second(arrivals: &[(f64, f64)]) -> usize {
    let within = |from_s: f64| {
        arrivals
            .iter()
            .filter(|(sent, arrived)| *sent >= from_s && *arrived <= from_s + 1.0)
            .count()
    };
    arrivals.iter().map(|(sent_s, _)| within(*sent_s)).max().unwrap_or(0)
}
