//! Entries, and upstreams of which some come back cold, in virtual time.

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
use crate::seeded_runs::next_arrival_s;
use crate::seeded_runs::starts;
use crate::seeded_runs::weight;

/// What an upstream bears in a second while it is cold, and the bound by the platform's page.
pub(crate) const SERVICE: ColdService =
    ColdService { after_start: Duration::from_secs(3), per_s: 18.0 };
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
pub(crate) const BOUND_PER_S: usize = 32;

const COLD_S: f64 = 3.0;
/// Upstreams come back then; entries may have joined since the run began.
const RETURN_S: f64 = 4.0;
/// One request in a hundred is held up on its way.
const HELD_UP_SHARE: f64 = 0.01;
const HELD_UP_S: f64 = 0.08;
const ON_THE_WAY_S: f64 = 0.001;

/// How requests are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Way {
    /// Any entry sends as it likes, as before.
    Free,
    /// Among so many entries.
    Among(u32),
    /// One that knows all that was sent, up to the bound itself.
    Oracle,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    /// Of these, so many are cold at once.
    pub(crate) cold: usize,
    /// Requests a second, at all entries.
    pub(crate) per_s: f64,
    /// A third of the entries gets so many times the requests of the others.
    pub(crate) uneven: f64,
    /// In the first second after the return, so many times the requests.
    pub(crate) burst: f64,
    /// News are late by up to so much.
    pub(crate) news_s: f64,
    /// So many entries of a hundred join in the seconds before the return.
    pub(crate) joining: usize,
}

pub(crate) const USUAL: Setting = Setting {
    entries: 21,
    upstreams: 40,
    cold: 13,
    per_s: 278.0,
    uneven: 1.0,
    burst: 1.0,
    news_s: 0.3,
    joining: 0,
};

/// What came of a run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Figures {
    /// The most requests within a second at one cold upstream.
    pub(crate) busiest: usize,
    /// Requests at cold upstreams.
    pub(crate) at_cold: usize,
    /// Requests that found no place.
    pub(crate) refused: usize,
    pub(crate) requests: usize,
}

struct Entry {
    cold: ColdUpstreams,
    fleet: Fleet,
    weight: f64,
    /// When it takes part, and when it hears of the return.
    joined_s: f64,
    hears_s: f64,
    has_heard: bool,
}

struct World<'a> {
    setting: &'a Setting,
    way: Way,
    rng: StdRng,
    entries: Vec<Entry>,
    starts: Vec<UpstreamIncarnation>,
    /// What came to each cold upstream: when it was sent and when it arrived.
    came: Vec<Vec<(f64, f64)>>,
    /// For the oracle: what was sent to each in the last second.
    known: Vec<VecDeque<f64>>,
    figures: Figures,
}

/// Plays one return of upstreams.
pub(crate) fn run(setting: &Setting, way: Way, seed: u64) -> Figures {
    World::new(setting, way, seed).run()
}

impl<'a> World<'a> {
    fn new(setting: &'a Setting, way: Way, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let max_owners = if let Way::Among(owners) = way { owners } else { u32::MAX };
        let bound = ColdBound { overage: OVERAGE, slack: SLACK, max_owners };
        let joining = setting.entries * setting.joining / 100;
        let hosts = hosts(seed, setting.entries);
        let joined_s: Vec<f64> = (0..setting.entries)
            .map(|n| if n < joining { rng.random_range(0.0..RETURN_S) } else { 0.0 })
            .collect();
        let mut entries = Vec::new();
        for (n, host) in hosts.iter().enumerate() {
            let mut fleet = Fleet::new(host);
            // Those that were there first know each other.
            hosts[joining..].iter().for_each(|other| fleet.add_gateway(other.clone()));
            if n < joining {
                fleet.announce_self(at(joined_s[n]));
                fleet.add_gateway(host.clone());
            }
            let weight = weight(n, setting.uneven);
            let hears_s = RETURN_S + rng.random_range(0.0..=setting.news_s);
            let joined_s = joined_s[n];
            let cold = ColdUpstreams::new(Some(bound));
            entries.push(Entry { cold, fleet, weight, joined_s, hears_s, has_heard: false });
        }
        let mut world = Self {
            setting,
            way,
            rng,
            entries,
            starts: starts(seed, setting.cold),
            came: vec![Vec::new(); setting.cold],
            known: vec![VecDeque::new(); setting.cold],
            figures: Figures::default(),
        };
        world.tell_of_newcomers(&hosts[..joining], &joined_s);
        world
    }

    /// Each entry hears of each newcomer a while after it has joined; by the return all that
    /// matter have, or not.
    fn tell_of_newcomers(&mut self, newcomers: &[HostId], joined_s: &[f64]) {
        for (newcomer, joined_s) in newcomers.iter().zip(joined_s) {
            for entry in &mut self.entries {
                let heard_s = joined_s + self.rng.random_range(0.0..=self.setting.news_s);
                if heard_s <= RETURN_S + COLD_S / 2.0 {
                    entry.fleet.add_gateway(newcomer.clone());
                }
            }
        }
    }

    fn run(mut self) -> Figures {
        let weights: Vec<f64> = self.entries.iter().map(|entry| entry.weight).collect();
        let mut now_s = RETURN_S;
        loop {
            let is_burst = now_s < RETURN_S + 1.0;
            let per_s = self.setting.per_s * if is_burst { self.setting.burst } else { 1.0 };
            now_s = next_arrival_s(&mut self.rng, now_s, per_s);
            if now_s >= RETURN_S + COLD_S {
                break;
            }
            let entry = draw_weighted(&mut self.rng, &weights);
            self.request(now_s, entry);
        }
        self.figures.busiest = self.came.iter().map(|came| busiest_second(came)).max().unwrap_or(0);
        self.figures.at_cold = self.came.iter().map(Vec::len).sum();
        self.figures
    }

    /// A request goes to a cold upstream that has nothing to do, if it may, as the idlest.
    fn request(&mut self, now_s: f64, number: usize) {
        if now_s < self.entries[number].joined_s {
            return;
        }
        self.figures.requests += 1;
        self.hear(now_s, number);
        let first = self.rng.random_range(0..self.setting.cold);
        let cold = (0..self.setting.cold).map(|n| (first + n) % self.setting.cold);
        let usable = cold.into_iter().find(|upstream| self.is_usable(now_s, number, *upstream));
        let Some(upstream) = usable else {
            let has_warm = self.setting.cold < self.setting.upstreams;
            self.figures.refused += usize::from(!has_warm);
            return;
        };
        let held_up = self.rng.random_bool(HELD_UP_SHARE);
        let way_s = ON_THE_WAY_S + if held_up { HELD_UP_S } else { 0.0 };
        self.came[upstream].push((now_s, now_s + way_s));
        self.known[upstream].push_back(now_s);
        self.entries[number].cold.record_sent(at(now_s), &self.starts[upstream]);
    }

    fn hear(&mut self, now_s: f64, number: usize) {
        let entry = &mut self.entries[number];
        if entry.has_heard || now_s < entry.hears_s {
            return;
        }
        entry.has_heard = true;
        let told = ReportedCold::For(Duration::from_secs_f64(COLD_S));
        for start in &self.starts {
            entry.cold.record_report(at(now_s), start, told);
        }
    }

    fn is_usable(&mut self, now_s: f64, number: usize, upstream: usize) -> bool {
        let entry = &self.entries[number];
        if !entry.has_heard {
            return false;
        }
        match self.way {
            Way::Free => true,
            Way::Among(_) => {
                let start = &self.starts[upstream];
                entry.cold.place(at(now_s), start, Some(&SERVICE), &entry.fleet) == SendQuota::Free
            }
            Way::Oracle => {
                let known = &mut self.known[upstream];
                while known.front().is_some_and(|sent_s| now_s - sent_s > 1.0) {
                    known.pop_front();
                }
                known.len() < BOUND_PER_S
            }
        }
    }
}

/// The most requests that were sent and arrived within one second.
fn busiest_second(came: &[(f64, f64)]) -> usize {
    let within = |from_s: f64| {
        came.iter().filter(|(sent, arrived)| *sent >= from_s && *arrived <= from_s + 1.0).count()
    };
    came.iter().map(|(sent_s, _)| within(*sent_s)).max().unwrap_or(0)
}
