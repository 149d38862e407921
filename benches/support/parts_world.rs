//! Simulates gateways, upstreams and callers in virtual time, where some parts of prompts crash upstreams.
//!
//! This file holds requests and crashes; `decisions` holds what gateways decide, tell each other and store. All random
//! draws of a run come from its seed, so a run with the same seed gives the same result.

#[path = "parts_decisions.rs"]
mod decisions;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;
use stallhoist_measure::EventQueue;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::Exposure;
use stallhoist_policy::fatal::FatalRecord;
use stallhoist_policy::fatal::FatalSubjects;
use stallhoist_policy::fatal::ResponsePhase;

use crate::parts_setting::Policy;
use crate::parts_setting::RunResult;
use crate::parts_setting::Setting;

const DURATION_S: f64 = 36.0;
/// When the first requests with a fatal part are sent, when these crash upstreams, and when the last are sent.
const FATAL_FROM_S: f64 = 2.0;
const CRASHES_FROM_S: f64 = 8.0;
const FATAL_UNTIL_S: f64 = 30.0;
/// Time from the head of a fatal response to the crash.
const CRASH_DELAY_S: f64 = 0.07;
/// A response that is written for so long clears the parts of its prompt.
const SURVIVAL_S: f64 = 0.5;
const RETRY_DELAY_S: f64 = 0.1;
const ATTEMPTS: u32 = 3;
const UNCOUNTED_CRASHES: u32 = 3;
/// The platform's rules count from so many crashes, and so long after.
const CRASHES_UNTIL_KNOWN: usize = 5;
const CONTACT_S: f64 = 3.0;
const SERVICE: u64 = 1;
/// Ids of parts of which there is one for each fatal part.
const FATAL_PARTS: u64 = 1 << 40;
const PAIRED_PARTS: u64 = 1 << 41;
const SECOND_PARTS: u64 = 1 << 20;

#[derive(Debug, Clone)]
enum Event {
    SendFatal(usize),
    SendSound,
    /// A request is ready to be sent to an upstream.
    Attempt(usize),
    /// An attempt's response begins, has been written for a while, or is complete. The second field is its number.
    Begin(usize, u32),
    Survive(usize, u32),
    Finish(usize, u32),
    /// A start of an upstream crashes.
    Crash(usize, u64, Option<usize>),
    Restart(usize),
    OtherCrashes,
    PeerUpdate(usize, Arc<[CrashUpdate]>),
    Publish(usize),
    Stored(usize, CrashSubject, Option<(StoreVersion, FatalRecord)>),
    StoreWrites,
}

#[derive(Debug)]
struct Request {
    fingerprint: RequestFingerprint,
    parts: Arc<[PartFingerprint]>,
    gateway: usize,
    fatal_part: Option<usize>,
    sent_s: f64,
    upstream: Option<usize>,
    phase: ResponsePhase,
    attempts: u32,
    crashes: u32,
    trials: Vec<CrashSubject>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Upstream {
    start: u64,
    is_up: bool,
}

#[derive(Debug, Default)]
struct Gateway {
    tracker: FatalSubjects,
    is_publishing: bool,
}

pub(crate) struct World {
    setting: Setting,
    rng: StdRng,
    now: MonoTime,
    events: EventQueue<Event>,
    gateways: Vec<Gateway>,
    requests: Vec<Request>,
    upstreams: Vec<Upstream>,
    rows: HashMap<CrashSubject, (StoreVersion, FatalRecord)>,
    version: u64,
    /// Times of the crashes that each fatal part caused, in seconds.
    crashes: Vec<Vec<f64>>,
    wrong_parts: BTreeSet<CrashSubject>,
    result: RunResult,
}

fn part(id: u64) -> PartFingerprint {
    PartFingerprint { service: SERVICE, part: id }
}

impl World {
    pub(crate) fn new(setting: Setting, seed: u64) -> Self {
        let tracker = || FatalSubjects::new(setting.config.clone());
        let gateway = |_| Gateway { tracker: tracker(), is_publishing: false };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: MonoTime::default(),
            events: EventQueue::default(),
            gateways: (0..setting.gateways).map(gateway).collect(),
            requests: Vec::new(),
            upstreams: vec![Upstream { start: 0, is_up: true }; setting.upstreams],
            rows: HashMap::new(),
            version: 0,
            crashes: vec![Vec::new(); setting.fatal_parts],
            wrong_parts: BTreeSet::new(),
            result: RunResult { late_sends: vec![0; setting.fatal_parts], ..RunResult::default() },
            setting,
        };
        let from_s = if world.setting.turns_fatal { FATAL_FROM_S } else { CRASHES_FROM_S };
        for fatal in 0..world.setting.fatal_parts {
            let spread = world.rng.random_range(0.0..1.0 / world.setting.fatal_per_s);
            world.add(from_s + spread, Event::SendFatal(fatal));
        }
        if world.setting.other_crashes.is_some() {
            world.add(CRASHES_FROM_S, Event::OtherCrashes);
        }
        world.add(0.0, Event::SendSound);
        world.add(0.2, Event::StoreWrites);
        world
    }

    fn add(&mut self, after_s: f64, event: Event) {
        self.events.add(self.now.after(Duration::from_secs_f64(after_s)), event);
    }

    fn now_s(&self) -> f64 {
        self.now.since(MonoTime::default()).as_secs_f64()
    }

    /// An exponentially distributed time.
    fn draw_s(&mut self, mean_s: f64) -> f64 {
        -mean_s * (1.0 - self.rng.random_range(0.0..1.0_f64)).ln()
    }

    pub(crate) fn run(mut self) -> RunResult {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            if self.now_s() > DURATION_S {
                break;
            }
            self.handle(event);
        }
        self.result.wrong_parts = self.wrong_parts.len();
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendFatal(fatal) => self.send_fatal(fatal),
            Event::SendSound => {
                let id = self.draw_second_part();
                self.new_sound(vec![part(id % self.setting.first_parts), part(id)]);
                let pause_s = self.draw_s(1.0 / self.setting.sound_per_s);
                self.add(pause_s, Event::SendSound);
            }
            Event::Attempt(number) => self.attempt(number),
            Event::Begin(number, attempt) => self.begin(number, attempt),
            Event::Survive(number, attempt) => self.survive(number, attempt),
            Event::Finish(number, attempt) => self.finish(number, attempt),
            Event::Crash(upstream, start, cause) => self.crash(upstream, start, cause),
            Event::Restart(upstream) => {
                self.upstreams[upstream].start += 1;
                self.upstreams[upstream].is_up = true;
            }
            Event::OtherCrashes => self.crash_others(),
            Event::PeerUpdate(..) | Event::Publish(_) | Event::Stored(..) | Event::StoreWrites => {
                self.handle_news(event);
            }
        }
    }

    /// Some second parts are much more frequent than others.
    fn draw_second_part(&mut self) -> u64 {
        let place = self.rng.random_range(0.0..1.0_f64).powf(1.5);
        SECOND_PARTS + (place * self.setting.second_parts as f64) as u64
    }

    fn send_fatal(&mut self, fatal: usize) {
        let second = self.draw_second_part();
        let shared = vec![part(second % self.setting.first_parts), part(second)];
        for _ in 0..self.setting.companions {
            self.new_sound(shared.clone());
        }
        let mut parts = shared;
        parts.push(part(FATAL_PARTS + fatal as u64));
        if self.setting.is_paired {
            parts.push(part(PAIRED_PARTS + fatal as u64));
        }
        self.new_request(parts, Some(fatal));
        if self.now_s() < FATAL_UNTIL_S {
            let pause_s = self.draw_s(1.0 / self.setting.fatal_per_s);
            self.add(pause_s, Event::SendFatal(fatal));
        }
    }

    fn new_sound(&mut self, parts: Vec<PartFingerprint>) {
        self.result.sound += 1;
        self.result.later += usize::from(self.is_later(self.now_s()));
        self.new_request(parts, None);
    }

    fn new_request(&mut self, parts: Vec<PartFingerprint>, fatal_part: Option<usize>) {
        let number = self.requests.len();
        self.requests.push(Request {
            fingerprint: RequestFingerprint::of("POST", "/", "", &number.to_be_bytes()),
            parts: parts.into(),
            gateway: self.rng.random_range(0..self.setting.gateways),
            fatal_part,
            sent_s: self.now_s(),
            upstream: None,
            phase: ResponsePhase::Awaited,
            attempts: 0,
            crashes: 0,
            trials: Vec::new(),
        });
        self.attempt(number);
    }

    /// Whether sound requests of this time must begin: all fatal parts are known for twice the contact time.
    fn is_later(&self, at_s: f64) -> bool {
        let is_known = |crashes: &Vec<f64>| {
            let last = crashes.get(CRASHES_UNTIL_KNOWN - 1).or(crashes.last());
            last.is_some_and(|known_s| at_s > known_s + 2.0 * CONTACT_S)
        };
        at_s < FATAL_UNTIL_S && self.crashes.iter().all(is_known)
    }

    fn attempt(&mut self, number: usize) {
        let Some(isolation_seed) = self.decide(number) else {
            return;
        };
        let Some(upstream) = self.choose(isolation_seed) else {
            let is_given_up = self.now_s() > self.requests[number].sent_s + 5.0;
            if is_given_up {
                self.result.lost += usize::from(self.requests[number].fatal_part.is_none());
            } else {
                self.add(RETRY_DELAY_S, Event::Attempt(number));
            }
            return;
        };
        let wait_s = self.draw_s(self.setting.wait_s);
        let request = &mut self.requests[number];
        request.upstream = Some(upstream);
        request.phase = ResponsePhase::Awaited;
        request.attempts += 1;
        let (attempt, fatal) = (request.attempts, request.fatal_part);
        if let Some(fatal) = fatal {
            let known = self.crashes[fatal].get(CRASHES_UNTIL_KNOWN - 1);
            let is_late = known.is_some_and(|known_s| self.now_s() > known_s + CONTACT_S);
            self.result.late_sends[fatal] += usize::from(is_late);
        }
        self.add(wait_s, Event::Begin(number, attempt));
    }

    fn choose(&mut self, isolation_seed: Option<u64>) -> Option<usize> {
        let up: Vec<_> = (0..self.upstreams.len()).filter(|n| self.upstreams[*n].is_up).collect();
        if up.is_empty() {
            return None;
        }
        let Some(seed) = isolation_seed else {
            return Some(up[self.rng.random_range(0..up.len())]);
        };
        up.into_iter().min_by_key(|n| (seed ^ (*n as u64 + 1)).wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    fn is_current(&self, number: usize, attempt: u32) -> bool {
        let request = &self.requests[number];
        request.upstream.is_some() && request.attempts == attempt
    }

    fn begin(&mut self, number: usize, attempt: u32) {
        if !self.is_current(number, attempt) {
            return;
        }
        let request = &mut self.requests[number];
        let upstream = request.upstream.expect("an attempt has an upstream");
        let fatal = request.fatal_part.filter(|_| self.now >= at_s(CRASHES_FROM_S));
        let start = self.upstreams[upstream].start;
        if fatal.is_some() && self.setting.crashes_before_head {
            return self.crash(upstream, start, fatal);
        }
        let is_cut_at_head = fatal.is_some() && !self.setting.crashes_after_first_part;
        request.phase = if is_cut_at_head { ResponsePhase::Begun } else { ResponsePhase::Started };
        if fatal.is_some() {
            return self.add(CRASH_DELAY_S, Event::Crash(upstream, start, fatal));
        }
        let (sent_s, is_first, is_sound) =
            (request.sent_s, request.attempts == 1, request.fatal_part.is_none());
        if is_first && is_sound && self.is_later(sent_s) {
            self.result.later_begun += 1;
        }
        let response_s = self.draw_s(self.setting.response_s);
        self.add(SURVIVAL_S, Event::Survive(number, attempt));
        self.add(response_s, Event::Finish(number, attempt));
    }

    fn survive(&mut self, number: usize, attempt: u32) {
        if self.is_current(number, attempt) {
            self.requests[number].phase = ResponsePhase::Written;
            self.clear_parts(number);
        }
    }

    fn finish(&mut self, number: usize, attempt: u32) {
        if !self.is_current(number, attempt) {
            return;
        }
        if self.requests[number].phase < ResponsePhase::Written {
            self.clear_parts(number);
        }
        self.clear_request(number);
        self.end_trials(number);
        self.requests[number].upstream = None;
    }

    fn crash_others(&mut self) {
        let Some(other) = self.setting.other_crashes else {
            return;
        };
        for _ in 0..other.at_once {
            if let Some(upstream) = self.choose(None) {
                self.crash(upstream, self.upstreams[upstream].start, None);
            }
        }
        if self.now_s() < FATAL_UNTIL_S {
            self.add(other.every_s, Event::OtherCrashes);
        }
    }

    /// Crashes an upstream and breaks all responses there.
    fn crash(&mut self, upstream: usize, start: u64, cause: Option<usize>) {
        let Upstream { start: current, is_up } = self.upstreams[upstream];
        if current != start || !is_up {
            return;
        }
        self.upstreams[upstream].is_up = false;
        self.result.crashes += 1;
        if let Some(fatal) = cause {
            let now_s = self.now_s();
            self.crashes[fatal].push(now_s);
        }
        let restart_s = self.setting.restart_s;
        self.add(restart_s, Event::Restart(upstream));
        let key = UpstreamKey(start << 32 | upstream as u64);
        let there = |number: &usize| self.requests[*number].upstream == Some(upstream);
        let broken: Vec<_> = (0..self.requests.len()).filter(there).collect();
        broken.into_iter().for_each(|number| self.break_response(number, key));
    }

    /// Records a broken response at its gateway, and sends the request again while attempts remain.
    fn break_response(&mut self, number: usize, upstream: UpstreamKey) {
        let request = &mut self.requests[number];
        request.upstream = None;
        request.crashes += 1;
        let is_trial = !request.trials.is_empty();
        let exposure = Exposure {
            request: request.fingerprint,
            parts: match self.setting.policy {
                Policy::Parts => Arc::clone(&request.parts),
                Policy::Requests | Policy::Oracle => Arc::default(),
            },
            broke_at: self.now,
            phase: request.phase,
            is_trial,
        };
        let (gateway, is_sound) = (request.gateway, request.fatal_part.is_none());
        let uncounted = request.crashes.min(UNCOUNTED_CRASHES);
        let is_repeated = request.attempts - uncounted < ATTEMPTS && !is_trial;
        let now = self.now;
        if !self.gateways[gateway].tracker.record_crash(now, &exposure, upstream).is_empty() {
            self.publish_soon(gateway);
        }
        self.end_trials(number);
        if is_repeated {
            self.add(RETRY_DELAY_S, Event::Attempt(number));
        } else {
            self.result.lost += usize::from(is_sound);
        }
    }
}

fn at_s(seconds: f64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs_f64(seconds))
}
