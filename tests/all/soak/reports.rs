//! Upstreams that report in response headers that they leave, request a back-off or have a limit.

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

/// The header in which an upstream names itself.
pub(super) const UPSTREAM: &str = "x-upstream";

const SERVER_LEAVING: &str = "server-leaving";
const SERVER_LIMIT: &str = "server-limit";
const RETRY_AFTER: &str = "retry-after";

/// After this time no request that a caller sends may reach an upstream whose response said that it
/// leaves. It is the platform's limit with a second of tolerance for a busy machine.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The window over which a limit is checked, with its overage and slack. A limit is checked from
/// `LIMIT_ACTIVE_AFTER` after its first report and `REPORT_SLACK` after the gateway received it.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const LIMIT_ACTIVE_AFTER: Duration = Duration::from_secs(3);
const REPORT_SLACK: Duration = Duration::from_millis(500);

/// The back-off that is requested, and the requests that may arrive in it after its first half
/// second.
const REQUESTED_BACK_OFF: Duration = Duration::from_secs(2);
const MAX_SENT_IN_BACK_OFF: usize = 2;

/// A back-off is shorter than the other reports by this factor, as the service serves nothing
/// meanwhile.
const BACK_OFF_DIVISOR: u32 = 2;

/// The number of requests that an upstream rejects while it requests a back-off.
const REJECTED_REQUESTS: usize = 40;

/// What an upstream reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Report {
    /// It leaves. Its row is removed only at the end.
    Leaving,
    /// It and all others of its service reject requests and request a back-off.
    BackOff,
    /// It accepts this many requests in ten seconds.
    Limit(u32),
}

/// What an upstream has reported, and when.
#[derive(Debug, Default)]
pub(super) struct ReportHistory {
    leaving: bool,
    /// When it requested a back-off, until the end of the last one.
    back_offs: Vec<Period>,
    limits: Vec<(Period, f64)>,
}

impl ReportHistory {
    /// Whether a report is active now. Reports apply to the upstream's current incarnation.
    pub(super) fn is_reporting(&self) -> bool {
        let now = Instant::now();
        let limited = self.limits.iter().map(|(period, _)| period);
        self.leaving || limited.chain(&self.back_offs).any(|period| period.overlaps(now, now))
    }
}

impl Fleet {
    /// Begins a report of an upstream about itself.
    pub(super) async fn begin_report(
        &mut self,
        upstream: usize,
        report: Report,
        duration: Duration,
    ) {
        match report {
            Report::Leaving => self.report_leaving(upstream, duration).await,
            Report::BackOff => self.request_back_off(upstream, duration / BACK_OFF_DIVISOR),
            Report::Limit(per_ten_s) => {
                self.report_limit(upstream, f64::from(per_ten_s) / 10.0, duration)
            }
        }
    }

    /// Makes an upstream report that it leaves, after a replacement has started. It stays listed
    /// until it has left.
    async fn report_leaving(&mut self, number: usize, duration: Duration) {
        if !self.replace(number).await {
            return;
        }
        let mut upstreams = self.upstreams.lock();
        upstreams[number].reports.leaving = true;
        upstreams[number].standin.set_response_header(SERVER_LEAVING, "1");
        drop(upstreams);
        let (upstreams, store) = (Arc::clone(&self.upstreams), Arc::clone(&self.store));
        self.recover_after(duration, async move {
            let mut upstreams = upstreams.lock();
            upstreams[number].left = Some(Instant::now());
            store.remove("servers", upstreams[number].standin.instance());
        });
    }

    /// Makes all upstreams of a service request a back-off. While others serve, gateways avoid one
    /// that rejects requests even without a back-off.
    fn request_back_off(&mut self, number: usize, duration: Duration) {
        self.upstream_faults.push(Period::from_now(duration));
        let back_off_s = REQUESTED_BACK_OFF.as_secs_f64().to_string();
        let (mut backing_off, mut upstreams) = (Vec::new(), self.upstreams.lock());
        let service = upstreams[number].service;
        for (number, upstream) in upstreams.iter_mut().enumerate() {
            if upstream.service == service {
                upstream.reports.back_offs.push(Period::from_now(duration + REQUESTED_BACK_OFF));
                upstream.standin.set_response_header(RETRY_AFTER, &back_off_s);
                upstream.standin.then(vec![Behaviour::NotExecuted; REJECTED_REQUESTS]);
                backing_off.push(number);
            }
        }
        drop(upstreams);
        let upstreams = Arc::clone(&self.upstreams);
        self.recover_after(duration, async move {
            let upstreams = upstreams.lock();
            for number in backing_off {
                upstreams[number].standin.clear_queued_behaviours();
                upstreams[number].standin.remove_response_header(RETRY_AFTER);
            }
        });
    }

    fn report_limit(&mut self, number: usize, per_s: f64, duration: Duration) {
        let mut upstreams = self.upstreams.lock();
        if upstreams[number].reports.is_reporting() {
            return;
        }
        upstreams[number].reports.limits.push((Period::from_now(duration), per_s));
        upstreams[number].standin.set_response_header(SERVER_LIMIT, &per_s.to_string());
        drop(upstreams);
        let upstreams = Arc::clone(&self.upstreams);
        self.recover_after(duration, async move {
            upstreams.lock()[number].standin.remove_response_header(SERVER_LIMIT);
        });
    }
}

/// A process of a gateway: the gateway's number and the process's generation.
type Sender = (usize, u64);

/// The requests of a run, by ID and in order.
struct Observations<'a> {
    fleet: &'a Fleet,
    by_id: HashMap<&'a str, &'a RequestRecord>,
    requests: &'a [RequestRecord],
}

/// Checks the limits of the three kinds of report against what callers and upstreams recorded.
pub(super) fn check(fleet: &Fleet, requests: &[RequestRecord], violations: &Violations) {
    let by_id = requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let seen = Observations { fleet, by_id, requests };
    for (number, upstream) in fleet.upstreams.lock().iter().enumerate() {
        let instance = upstream.standin.instance();
        let arrivals = upstream.standin.arrivals();
        let late = seen.count_sent_after_leaving(instance, &arrivals);
        if late > 0 {
            violations.add(format!("{instance} reported that it leaves and got {late} requests"));
        }
        let sent_in_back_off = seen.max_in_back_off(number, &arrivals);
        if sent_in_back_off > MAX_SENT_IN_BACK_OFF {
            violations.add(format!(
                "{instance} requested a back-off and got {sent_in_back_off} requests"
            ));
        }
        for (period, per_s) in &upstream.reports.limits {
            let most = seen.max_in_window(instance, &arrivals, *period);
            if most as f64 > OVERAGE * per_s * WINDOW.as_secs_f64() + SLACK {
                violations.add(format!(
                    "{instance} accepts {per_s} requests a second and got {most} in 4 s"
                ));
            }
        }
    }
}

impl Observations<'_> {
    /// The process that sent a request, if it has been healthy for `healthy_for`.
    fn sender(&self, arrival: &Arrival, healthy_for: Duration) -> Option<Sender> {
        let request = self.by_id.get(arrival.header("request-id"))?;
        let gateway = &self.fleet.gateways[request.gateway];
        let from = arrival.at.checked_sub(healthy_for)?;
        let is_healthy = !gateway.was_faulty(from, arrival.at);
        is_healthy.then_some((request.gateway, request.generation))
    }

    /// When each process first forwarded a response of the upstream with the given header.
    fn first_reports(
        &self,
        instance: &str,
        header_name: &str,
        from: Instant,
    ) -> HashMap<Sender, Instant> {
        let mut first_reports: HashMap<Sender, Instant> = HashMap::new();
        for request in self.requests.iter().filter(|request| request.ended >= from) {
            let Some(answer) = &request.answer else {
                continue;
            };
            if answer.header(UPSTREAM) == instance && answer.headers.contains_key(header_name) {
                let sender = (request.gateway, request.generation);
                let first = first_reports.entry(sender).or_insert(request.ended);
                *first = request.ended.min(*first);
            }
        }
        first_reports
    }

    /// The number of requests that reached an upstream although their senders knew that it leaves.
    fn count_sent_after_leaving(&self, instance: &str, arrivals: &[Arrival]) -> usize {
        let Some(first) = arrivals.first() else {
            return 0;
        };
        let first_reports = self.first_reports(instance, SERVER_LEAVING, first.at);
        let is_late = |arrival: &&Arrival| {
            let sender = self.sender(arrival, LEAVING_GRACE);
            let first_report = sender.and_then(|sender| first_reports.get(&sender));
            let sent = self.by_id.get(arrival.header("request-id")).map(|request| request.sent);
            first_report
                .zip(sent)
                .is_some_and(|(first_report, sent)| sent > *first_report + LEAVING_GRACE)
        };
        arrivals.iter().filter(is_late).count()
    }

    /// The most requests of one process during a back-off that an upstream requested from it. A
    /// rejection that is delayed or cut on its way doesn't count: while one was delayed for 1.6 s,
    /// eight requests arrived.
    fn max_in_back_off(&self, number: usize, arrivals: &[Arrival]) -> usize {
        let count_in_back_off = |refused: &Arrival| {
            let sender = self.sender(refused, Duration::ZERO);
            let back_off = refused.at + REPORT_SLACK..refused.at + REQUESTED_BACK_OFF;
            let counts = |arrival: &&Arrival| {
                back_off.contains(&arrival.at)
                    && sender.is_some()
                    && sender == self.sender(arrival, REQUESTED_BACK_OFF)
            };
            arrivals.iter().filter(counts).count()
        };
        let is_delivered = |refused: &&Arrival| {
            let mut faults = self.fleet.upstream_link_faults.iter();
            let until = refused.at + REPORT_SLACK;
            !faults.any(|(of, fault)| *of == number && fault.overlaps(refused.at, until))
        };
        let refused = arrivals.iter().filter(|arrival| arrival.asked_for_rest);
        refused.filter(is_delivered).map(count_in_back_off).max().unwrap_or(0)
    }

    /// The most requests in a window of a limit, from processes that had received the report.
    fn max_in_window(&self, instance: &str, arrivals: &[Arrival], reported: Period) -> usize {
        let first_reports = self.first_reports(instance, SERVER_LIMIT, reported.from);
        let counts = |arrival: &&Arrival| {
            let sender = self.sender(arrival, LIMIT_ACTIVE_AFTER);
            let first_report = sender.and_then(|sender| first_reports.get(&sender));
            arrival.at < reported.to
                && first_report
                    .is_some_and(|first_report| arrival.at >= *first_report + REPORT_SLACK)
        };
        let times: Vec<Instant> =
            arrivals.iter().filter(counts).map(|arrival| arrival.at).collect();
        let while_active = times.iter().filter(|at| **at >= reported.from + LIMIT_ACTIVE_AFTER);
        let within = |last: &Instant| {
            times.iter().filter(|at| **at <= *last && **at + WINDOW >= *last).count()
        };
        while_active.map(within).max().unwrap_or(0)
    }
}
