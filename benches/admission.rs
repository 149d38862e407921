//! Admission at one upstream under overload, in virtual time:
//! `cargo bench --bench admission`.
//!
//! Capacity is the rate of completed requests while requests are always queued and the concurrency is
//! limited by the target for the token interval. Goodput is the rate of requests that complete in time:
//! the first token within 1.8 s and the complete response by its deadline. A refused request is retried
//! once, after the `retry_after` of its refusal.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::MonoTime;
use stallhoist_measure::EngineTimes;
use stallhoist_measure::EventQueue;
use stallhoist_measure::FakeRequest;
use stallhoist_measure::FakeUpstream;
use stallhoist_measure::Report;
use stallhoist_measure::Spread;
use stallhoist_measure::StepResult;
use stallhoist_measure::WorkloadShape;
use stallhoist_measure::percentile;
use stallhoist_policy::admission::AdmissionConfig;
use stallhoist_policy::admission::AdmissionDecision;
use stallhoist_policy::admission::QueueOrder;

const SEEDS: [u64; 5] = [11, 22, 33, 44, 55];
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_800);
const TOKEN_INTERVAL_TARGET: Duration = Duration::from_millis(43);
/// Requests that arrive in this time are not counted, as the controller still learns the engine's speed.
const WARM_UP: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The sidecar's admission control.
    Admission(QueueOrder),
    /// Queues every request, in order of arrival.
    Unbounded,
}

const POLICIES: [Policy; 4] = [
    Policy::Admission(QueueOrder::EarliestDeadline),
    Policy::Admission(QueueOrder::Fifo),
    Policy::Admission(QueueOrder::UtilityDensity),
    Policy::Unbounded,
];

impl Policy {
    fn config(self) -> AdmissionConfig {
        match self {
            Self::Admission(order) => AdmissionConfig { order, ..AdmissionConfig::default() },
            Self::Unbounded => AdmissionConfig {
                first_token_target: Duration::from_secs(1_000_000),
                max_queue_len_requests: usize::MAX,
                order: QueueOrder::Fifo,
                ..AdmissionConfig::default()
            },
        }
    }

    fn is_bounded(self) -> bool {
        matches!(self, Self::Admission(_))
    }
}

enum Event {
    Arrive(usize),
    StepEnd,
    /// The admission controller has to reconsider its queue.
    PumpDue,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, Default)]
struct RequestOutcome {
    offered: Option<MonoTime>,
    first_token: Option<MonoTime>,
    finished: Option<MonoTime>,
    is_admitted: bool,
    is_refused_after_queueing: bool,
    retries: u32,
    is_admitted_on_retry: bool,
}

#[derive(Debug, Default)]
struct RunResult {
    goodput: f64,
    late_ratio: f64,
    interval_p95_s: f64,
    refused_at_once: f64,
    admitted_retries: f64,
}

struct Run {
    policy: Policy,
    upstream: FakeUpstream,
    queue: EventQueue<Event>,
    outcomes: Vec<RequestOutcome>,
    deadlines: Vec<Duration>,
    intervals: Vec<f64>,
}

impl Run {
    fn new(policy: Policy, requests: &[FakeRequest], seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed + 1);
        // Time for the response at the target token interval, plus some slack.
        let deadline = |request: &FakeRequest| {
            let slack = Duration::from_millis(rng.random_range(500..3_000));
            slack + TOKEN_INTERVAL_TARGET.mul_f64(request.completion_tokens as f64)
        };
        Self {
            policy,
            upstream: FakeUpstream::new(EngineTimes::default(), policy.config()),
            queue: EventQueue::default(),
            outcomes: vec![RequestOutcome::default(); requests.len()],
            deadlines: requests.iter().map(deadline).collect(),
            intervals: Vec::new(),
        }
    }

    fn run(mut self, requests: &[FakeRequest], capacity: f64, duration: Duration) -> RunResult {
        for (id, request) in requests.iter().enumerate() {
            self.queue.add(request.arrives, Event::Arrive(id));
        }
        let end = MonoTime::default().after(duration);
        while let Some((now, event)) = self.queue.pop() {
            match event {
                Event::Arrive(id) => self.arrive(now, id, &requests[id]),
                Event::StepEnd => {
                    let step = self.upstream.end_step(now);
                    if now.since(MonoTime::default()) > WARM_UP {
                        let took = step.took.as_secs_f64();
                        self.intervals.extend(std::iter::repeat_n(took, step.batch));
                    }
                    self.apply_step(now, step);
                }
                Event::PumpDue => {
                    let mut step = StepResult::default();
                    self.upstream.pump(now, &mut step);
                    self.apply_step(now, step);
                }
            }
            if let Some(ends) = self.upstream.begin_step(now) {
                self.queue.add(ends, Event::StepEnd);
            }
        }
        self.result(capacity, end)
    }

    fn arrive(&mut self, now: MonoTime, id: usize, request: &FakeRequest) {
        let is_retry = self.outcomes[id].retries > 0;
        // The unbounded baseline has no deadlines either.
        let is_bounded = self.policy.is_bounded();
        let deadline = if is_bounded { self.deadlines[id] } else { Duration::from_secs(1_000_000) };
        let deadline = now.after(deadline);
        self.outcomes[id].offered = Some(now);
        match self.upstream.offer(now, id, request, deadline) {
            AdmissionDecision::Start | AdmissionDecision::Queued => {
                self.outcomes[id].is_admitted = true;
                self.outcomes[id].is_admitted_on_retry = is_retry;
                if let Some(due) = self.upstream.admission.next_due() {
                    self.queue.add(due, Event::PumpDue);
                }
            }
            AdmissionDecision::Refused { retry_after, .. } => self.refused(now, id, retry_after),
        }
    }

    fn refused(&mut self, now: MonoTime, id: usize, retry_after: Duration) {
        self.outcomes[id].is_admitted = false;
        self.outcomes[id].is_admitted_on_retry = false;
        if self.outcomes[id].retries == 0 {
            self.outcomes[id].retries = 1;
            self.queue.add(now.after(retry_after), Event::Arrive(id));
        } else {
            self.outcomes[id].retries = 2;
        }
    }

    fn apply_step(&mut self, now: MonoTime, step: StepResult) {
        for id in step.first_tokens {
            self.outcomes[id].first_token = Some(now);
        }
        for id in step.finished {
            self.outcomes[id].finished = Some(now);
        }
        for (id, retry_after) in step.refused {
            self.outcomes[id].is_refused_after_queueing = true;
            self.refused(now, id, retry_after);
        }
    }

    fn result(mut self, capacity: f64, end: MonoTime) -> RunResult {
        let warm = MonoTime::default().after(WARM_UP);
        let counted_s = end.since(warm).as_secs_f64();
        let mut result = RunResult::default();
        let (mut on_time, mut admitted, mut late) = (0.0, 0.0, 0.0);
        let (mut refused, mut refused_late, mut returned, mut retries_admitted) =
            (0.0, 0.0, 0.0, 0.0);
        for (id, fate) in self.outcomes.iter().enumerate() {
            let Some(offered) = fate.offered.filter(|at| *at > warm && *at < end) else {
                continue;
            };
            if fate.retries > 0 {
                refused += 1.0;
                returned += 1.0;
                retries_admitted += f64::from(fate.is_admitted_on_retry);
                refused_late += f64::from(fate.is_refused_after_queueing);
            }
            if !fate.is_admitted {
                continue;
            }
            admitted += 1.0;
            let in_time = |at: Option<MonoTime>, within: Duration| {
                at.is_some_and(|at| at.since(offered) <= within)
            };
            let is_on_time = in_time(fate.first_token, FIRST_TOKEN_TARGET)
                && in_time(fate.finished, self.deadlines[id]);
            on_time += f64::from(is_on_time);
            late += f64::from(!is_on_time);
        }
        result.goodput = on_time / counted_s / capacity;
        result.late_ratio = late / f64::max(admitted, 1.0);
        result.interval_p95_s = percentile(&mut self.intervals, 0.95);
        result.refused_at_once = 1.0 - refused_late / f64::max(refused, 1.0);
        result.admitted_retries = retries_admitted / f64::max(returned, 1.0);
        if !self.policy.is_bounded() {
            result.admitted_retries = f64::NAN;
        }
        result
    }
}

fn shape(rate_per_s: f64) -> WorkloadShape {
    WorkloadShape { rate_per_s, duration: Duration::from_secs(180), ..WorkloadShape::default() }
}

/// Requests per second that the engine completes while requests are always queued.
fn capacity(seed: u64) -> f64 {
    let shape = shape(40.0);
    let requests = shape.generate(&mut StdRng::seed_from_u64(seed));
    let mut run = Run::new(Policy::Unbounded, &requests, seed);
    for (id, request) in requests.iter().enumerate() {
        run.queue.add(request.arrives, Event::Arrive(id));
    }
    let mut finished = 0.0;
    let end = MonoTime::default().after(shape.duration);
    while let Some((now, event)) = run.queue.pop() {
        if now > end {
            break;
        }
        match event {
            Event::Arrive(id) => run.arrive(now, id, &requests[id]),
            Event::StepEnd => {
                let step = run.upstream.end_step(now);
                if now.since(MonoTime::default()) > WARM_UP {
                    finished += step.finished.len() as f64;
                }
            }
            Event::PumpDue => {}
        }
        if let Some(ends) = run.upstream.begin_step(now) {
            run.queue.add(ends, Event::StepEnd);
        }
    }
    finished / (shape.duration - WARM_UP).as_secs_f64()
}

fn main() {
    let headings = [
        "load / capacity",
        "policy",
        "goodput / capacity",
        "late of admitted",
        "token interval p95 / 43 ms",
        "refused at once",
        "admitted on return",
    ];
    let mut report = Report::new("admission", &headings);
    let capacities: HashMap<u64, f64> = SEEDS.iter().map(|seed| (*seed, capacity(*seed))).collect();
    for load in [0.7, 1.0, 2.0, 4.0] {
        for policy in POLICIES {
            let results: Vec<RunResult> = SEEDS
                .iter()
                .map(|seed| {
                    let shape = shape(capacities[seed] * load);
                    let requests = shape.generate(&mut StdRng::seed_from_u64(*seed));
                    Run::new(policy, &requests, *seed).run(
                        &requests,
                        capacities[seed],
                        shape.duration,
                    )
                })
                .collect();
            let spread = |figure: fn(&RunResult) -> f64| {
                let values: Vec<f64> = results.iter().map(figure).collect();
                Spread::of(&values).to_string()
            };
            report.row([
                format!("{load}"),
                format!("{policy:?}"),
                spread(|f| f.goodput),
                spread(|f| f.late_ratio),
                spread(|f| f.interval_p95_s / TOKEN_INTERVAL_TARGET.as_secs_f64()),
                spread(|f| f.refused_at_once),
                spread(|f| f.admitted_retries),
            ]);
        }
    }
    report.finish();
    println!("\ncapacity, requests a second: {:?}", SEEDS.map(|seed| capacities[&seed]));
}
