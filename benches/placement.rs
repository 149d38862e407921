//! Placement against baselines, in virtual time: `cargo bench --bench placement`.
//!
//! All policies place the same requests on the same fake engines; they differ in the state that they know.
//! The target for the first token is too long for any refusal, so that all policies serve all requests. The
//! reported figure is the 95th percentile of the time to the first token.

#[path = "support/own_knowledge.rs"]
mod own_knowledge;

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_measure::EngineTimes;
use stallhoist_measure::EventQueue;
use stallhoist_measure::FakeRequest;
use stallhoist_measure::FakeUpstream;
use stallhoist_measure::Report;
use stallhoist_measure::Spread;
use stallhoist_measure::WorkloadShape;
use stallhoist_measure::percentile;
use stallhoist_policy::admission::AdmissionConfig;
use stallhoist_policy::balance::PrefillWork;
use stallhoist_policy::placement::Candidate;
use stallhoist_policy::placement::Choice;
use stallhoist_policy::placement::ProbePlan;
use stallhoist_policy::placement::choose;
use stallhoist_policy::placement::plan_probes;

use crate::own_knowledge::OwnKnowledge;

const SEEDS: [u64; 5] = [11, 22, 33, 44, 55];
const REPORT_LAG: Duration = Duration::from_secs(1);
const ROUND_TRIP: Duration = Duration::from_millis(1);
const PROBES: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Probing,
    /// The gateway's choice from local state, without probes.
    OwnKnowledge,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
    Oracle,
}

const POLICIES: [Policy; 6] = [
    Policy::Oracle,
    Policy::Probing,
    Policy::OwnKnowledge,
    Policy::TwoChoices,
    Policy::LeastInFlight,
    Policy::RoundRobin,
];

#[derive(Debug, Clone)]
struct Scenario {
    name: &'static str,
    engines: usize,
    entries: usize,
    shape: WorkloadShape,
    first_engine_slowdown: f64,
    frozen: Option<(Duration, Duration)>,
    event_lag: Duration,
    lose_event_every: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "",
            engines: 20,
            entries: 3,
            shape: WorkloadShape::default(),
            first_engine_slowdown: 1.0,
            frozen: None,
            event_lag: Duration::from_millis(200),
            lose_event_every: 0,
        }
    }
}

fn scenarios() -> Vec<Scenario> {
    let shape = |rate_per_s| WorkloadShape { rate_per_s, ..WorkloadShape::default() };
    let mixed = WorkloadShape { long_prompt_ratio: 0.2, ..shape(55.0) };
    let shared = WorkloadShape { shared_prefixes: 200, prompt_tokens: 150, ..shape(80.0) };
    vec![
        Scenario { name: "Lakeshore, 20 engines", shape: shape(80.0), ..Scenario::default() },
        Scenario {
            name: "Fjordsegl, 10 engines",
            engines: 10,
            shape: shape(40.0),
            ..Scenario::default()
        },
        Scenario { name: "long and short prompts", shape: mixed.clone(), ..Scenario::default() },
        Scenario { name: "shared prefixes", shape: shared.clone(), ..Scenario::default() },
        Scenario {
            name: "shared prefixes, events late and lost",
            shape: shared,
            event_lag: Duration::from_secs(5),
            lose_event_every: 5,
            ..Scenario::default()
        },
        Scenario {
            name: "one engine three times slower",
            shape: shape(75.0),
            first_engine_slowdown: 3.0,
            ..Scenario::default()
        },
        Scenario {
            name: "one engine frozen for 20 s",
            shape: shape(75.0),
            frozen: Some((Duration::from_secs(50), Duration::from_secs(70))),
            ..Scenario::default()
        },
        Scenario { name: "30 entries", entries: 30, shape: mixed, ..Scenario::default() },
    ]
}

enum Event {
    Arrive(usize),
    StepEnd(usize),
    Report,
    Freeze(bool),
}

/// Result of one run of one policy.
#[derive(Debug, Default)]
struct RunResult {
    p95_s: f64,
    p50_s: f64,
    probes_per_request: f64,
}

struct Run {
    policy: Policy,
    upstreams: Vec<FakeUpstream>,
    hosts: Vec<HostId>,
    reported: Vec<usize>,
    in_flight: Vec<Vec<usize>>,
    round_robin_next: Vec<usize>,
    knowledge: Vec<OwnKnowledge>,
    /// By request: the entry, the upstream, and the expected prefill work.
    sent_by: HashMap<usize, (usize, usize, PrefillWork)>,
    probes: usize,
    rng: StdRng,
}

impl Run {
    fn new(policy: Policy, scenario: &Scenario, seed: u64) -> Self {
        let config = AdmissionConfig {
            first_token_target: Duration::from_secs(600),
            max_queue_len_requests: 100_000,
            ..AdmissionConfig::default()
        };
        let upstream = |number: usize| {
            let slowdown = if number == 0 { scenario.first_engine_slowdown } else { 1.0 };
            let times = EngineTimes { slowdown, ..EngineTimes::default() };
            FakeUpstream::new(times, config.clone())
                .with_cache_events(scenario.event_lag, scenario.lose_event_every)
        };
        let hosts = (0..scenario.engines).map(|n| format!("host-{n}").parse().expect("a name"));
        Self {
            policy,
            upstreams: (0..scenario.engines).map(upstream).collect(),
            hosts: hosts.collect(),
            reported: vec![0; scenario.engines],
            in_flight: vec![vec![0; scenario.engines]; scenario.entries],
            round_robin_next: (0..scenario.entries).collect(),
            knowledge: (0..scenario.entries)
                .map(|entry| OwnKnowledge::new(scenario.engines, seed + entry as u64))
                .collect(),
            sent_by: HashMap::new(),
            probes: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Chooses an upstream. Returns it with the prefill work that the request is expected to cause there.
    fn place(
        &mut self,
        now: MonoTime,
        entry: usize,
        request: &FakeRequest,
    ) -> (usize, PrefillWork) {
        if self.policy == Policy::OwnKnowledge {
            return self.knowledge[entry].send(now, request);
        }
        (self.choose_upstream(now, entry, request), PrefillWork::default())
    }

    fn choose_upstream(&mut self, now: MonoTime, entry: usize, request: &FakeRequest) -> usize {
        match self.policy {
            Policy::Probing => self.probe(now, request),
            Policy::Oracle | Policy::OwnKnowledge => self.oracle_choice(now, request),
            Policy::RoundRobin => {
                self.round_robin_next[entry] += 1;
                self.round_robin_next[entry] % self.upstreams.len()
            }
            Policy::LeastInFlight => {
                let counts = &self.in_flight[entry];
                let least = counts.iter().min().copied().unwrap_or_default();
                let best: Vec<_> = (0..counts.len()).filter(|u| counts[*u] == least).collect();
                best[self.rng.random_range(0..best.len())]
            }
            Policy::TwoChoices => {
                let a = self.rng.random_range(0..self.upstreams.len());
                let b = self.rng.random_range(0..self.upstreams.len());
                if self.reported[a] <= self.reported[b] { a } else { b }
            }
        }
    }

    /// Uses the entry's own choice of hosts and candidates; the upstreams' admission controllers answer the
    /// probes.
    fn probe(&mut self, now: MonoTime, request: &FakeRequest) -> usize {
        let plan = ProbePlan {
            probes: PROBES,
            session_host: None,
            affinity_key: request.blocks.first().copied().unwrap_or(request.arrives.0),
        };
        let probed = plan_probes(&plan, &self.hosts, &mut self.rng);
        self.probes += probed.len();
        let mut candidates = Vec::new();
        for host in &probed {
            let at = self.hosts.iter().position(|h| h == host).unwrap_or_default();
            // A suspended engine does not reply before the timeout.
            if self.upstreams[at].is_frozen {
                continue;
            }
            let load_requests = u32::try_from(self.upstreams[at].load()).unwrap_or(u32::MAX);
            let prediction = self.upstreams[at].predict(now, request, distant_deadline(now));
            candidates.push(Candidate {
                host: host.clone(),
                first_token: prediction.first_token,
                round_trip: ROUND_TRIP,
                load_requests,
                refusal: prediction.refusal,
            });
        }
        match choose(&candidates, &mut self.rng) {
            Choice::Send(host) => self.hosts.iter().position(|h| *h == host).unwrap_or_default(),
            _ => 0,
        }
    }

    /// Chooses from the true state of all upstreams, at no cost.
    fn oracle_choice(&mut self, now: MonoTime, request: &FakeRequest) -> usize {
        let cost = |(at, upstream): (usize, &FakeUpstream)| {
            if upstream.is_frozen {
                return (Duration::MAX, usize::MAX, at);
            }
            (upstream.oracle_first_token_time(now, request), upstream.load(), at)
        };
        let best = self.upstreams.iter().enumerate().map(cost).min();
        best.map_or(0, |(.., at)| at)
    }

    fn run(mut self, scenario: &Scenario, requests: &[FakeRequest]) -> RunResult {
        let mut queue = EventQueue::default();
        for (id, request) in requests.iter().enumerate() {
            queue.add(request.arrives, Event::Arrive(id));
        }
        queue.add(MonoTime::default(), Event::Report);
        if let Some((from, until)) = scenario.frozen {
            queue.add(MonoTime::default().after(from), Event::Freeze(true));
            queue.add(MonoTime::default().after(until), Event::Freeze(false));
        }
        let end = MonoTime::default().after(scenario.shape.duration * 3);
        let mut first_tokens = vec![None; requests.len()];
        while let Some((now, event)) = queue.pop() {
            match event {
                Event::Arrive(id) => {
                    let entry = id % scenario.entries;
                    let (at, work) = self.place(now, entry, &requests[id]);
                    self.in_flight[entry][at] += 1;
                    self.sent_by.insert(id, (entry, at, work));
                    self.upstreams[at].offer(now, id, &requests[id], distant_deadline(now));
                    self.begin(&mut queue, now, at);
                }
                Event::StepEnd(at) => {
                    let step = self.upstreams[at].end_step(now);
                    for id in step.first_tokens {
                        self.record_first_token(id);
                        first_tokens[id] = Some(now.since(requests[id].arrives).as_secs_f64());
                    }
                    for id in step.finished {
                        self.record_end(id);
                    }
                    self.begin(&mut queue, now, at);
                }
                Event::Report => {
                    self.reported = self.upstreams.iter().map(FakeUpstream::load).collect();
                    if now < end {
                        queue.add(now.after(REPORT_LAG), Event::Report);
                    }
                }
                Event::Freeze(is_frozen) => {
                    self.upstreams[0].is_frozen = is_frozen;
                    self.begin(&mut queue, now, 0);
                }
            }
        }
        let lost = scenario.shape.duration.as_secs_f64();
        let mut times: Vec<f64> = first_tokens.into_iter().map(|t| t.unwrap_or(lost)).collect();
        RunResult {
            p95_s: percentile(&mut times, 0.95),
            p50_s: percentile(&mut times, 0.50),
            probes_per_request: self.probes as f64 / requests.len() as f64,
        }
    }

    fn record_first_token(&mut self, id: usize) {
        if let Some((entry, at, work)) = self.sent_by.get(&id).copied() {
            self.knowledge[entry].first_token(at, work);
        }
    }

    fn record_end(&mut self, id: usize) {
        if let Some((entry, at, _)) = self.sent_by.remove(&id) {
            self.in_flight[entry][at] -= 1;
            self.knowledge[entry].request_finished(at);
        }
    }

    fn begin(&mut self, queue: &mut EventQueue<Event>, now: MonoTime, at: usize) {
        if let Some(ends) = self.upstreams[at].begin_step(now) {
            queue.add(ends, Event::StepEnd(at));
        }
    }
}

fn distant_deadline(now: MonoTime) -> MonoTime {
    now.after(Duration::from_secs(3_600))
}

fn main() {
    let headings =
        ["workload", "policy", "p50 s", "p95 s", "p95 / oracle", "p95 / round robin", "probes"];
    let mut report = Report::new("placement", &headings);
    for scenario in scenarios() {
        let mut by_policy: HashMap<usize, Vec<RunResult>> = HashMap::new();
        for seed in SEEDS {
            let requests = scenario.shape.generate(&mut StdRng::seed_from_u64(seed));
            for (number, policy) in POLICIES.into_iter().enumerate() {
                let results = Run::new(policy, &scenario, seed).run(&scenario, &requests);
                by_policy.entry(number).or_default().push(results);
            }
        }
        let oracle = 0;
        let round_robin = POLICIES.len() - 1;
        for (number, policy) in POLICIES.into_iter().enumerate() {
            let results = &by_policy[&number];
            let against = |other: usize| {
                let ratios: Vec<f64> = results
                    .iter()
                    .zip(&by_policy[&other])
                    .map(|(f, o)| f.p95_s / o.p95_s)
                    .collect();
                Spread::of(&ratios).to_string()
            };
            let p50: Vec<f64> = results.iter().map(|f| f.p50_s).collect();
            let p95: Vec<f64> = results.iter().map(|f| f.p95_s).collect();
            let probes: Vec<f64> = results.iter().map(|f| f.probes_per_request).collect();
            report.row([
                scenario.name.to_owned(),
                format!("{policy:?}"),
                Spread::of(&p50).to_string(),
                Spread::of(&p95).to_string(),
                against(oracle),
                against(round_robin),
                format!("{:.1}", Spread::of(&probes).median),
            ]);
        }
    }
    report.finish();
}
