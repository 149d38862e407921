//! Simulates gateways, upstreams and callers in virtual time, where some callers send fatal requests.
//!
//! This file holds the events and the effects of crashes; `decisions` holds what gateways decide and store.
//! All random draws of a run come from its seed, so a run with the same seed gives the same result.

#[path = "ends_decisions.rs"]
mod decisions;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::StoreVersion;
use stallhoist_measure::EventQueue;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::Exposure;
use stallhoist_policy::fatal::FatalRecord;
use stallhoist_policy::fatal::FatalSubjects;
use stallhoist_policy::fatal::ResponsePhase;

use crate::ends_setting::Attribution;
use crate::ends_setting::Policy;
use crate::ends_setting::RunResult;
use crate::ends_setting::Setting;

const DURATION_S: f64 = 40.0;
/// Interval in which callers send fatal bodies.
const REPEAT_FROM_S: f64 = 3.0;
const REPEAT_UNTIL_S: f64 = 23.0;
/// Duration of a run with a fatal body, and of an ordinary stream.
const FATAL_RUN_S: f64 = 0.1;
const STREAM_S: f64 = 3.0;
/// Delay before a request is sent again, as in the gateway.
const RETRY_DELAY_S: f64 = 0.1;
/// Sends count as late from this long after the third crash, as the platform's rule has it.
const GRACE_S: f64 = 3.0;
/// Interval at which lost updates are sent again, and at which gateways write to the store.
const UPDATE_INTERVAL_S: f64 = 0.2;
const ATTEMPTS: u32 = 3;
const UNCOUNTED_CRASHES: u32 = 3;
const WORKSPACES: u64 = 20;
const UPDATE_BYTES: u64 = 30;
/// Time until an upstream whose crash is detected late accepts requests again.
const UNDETECTED_RESTART_S: f64 = 0.02;

#[derive(Debug, Clone)]
enum Event {
    /// A caller sends a fatal body again.
    RepeatBody(usize),
    /// A request is ready to be sent to an upstream.
    Send(usize),
    /// An attempt of a request has run for its full duration; the second field is the attempt's number.
    RunFinished(usize, u32),
    /// An upstream is up again, as a new incarnation.
    Restart(usize),
    /// A gateway detects a crash of an upstream that happened some time ago.
    CrashDetected(usize, UpstreamKey),
    /// A gateway receives crashes from a peer, in one message.
    PeerUpdate(usize, Vec<CrashUpdate>),
    /// A gateway reads a changed or removed record of the store.
    Stored(usize, CrashSubject, Option<(StoreVersion, FatalRecord)>),
    /// Gateways write their changes to the store.
    StoreWrites,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    fingerprint: RequestFingerprint,
    workspace: u64,
    entry: usize,
    /// Index of its fatal body, if it has one.
    body: Option<usize>,
    upstream: Option<usize>,
    attempts: u32,
    ends: u32,
    is_trial: bool,
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
    trackers: Vec<FatalSubjects>,
    requests: Vec<Request>,
    upstreams: Vec<Upstream>,
    rows: HashMap<CrashSubject, (StoreVersion, FatalRecord)>,
    version: u64,
    /// Times of the crashes that each fatal body caused.
    ends: Vec<Vec<MonoTime>>,
    result: RunResult,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn fingerprint_of(number: u64) -> RequestFingerprint {
    RequestFingerprint::of("POST", "/", "", &number.to_be_bytes())
}

impl World {
    pub(crate) fn new(setting: Setting, seed: u64) -> Self {
        let mut world = Self {
            setting,
            rng: StdRng::seed_from_u64(seed),
            now: MonoTime::default(),
            events: EventQueue::default(),
            trackers: (0..setting.entries).map(|_| FatalSubjects::default()).collect(),
            requests: Vec::new(),
            upstreams: vec![Upstream { start: 0, is_up: true }; setting.upstreams],
            rows: HashMap::new(),
            version: 0,
            ends: vec![Vec::new(); setting.bodies],
            result: RunResult::default(),
        };
        for _ in 0..setting.upstreams * setting.streams_per_upstream {
            let spread = world.rng.random_range(0.0..STREAM_S);
            world.new_stream(spread);
        }
        for body in 0..setting.bodies {
            let spread = world.rng.random_range(0.0..1.0 / setting.per_s);
            world.add(REPEAT_FROM_S + spread, Event::RepeatBody(body));
        }
        world.add(UPDATE_INTERVAL_S, Event::StoreWrites);
        world
    }

    fn add(&mut self, after_s: f64, event: Event) {
        self.events.add(self.now.after(seconds(after_s)), event);
    }

    fn new_request(&mut self, number: u64, workspace: u64, body: Option<usize>, after_s: f64) {
        let request = Request {
            fingerprint: fingerprint_of(number),
            workspace,
            entry: self.rng.random_range(0..self.setting.entries),
            body,
            upstream: None,
            attempts: 0,
            ends: 0,
            is_trial: false,
        };
        self.requests.push(request);
        self.add(after_s, Event::Send(self.requests.len() - 1));
    }

    fn new_stream(&mut self, after_s: f64) {
        let number = self.requests.len() as u64;
        self.result.streams += 1;
        self.new_request((1 << 32) + number, number % WORKSPACES, None, after_s);
    }

    pub(crate) fn run(mut self) -> RunResult {
        while let Some((at, event)) = self.events.pop() {
            if at > MonoTime::default().after(seconds(DURATION_S)) {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.result
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RepeatBody(body) => {
                self.new_request(body as u64, 0, Some(body), 0.0);
                if self.now < MonoTime::default().after(seconds(REPEAT_UNTIL_S)) {
                    self.add(1.0 / self.setting.per_s, Event::RepeatBody(body));
                }
            }
            Event::Send(number) => self.send(number),
            Event::RunFinished(number, attempts) => self.finish_run(number, attempts),
            Event::Restart(upstream) => {
                self.upstreams[upstream].start += 1;
                self.upstreams[upstream].is_up = true;
            }
            Event::CrashDetected(entry, upstream) => {
                let subjects = self.trackers[entry].record_termination(self.now, upstream);
                let updates = subjects.into_iter().map(|subject| self.update(subject, upstream));
                let updates: Vec<_> = updates.collect();
                self.send_updates(entry, &updates);
            }
            Event::PeerUpdate(entry, updates) => {
                self.trackers[entry].apply_peer_update(self.now, updates);
            }
            Event::Stored(entry, subject, Some((version, record))) => {
                self.trackers[entry].stored(self.now, subject, version, record);
            }
            Event::Stored(entry, subject, None) => self.trackers[entry].unstored(self.now, subject),
            Event::StoreWrites => self.write(),
        }
    }

    fn send(&mut self, number: usize) {
        let Some(is_isolated) = self.decide(number) else {
            if self.requests[number].body.is_none() {
                self.result.held_back += 1;
                self.new_stream(STREAM_S);
            }
            return;
        };
        let Some(upstream) = self.choose(number, is_isolated) else {
            return self.add(RETRY_DELAY_S, Event::Send(number));
        };
        let request = &mut self.requests[number];
        request.upstream = Some(upstream);
        request.attempts += 1;
        let (attempts, body) = (request.attempts, request.body);
        if let Some(body) = body {
            let third = self.ends[body].get(2);
            let is_late = third.is_some_and(|at| self.now > at.after(seconds(GRACE_S)));
            self.result.late_sends += usize::from(is_late);
        }
        let run_s = if body.is_some() { FATAL_RUN_S } else { STREAM_S };
        self.add(run_s, Event::RunFinished(number, attempts));
    }

    fn choose(&mut self, number: usize, is_isolated: bool) -> Option<usize> {
        let up = (0..self.upstreams.len()).filter(|n| self.upstreams[*n].is_up);
        let up: Vec<_> = up.collect();
        if up.is_empty() {
            return None;
        }
        if !is_isolated {
            return Some(up[self.rng.random_range(0..up.len())]);
        }
        let seed = self.requests[number].fingerprint.seed();
        let place =
            |n: &usize| fingerprint_of(seed ^ (*n as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        up.into_iter().min_by_key(place)
    }

    fn finish_run(&mut self, number: usize, attempts: u32) {
        let request = self.requests[number];
        let Some(upstream) = request.upstream.filter(|_| request.attempts == attempts) else {
            return;
        };
        if request.body.is_some() && self.rng.random_bool(self.setting.crash_probability) {
            return self.end(upstream, request.body);
        }
        self.requests[number].upstream = None;
        let subject = CrashSubject::from(request.fingerprint);
        let has_cleared = self.trackers[request.entry].answered(self.now, subject);
        if has_cleared {
            let updates = self.trackers[request.entry].peer_updates(self.now);
            let cleared = updates.into_iter().filter(|n| n.subject == subject && n.is_cleared);
            self.send_updates(request.entry, &cleared.collect::<Vec<_>>());
        }
        if request.body.is_none() {
            self.new_stream(0.0);
        }
    }

    /// Crashes an upstream and breaks all streams that run there.
    fn end(&mut self, upstream: usize, body: Option<usize>) {
        let key = UpstreamKey(self.upstreams[upstream].start << 32 | upstream as u64);
        self.upstreams[upstream].is_up = false;
        self.result.ends += 1;
        if let Some(body) = body {
            self.ends[body].push(self.now);
        }
        let late = self.setting.detection.late;
        let is_late = late > 0.0 && self.rng.random_bool(late);
        let restart_s = if is_late { UNDETECTED_RESTART_S } else { self.setting.restart_s };
        self.add(restart_s, Event::Restart(upstream));
        if is_late {
            self.schedule_detection(key);
        }
        let there = |number: &usize| self.requests[*number].upstream == Some(upstream);
        let broken: Vec<_> = (0..self.requests.len()).filter(there).collect();
        // Ordered by gateway, so that a run is reproducible.
        let mut updates: BTreeMap<usize, Vec<CrashUpdate>> = BTreeMap::new();
        for number in broken {
            if let Some(end) = self.break_stream(number, key, is_late) {
                updates.entry(self.requests[number].entry).or_default().push(end);
            }
        }
        updates.into_iter().for_each(|(entry, updates)| self.send_updates(entry, &updates));
    }

    /// Schedules when each gateway detects a crash that is not visible immediately.
    fn schedule_detection(&mut self, upstream: UpstreamKey) {
        let detection = self.setting.detection;
        if detection.attribution == Attribution::Never {
            return;
        }
        let entries = 0..self.setting.entries;
        let drawn = entries.map(|_| self.rng.random_range(0.0..=detection.within_s));
        let local_s: Vec<f64> = drawn.collect();
        let first_s = local_s.iter().copied().fold(f64::INFINITY, f64::min);
        for (entry, local_s) in local_s.into_iter().enumerate() {
            let from_peer_s = first_s + self.setting.update_delay_s;
            let is_shared = detection.attribution == Attribution::Among;
            let after_s = if is_shared { local_s.min(from_peer_s) } else { local_s };
            self.add(after_s, Event::CrashDetected(entry, upstream));
        }
    }

    /// Records a broken stream at its gateway and retries the request while attempts remain. Returns the crash
    /// to send to peers, if it is a new one.
    fn break_stream(
        &mut self,
        number: usize,
        upstream: UpstreamKey,
        is_late: bool,
    ) -> Option<CrashUpdate> {
        let request = &mut self.requests[number];
        request.upstream = None;
        request.ends += 1;
        let Request { entry, fingerprint, body, attempts, ends, is_trial, .. } = *request;
        let keeps = matches!(self.setting.policy, Policy::Kept | Policy::Alone);
        let exposure = Exposure {
            request: fingerprint,
            parts: Arc::default(),
            broke_at: self.now,
            phase: ResponsePhase::Awaited,
            is_trial,
        };
        let tracker = &mut self.trackers[entry];
        if is_late {
            tracker.record_broken_stream(self.now, exposure.clone(), upstream);
        }
        let is_new =
            keeps && !is_late && !tracker.record_crash(self.now, &exposure, upstream).is_empty();
        let uncounted = if keeps && !is_late { ends.min(UNCOUNTED_CRASHES) } else { 0 };
        if attempts - uncounted < ATTEMPTS && !is_trial {
            self.add(RETRY_DELAY_S, Event::Send(number));
        } else if body.is_none() {
            self.result.lost += 1;
            self.new_stream(0.0);
        }
        is_new.then(|| self.update(fingerprint.into(), upstream))
    }

    fn update(&self, subject: CrashSubject, upstream: UpstreamKey) -> CrashUpdate {
        let phase = ResponsePhase::Awaited;
        CrashUpdate { subject, upstream, at: self.now, phase, is_cleared: false }
    }

    fn send_updates(&mut self, from: usize, updates: &[CrashUpdate]) {
        if self.setting.policy != Policy::Kept || updates.is_empty() {
            return;
        }
        for entry in (0..self.setting.entries).filter(|entry| *entry != from) {
            let mut after_s = self.setting.update_delay_s;
            let bytes = UPDATE_BYTES * updates.len() as u64;
            self.result.bytes += bytes;
            while self.rng.random_bool(self.setting.lost) {
                after_s += UPDATE_INTERVAL_S;
                self.result.bytes += bytes;
            }
            self.add(after_s, Event::PeerUpdate(entry, updates.to_vec()));
        }
    }
}
