//! Entries, upstreams and callers of which some send fatal requests, in virtual time.

#[path = "ends_decisions.rs"]
mod decisions;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;
use stallhoist_measure::EventQueue;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::FatalRecord;
use stallhoist_policy::fatal::FatalRequests;

use crate::ends_setting::Figures;
use crate::ends_setting::Joining;
use crate::ends_setting::Policy;
use crate::ends_setting::Setting;

const LASTS_S: f64 = 40.0;
/// Fatal bodies come from here to there.
const SERIES_FROM_S: f64 = 3.0;
const SERIES_TO_S: f64 = 23.0;
/// A fatal run lasts so long, and a stream of others.
const FATAL_RUN_S: f64 = 0.1;
const STREAM_S: f64 = 3.0;
/// Before a request is sent on, as the gateway waits.
const PAUSE_S: f64 = 0.1;
/// The rule counts what is sent later than this after the third end.
const CONTACT_S: f64 = 3.0;
/// News that are lost are told again.
const TELL_EVERY_S: f64 = 0.2;
const ATTEMPTS: u32 = 3;
const UNCOUNTED_ENDS: u32 = 3;
const WORKSPACES: u64 = 20;
const NEWS_BYTES: u64 = 30;
/// An upstream whose end does not show at once takes requests again after so long.
const UNSEEN_BACK_S: f64 = 0.02;

#[derive(Debug, Clone)]
enum Event {
    /// A caller sends a body once more.
    Series(usize),
    /// A request is sent to an upstream.
    Go(usize),
    /// It has run to its end.
    RanOut(usize, u32),
    /// An upstream starts again.
    Back(usize),
    /// An entry learns that an upstream has ended some time ago.
    Shown(usize, UpstreamKey),
    /// What an entry tells another one in one message.
    Told(usize, Vec<CrashUpdate>),
    Stored(usize, RequestFingerprint, Option<(StoreVersion, FatalRecord)>),
    Writers,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    print: RequestFingerprint,
    workspace: u64,
    entry: usize,
    /// The number of its body, if that is a fatal one.
    body: Option<usize>,
    upstream: Option<usize>,
    attempts: u32,
    ends: u32,
    is_trying: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Upstream {
    start: u64,
    is_up: bool,
}

pub(crate) struct World {
    setting: Setting,
    rng: StdRng,
    now: MonoTime,
    events: EventQueue<Event>,
    books: Vec<FatalRequests>,
    requests: Vec<Request>,
    upstreams: Vec<Upstream>,
    rows: HashMap<RequestFingerprint, (StoreVersion, FatalRecord)>,
    version: u64,
    /// When each body ended an upstream.
    ends: Vec<Vec<MonoTime>>,
    figures: Figures,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn print_of(number: u64) -> RequestFingerprint {
    RequestFingerprint::of("POST", "/", "", &number.to_be_bytes())
}

impl World {
    pub(crate) fn new(setting: Setting, seed: u64) -> Self {
        let mut world = Self {
            setting,
            rng: StdRng::seed_from_u64(seed),
            now: MonoTime::default(),
            events: EventQueue::default(),
            books: (0..setting.entries).map(|_| FatalRequests::default()).collect(),
            requests: Vec::new(),
            upstreams: vec![Upstream { start: 0, is_up: true }; setting.upstreams],
            rows: HashMap::new(),
            version: 0,
            ends: vec![Vec::new(); setting.bodies],
            figures: Figures::default(),
        };
        for _ in 0..setting.upstreams * setting.beside {
            let spread = world.rng.random_range(0.0..STREAM_S);
            world.new_stream(spread);
        }
        for body in 0..setting.bodies {
            let spread = world.rng.random_range(0.0..1.0 / setting.per_s);
            world.add(SERIES_FROM_S + spread, Event::Series(body));
        }
        world.add(TELL_EVERY_S, Event::Writers);
        world
    }

    fn add(&mut self, after_s: f64, event: Event) {
        self.events.add(self.now.after(seconds(after_s)), event);
    }

    fn new_request(&mut self, number: u64, workspace: u64, body: Option<usize>, after_s: f64) {
        let request = Request {
            print: print_of(number),
            workspace,
            entry: self.rng.random_range(0..self.setting.entries),
            body,
            upstream: None,
            attempts: 0,
            ends: 0,
            is_trying: false,
        };
        self.requests.push(request);
        self.add(after_s, Event::Go(self.requests.len() - 1));
    }

    fn new_stream(&mut self, after_s: f64) {
        let number = self.requests.len() as u64;
        self.figures.streams += 1;
        self.new_request((1 << 32) + number, number % WORKSPACES, None, after_s);
    }

    pub(crate) fn run(mut self) -> Figures {
        while let Some((at, event)) = self.events.pop() {
            if at > MonoTime::default().after(seconds(LASTS_S)) {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.figures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Series(body) => {
                self.new_request(body as u64, 0, Some(body), 0.0);
                if self.now < MonoTime::default().after(seconds(SERIES_TO_S)) {
                    self.add(1.0 / self.setting.per_s, Event::Series(body));
                }
            }
            Event::Go(number) => self.go(number),
            Event::RanOut(number, attempts) => self.ran_out(number, attempts),
            Event::Back(upstream) => {
                self.upstreams[upstream].start += 1;
                self.upstreams[upstream].is_up = true;
            }
            Event::Shown(entry, upstream) => {
                let requests = self.books[entry].record_termination(self.now, upstream);
                let news = |request| CrashUpdate { request, upstream, is_cleared: false };
                self.tell(entry, &requests.into_iter().map(news).collect::<Vec<_>>());
            }
            Event::Told(entry, news) => {
                self.books[entry].apply_peer_update(self.now, news);
            }
            Event::Stored(entry, print, Some((version, record))) => {
                self.books[entry].stored(self.now, print, version, record);
            }
            Event::Stored(entry, print, None) => self.books[entry].unstored(self.now, print),
            Event::Writers => self.write(),
        }
    }

    fn go(&mut self, number: usize) {
        let Some(is_apart) = self.allows(number) else {
            if self.requests[number].body.is_none() {
                self.figures.held_back += 1;
                self.new_stream(STREAM_S);
            }
            return;
        };
        let Some(upstream) = self.choose(number, is_apart) else {
            return self.add(PAUSE_S, Event::Go(number));
        };
        let request = &mut self.requests[number];
        request.upstream = Some(upstream);
        request.attempts += 1;
        let (attempts, body) = (request.attempts, request.body);
        if let Some(body) = body {
            let third = self.ends[body].get(2);
            let is_late = third.is_some_and(|at| self.now > at.after(seconds(CONTACT_S)));
            self.figures.late_sends += usize::from(is_late);
        }
        let lasts_s = if body.is_some() { FATAL_RUN_S } else { STREAM_S };
        self.add(lasts_s, Event::RanOut(number, attempts));
    }

    fn choose(&mut self, number: usize, is_apart: bool) -> Option<usize> {
        let up = (0..self.upstreams.len()).filter(|n| self.upstreams[*n].is_up);
        let up: Vec<_> = up.collect();
        if up.is_empty() {
            return None;
        }
        if !is_apart {
            return Some(up[self.rng.random_range(0..up.len())]);
        }
        let seed = self.requests[number].print.seed();
        let place =
            |n: &usize| print_of(seed ^ (*n as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        up.into_iter().min_by_key(place)
    }

    fn ran_out(&mut self, number: usize, attempts: u32) {
        let request = self.requests[number];
        let Some(upstream) = request.upstream.filter(|_| request.attempts == attempts) else {
            return;
        };
        if request.body.is_some() && self.rng.random_bool(self.setting.chance) {
            return self.end(upstream, request.body);
        }
        self.requests[number].upstream = None;
        let has_cleared = self.books[request.entry].answered(self.now, request.print);
        if has_cleared {
            let told: Vec<_> = self.books[request.entry].peer_updates(self.now).collect();
            let cleared = told.into_iter().filter(|n| n.request == request.print && n.is_cleared);
            self.tell(request.entry, &cleared.collect::<Vec<_>>());
        }
        if request.body.is_none() {
            self.new_stream(0.0);
        }
    }

    /// An upstream ends by a body, and with it all that runs there.
    fn end(&mut self, upstream: usize, body: Option<usize>) {
        let key = UpstreamKey(self.upstreams[upstream].start << 32 | upstream as u64);
        self.upstreams[upstream].is_up = false;
        self.figures.ends += 1;
        if let Some(body) = body {
            self.ends[body].push(self.now);
        }
        let late = self.setting.showing.late;
        let is_late = late > 0.0 && self.rng.random_bool(late);
        let back_s = if is_late { UNSEEN_BACK_S } else { self.setting.back_s };
        self.add(back_s, Event::Back(upstream));
        if is_late {
            self.shows_later(key);
        }
        let there = |number: &usize| self.requests[*number].upstream == Some(upstream);
        let broken: Vec<_> = (0..self.requests.len()).filter(there).collect();
        // In the order of entries, so that a run is the same every time.
        let mut news: BTreeMap<usize, Vec<CrashUpdate>> = BTreeMap::new();
        for number in broken {
            if let Some(end) = self.broke_off(number, key, is_late) {
                news.entry(self.requests[number].entry).or_default().push(end);
            }
        }
        news.into_iter().for_each(|(entry, news)| self.tell(entry, &news));
    }

    /// Entries learn only a while later that an upstream has ended.
    fn shows_later(&mut self, upstream: UpstreamKey) {
        let showing = self.setting.showing;
        if showing.joining == Joining::Never {
            return;
        }
        let entries = 0..self.setting.entries;
        let drawn = entries.map(|_| self.rng.random_range(0.0..=showing.within_s));
        let own_s: Vec<f64> = drawn.collect();
        let first_s = own_s.iter().copied().fold(f64::INFINITY, f64::min);
        for (entry, own_s) in own_s.into_iter().enumerate() {
            let told_s = first_s + self.setting.news_s;
            let is_told = showing.joining == Joining::Among;
            let after_s = if is_told { own_s.min(told_s) } else { own_s };
            self.add(after_s, Event::Shown(entry, upstream));
        }
    }

    /// Gives what the request's entry has to tell of it.
    fn broke_off(
        &mut self,
        number: usize,
        upstream: UpstreamKey,
        is_late: bool,
    ) -> Option<CrashUpdate> {
        let request = &mut self.requests[number];
        request.upstream = None;
        request.ends += 1;
        let Request { entry, print, body, attempts, ends, is_trying, .. } = *request;
        let keeps = matches!(self.setting.policy, Policy::Kept | Policy::Alone);
        if is_late {
            self.books[entry].record_broken_stream(self.now, print, upstream);
        }
        let is_new = keeps && !is_late && self.books[entry].record_crash(self.now, print, upstream);
        let uncounted = if keeps && !is_late { ends.min(UNCOUNTED_ENDS) } else { 0 };
        if attempts - uncounted < ATTEMPTS && !is_trying {
            self.add(PAUSE_S, Event::Go(number));
        } else if body.is_none() {
            self.figures.lost += 1;
            self.new_stream(0.0);
        }
        is_new.then_some(CrashUpdate { request: print, upstream, is_cleared: false })
    }

    fn tell(&mut self, from: usize, news: &[CrashUpdate]) {
        if self.setting.policy != Policy::Kept || news.is_empty() {
            return;
        }
        for entry in (0..self.setting.entries).filter(|entry| *entry != from) {
            let mut after_s = self.setting.news_s;
            let bytes = NEWS_BYTES * news.len() as u64;
            self.figures.bytes += bytes;
            while self.rng.random_bool(self.setting.lost) {
                after_s += TELL_EVERY_S;
                self.figures.bytes += bytes;
            }
            self.add(after_s, Event::Told(entry, news.to_vec()));
        }
    }
}
