//! Entries, and upstreams of which some name a limit, in virtual time.

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
use crate::seeded_runs::next_arrival_s;
use crate::seeded_runs::starts;
use crate::seeded_runs::weight;

/// The bound by the platform's page: what may come in a window.
const WINDOW_S: f64 = 4.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// When the limits are named, and how long they are played; each entry hears of them late.
const NAMED_S: f64 = 3.0;
const LASTS_S: f64 = 20.0;
const NEWS_S: f64 = 0.5;

/// One request in a hundred is held up on its way.
const HELD_UP_SHARE: f64 = 0.01;
const HELD_UP_S: f64 = 0.3;
const ON_THE_WAY_S: f64 = 0.001;

/// How a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Way {
    /// Each entry keeps to it by itself.
    Alone,
    /// Each to its part, by its rank.
    Parts,
    /// Each to the whole of it in its turn, by clocks that agree.
    Turns,
    /// One knows all that was sent, and keeps to the limit itself.
    Oracle,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setting {
    pub(crate) entries: usize,
    pub(crate) upstreams: usize,
    /// Of these, so many name a limit.
    pub(crate) limited: usize,
    pub(crate) limit_per_s: f64,
    /// Requests a second, at all entries.
    pub(crate) per_s: f64,
    /// A third of the entries gets so many times the requests of the others.
    pub(crate) uneven: f64,
}

pub(crate) const USUAL: Setting =
    Setting { entries: 21, upstreams: 40, limited: 4, limit_per_s: 2.2, per_s: 278.0, uneven: 1.0 };

impl Setting {
    /// What may come to one upstream in a window.
    pub(crate) fn bound(&self) -> f64 {
        OVERAGE * self.limit_per_s * WINDOW_S + SLACK
    }
}

/// What came of a run.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Figures {
    /// The most requests in a window at one limited upstream.
    pub(crate) most: usize,
    /// Requests at limited upstreams.
    pub(crate) at_limited: usize,
    /// Requests that found no place, of all.
    pub(crate) refused: usize,
    pub(crate) requests: usize,
}

struct Entry {
    limits: NamedLimits,
    fleet: Fleet,
    weight: f64,
    hears_s: f64,
    has_heard: bool,
}

struct World<'a> {
    setting: &'a Setting,
    way: Way,
    rng: StdRng,
    entries: Vec<Entry>,
    starts: Vec<UpstreamIncarnation>,
    /// When requests arrived at each limited upstream.
    came: Vec<Vec<f64>>,
    /// For the oracle: what was sent to each in the last window.
    known: Vec<VecDeque<f64>>,
    /// For turns: whose it was last, since when, and what was sent since.
    used: Vec<(usize, usize)>,
    figures: Figures,
}

/// Plays some upstreams that name a limit from a moment on.
pub(crate) fn run(setting: &Setting, way: Way, seed: u64) -> Figures {
    World::new(setting, way, seed).run()
}

impl<'a> World<'a> {
    fn new(setting: &'a Setting, way: Way, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = hosts(seed, setting.entries);
        let mut entries = Vec::new();
        for (n, host) in hosts.iter().enumerate() {
            let mut fleet = Fleet::new(host);
            let known = if way == Way::Alone { &hosts[n..=n] } else { &hosts[..] };
            known.iter().for_each(|other| fleet.add_gateway(other.clone()));
            let weight = weight(n, setting.uneven);
            let hears_s = NAMED_S + rng.random_range(0.0..=NEWS_S);
            let limits = NamedLimits::default();
            entries.push(Entry { limits, fleet, weight, hears_s, has_heard: false });
        }
        Self {
            setting,
            way,
            rng,
            entries,
            starts: starts(seed, setting.limited),
            came: vec![Vec::new(); setting.limited],
            known: vec![VecDeque::new(); setting.limited],
            used: vec![(0, 0); setting.limited],
            figures: Figures::default(),
        }
    }

    fn run(mut self) -> Figures {
        let weights: Vec<f64> = self.entries.iter().map(|entry| entry.weight).collect();
        let mut now_s = NAMED_S;
        loop {
            now_s = next_arrival_s(&mut self.rng, now_s, self.setting.per_s);
            if now_s >= NAMED_S + LASTS_S {
                break;
            }
            let entry = draw_weighted(&mut self.rng, &weights);
            self.request(now_s, entry);
        }
        self.figures.most =
            self.came.iter_mut().map(|came| most_in_window(came)).max().unwrap_or(0);
        self.figures.at_limited = self.came.iter().map(Vec::len).sum();
        self.figures
    }

    /// A request goes to a limited upstream, which has little to do, if it may.
    fn request(&mut self, now_s: f64, number: usize) {
        self.figures.requests += 1;
        self.hear(now_s, number);
        if !self.entries[number].has_heard {
            return;
        }
        let first = self.rng.random_range(0..self.setting.limited);
        let limited = (0..self.setting.limited).map(|n| (first + n) % self.setting.limited);
        let usable = limited.into_iter().find(|upstream| self.is_usable(now_s, number, *upstream));
        let Some(upstream) = usable else {
            let has_others = self.setting.limited < self.setting.upstreams;
            self.figures.refused += usize::from(!has_others);
            return;
        };
        let held_up = self.rng.random_bool(HELD_UP_SHARE);
        let way_s = ON_THE_WAY_S + if held_up { HELD_UP_S } else { 0.0 };
        self.came[upstream].push(now_s + way_s);
        self.known[upstream].push_back(now_s);
        self.used[upstream].1 += 1;
        self.entries[number].limits.record_sent(at(now_s), &self.starts[upstream]);
    }

    fn hear(&mut self, now_s: f64, number: usize) {
        let entry = &mut self.entries[number];
        if entry.has_heard || now_s < entry.hears_s {
            return;
        }
        entry.has_heard = true;
        let limit = RequestRate::from_per_s(self.setting.limit_per_s).expect("a rate");
        for start in &self.starts {
            entry.limits.record_report(at(now_s), start, at(now_s), NamedLimit::Of(limit));
        }
    }

    fn is_usable(&mut self, now_s: f64, number: usize, upstream: usize) -> bool {
        let whole = (self.setting.limit_per_s * WINDOW_S).max(1.0) as usize;
        match self.way {
            Way::Alone | Way::Parts => {
                let entry = &self.entries[number];
                let place = entry.limits.place(at(now_s), &self.starts[upstream], &entry.fleet);
                place.is_usable()
            }
            Way::Turns => {
                let turn = ((now_s - NAMED_S) / WINDOW_S) as usize + upstream;
                if self.used[upstream].0 != turn {
                    self.used[upstream] = (turn, 0);
                }
                turn % self.setting.entries == number && self.used[upstream].1 < whole
            }
            Way::Oracle => {
                let known = &mut self.known[upstream];
                while known.front().is_some_and(|sent_s| now_s - sent_s > WINDOW_S) {
                    known.pop_front();
                }
                known.len() < whole
            }
        }
    }
}

/// The most requests that arrived within one window.
fn most_in_window(came: &mut [f64]) -> usize {
    came.sort_by(f64::total_cmp);
    let mut first = 0;
    let mut most = 0;
    for last in 0..came.len() {
        while came[last] - came[first] > WINDOW_S {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}
