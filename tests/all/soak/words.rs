//! Upstreams that say in their answers that they leave, want rest or take only so much.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stallhoist_standins::users_platform::Arrival;
use stallhoist_standins::users_platform::Behaviour;

use super::caller::RequestRecord;
use super::fleet::Fleet;
use super::period::Period;
use super::violations::Violations;

/// The upstream of an answer, as it says itself.
pub(super) const UPSTREAM: &str = "x-upstream";

const SERVER_LEAVING: &str = "server-leaving";
const SERVER_LIMIT: &str = "server-limit";
const RETRY_AFTER: &str = "retry-after";

/// What the platform allows: requests that callers sent until then after the answer that said so; a
/// second more is for a busy machine.
const LEAVING_TIME: Duration = Duration::from_secs(3);

/// What is sent in a window of a limit, in how long after it was first named and after the entry
/// was told.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
const TOLD_BEFORE: Duration = Duration::from_millis(500);

/// The rest that is asked for, and what may come in it from half a second on.
const REST: Duration = Duration::from_secs(2);
const IN_A_REST: usize = 2;

/// Nothing is served meanwhile, so it lasts a part of the time of the others.
const RESTS_SHORTER: u32 = 2;

/// An upstream turns so many requests away while it asks for rest.
const REFUSED: usize = 40;

/// What an upstream says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Word {
    /// It leaves; its row says so only at the end.
    Leaving,
    /// It and all others of its service refuse requests and want rest.
    Rest,
    /// It takes so many requests in ten seconds.
    Limit(u32),
}

/// What an upstream has said, and when.
#[derive(Debug, Default)]
pub(super) struct Said {
    leaving: bool,
    /// When it wanted rest, until the last rest is over.
    rests: Vec<Period>,
    limits: Vec<(Period, f64)>,
}

impl Said {
    /// Whether it says something now that belongs to its present start.
    pub(super) fn is_bound(&self) -> bool {
        let now = Instant::now();
        let limited = self.limits.iter().map(|(period, _)| period);
        self.leaving || limited.chain(&self.rests).any(|period| period.overlaps(now, now))
    }
}

impl Fleet {
    /// An upstream begins to say something of itself.
    pub(super) async fn say(&mut self, upstream: usize, word: Word, lasts: Duration) {
        match word {
            Word::Leaving => self.say_leaving(upstream, lasts).await,
            Word::Rest => self.ask_for_rest(upstream, lasts / RESTS_SHORTER),
            Word::Limit(in_ten_s) => self.name_limit(upstream, f64::from(in_ten_s) / 10.0, lasts),
        }
    }

    /// It leaves for good, and another one of its service comes first. By the list it is there until
    /// it has gone.
    async fn say_leaving(&mut self, number: usize, lasts: Duration) {
        if !self.replace(number).await {
            return;
        }
        let mut upstreams = self.upstreams.lock();
        upstreams[number].said.leaving = true;
        upstreams[number].standin.set_response_header(SERVER_LEAVING, "1");
        drop(upstreams);
        let (upstreams, store) = (Arc::clone(&self.upstreams), Arc::clone(&self.store));
        self.recover_after(lasts, async move {
            let mut upstreams = upstreams.lock();
            upstreams[number].left = Some(Instant::now());
            store.remove("servers", upstreams[number].standin.instance());
        });
    }

    /// All upstreams of a service do so: where others serve, one that refuses is left alone anyway.
    fn ask_for_rest(&mut self, number: usize, lasts: Duration) {
        self.upstream_faults.push(Period::from_now(lasts));
        let rest = REST.as_secs_f64().to_string();
        let (mut resting, mut upstreams) = (Vec::new(), self.upstreams.lock());
        let service = upstreams[number].service;
        for (number, upstream) in upstreams.iter_mut().enumerate() {
            if upstream.service == service {
                upstream.said.rests.push(Period::from_now(lasts + REST));
                upstream.standin.set_response_header(RETRY_AFTER, &rest);
                upstream.standin.then(vec![Behaviour::NotExecuted; REFUSED]);
                resting.push(number);
            }
        }
        drop(upstreams);
        let upstreams = Arc::clone(&self.upstreams);
        self.recover_after(lasts, async move {
            let upstreams = upstreams.lock();
            for number in resting {
                upstreams[number].standin.clear_queued_behaviours();
                upstreams[number].standin.remove_response_header(RETRY_AFTER);
            }
        });
    }

    fn name_limit(&mut self, number: usize, per_s: f64, lasts: Duration) {
        let mut upstreams = self.upstreams.lock();
        if upstreams[number].said.is_bound() {
            return;
        }
        upstreams[number].said.limits.push((Period::from_now(lasts), per_s));
        upstreams[number].standin.set_response_header(SERVER_LIMIT, &per_s.to_string());
        drop(upstreams);
        let upstreams = Arc::clone(&self.upstreams);
        self.recover_after(lasts, async move {
            upstreams.lock()[number].standin.remove_response_header(SERVER_LIMIT);
        });
    }
}

/// A process of a gateway: its number, and which one it is.
type Sender = (usize, u64);

/// What is known of the requests that reached an upstream.
struct Seen<'a> {
    fleet: &'a Fleet,
    by_id: HashMap<&'a str, &'a RequestRecord>,
    requests: &'a [RequestRecord],
}

/// Checks the three bounds from what callers and upstreams have seen.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    let by_id = requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let seen = Seen { fleet, by_id, requests };
    for (number, upstream) in fleet.upstreams.lock().iter().enumerate() {
        let instance = upstream.standin.instance();
        let arrivals = upstream.standin.arrivals();
        let late = seen.too_late(instance, &arrivals);
        if late > 0 {
            violations.add(format!("{instance} has said that it leaves, and got {late} requests"));
        }
        let in_a_rest = seen.most_in_a_rest(number, &arrivals);
        if in_a_rest > IN_A_REST {
            violations.add(format!("{instance} has asked for rest, and got {in_a_rest} requests"));
        }
        for (period, per_s) in &upstream.said.limits {
            let most = seen.most_in_window(instance, &arrivals, *period);
            if most as f64 > OVERAGE * per_s * WINDOW.as_secs_f64() + SLACK {
                violations.add(format!("{instance} takes {per_s} a second, and got {most} in 4 s"));
            }
        }
    }
}

impl Seen<'_> {
    /// The process that sent a request, if it has been well for so long.
    fn sender(&self, arrival: &Arrival, well_for: Duration) -> Option<Sender> {
        let request = self.by_id.get(arrival.header("request-id"))?;
        let gateway = &self.fleet.gateways[request.gateway];
        let from = arrival.at.checked_sub(well_for)?;
        let is_well = !gateway.was_faulty(from, arrival.at);
        is_well.then_some((request.gateway, request.generation))
    }

    /// When each process had first passed on an answer of an upstream that says something.
    fn told(&self, instance: &str, word: &str, from: Instant) -> HashMap<Sender, Instant> {
        let mut told: HashMap<Sender, Instant> = HashMap::new();
        for request in self.requests.iter().filter(|request| request.ended >= from) {
            let Some(answer) = &request.answer else {
                continue;
            };
            if answer.header(UPSTREAM) == instance && answer.headers.contains_key(word) {
                let sender = (request.gateway, request.generation);
                let first = told.entry(sender).or_insert(request.ended);
                *first = request.ended.min(*first);
            }
        }
        told
    }

    /// How many requests reached an upstream that their senders knew to be leaving.
    fn too_late(&self, instance: &str, arrivals: &[Arrival]) -> usize {
        let Some(first) = arrivals.first() else {
            return 0;
        };
        let told = self.told(instance, SERVER_LEAVING, first.at);
        let is_late = |arrival: &&Arrival| {
            let sender = self.sender(arrival, LEAVING_TIME);
            let told = sender.and_then(|sender| told.get(&sender));
            let sent = self.by_id.get(arrival.header("request-id")).map(|request| request.sent);
            told.zip(sent).is_some_and(|(told, sent)| sent > *told + LEAVING_TIME)
        };
        arrivals.iter().filter(is_late).count()
    }

    /// The most requests of one process in a rest that an upstream has asked it for. A refusal that is held
    /// up on its way, or cut, is not heard: one was for 1.6 s, and eight requests came meanwhile.
    fn most_in_a_rest(&self, number: usize, arrivals: &[Arrival]) -> usize {
        let in_rest = |refused: &Arrival| {
            let sender = self.sender(refused, Duration::ZERO);
            let rest = refused.at + TOLD_BEFORE..refused.at + REST;
            let counts = |arrival: &&Arrival| {
                rest.contains(&arrival.at)
                    && sender.is_some()
                    && sender == self.sender(arrival, REST)
            };
            arrivals.iter().filter(counts).count()
        };
        let is_heard = |refused: &&Arrival| {
            let mut faults = self.fleet.upstream_link_faults.iter();
            let until = refused.at + TOLD_BEFORE;
            !faults.any(|(of, fault)| *of == number && fault.overlaps(refused.at, until))
        };
        let refused = arrivals.iter().filter(|arrival| arrival.asked_for_rest);
        refused.filter(is_heard).map(in_rest).max().unwrap_or(0)
    }

    /// The most requests in a window of a limit, from processes that had been told.
    fn most_in_window(&self, instance: &str, arrivals: &[Arrival], named: Period) -> usize {
        let told = self.told(instance, SERVER_LIMIT, named.from);
        let counts = |arrival: &&Arrival| {
            let sender = self.sender(arrival, IN_FORCE_AFTER);
            let told = sender.and_then(|sender| told.get(&sender));
            arrival.at < named.to && told.is_some_and(|told| arrival.at >= *told + TOLD_BEFORE)
        };
        let times: Vec<Instant> =
            arrivals.iter().filter(counts).map(|arrival| arrival.at).collect();
        let in_force = times.iter().filter(|at| **at >= named.from + IN_FORCE_AFTER);
        let within = |last: &Instant| {
            times.iter().filter(|at| **at <= *last && **at + WINDOW >= *last).count()
        };
        in_force.map(within).max().unwrap_or(0)
    }
}
