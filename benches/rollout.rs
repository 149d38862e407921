//! Detection of bad versions during a rollout, in virtual time: `cargo bench --bench rollout`.
//!
//! Engines batch all their requests, so their token interval grows with the load. The new version gets 3 of
//! 100 requests, so its engines are less loaded than the old version's. Gateways observe their own responses
//! and exchange counts twice a second. The evidence is the gateway's own `policy::rollout`. A second series
//! hides the load from it, to show the errors of a comparison at different loads. A third one plays whole rollouts of
//! services with few requests.

#[path = "../tests/all/decisions/rollout_model.rs"]
mod rollout_model;

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_measure::Report;
use stallhoist_measure::percentile;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutEvidence;

use rollout_model::End;
use rollout_model::NewVersion;
use rollout_model::Service;
use rollout_model::play;

const BAD_ROLLOUTS: u64 = 60;
const GOOD_ROLLOUTS: u64 = 1_000;
const FEW_REQUESTS_ROLLOUTS: u64 = 200;
/// Number of engines of each version.
const ENGINES: usize = 9;
/// Streams per second of the whole service, and the factor on them in a burst.
const STREAMS_PER_S: f64 = 60.0;
const BURST_FACTOR: f64 = 2.5;
/// Duration of the normal load before the rollout, and of the observation of the new version.
const CALM_S: f64 = 10.0;
const OBSERVATION_S: f64 = 21.0;
const NEW_SHARE: f64 = 0.03;
const CHUNKS_PER_STREAM: f64 = 50.0;
/// Token interval of an idle engine, and the increase for each request in progress. As at real engines, this
/// gives 30 ms with 10 requests in progress, and 120 ms with 100 in a burst.
const IDLE_TOKEN_INTERVAL_MS: f64 = 20.0;
const INTERVAL_MS_PER_REQUEST: f64 = 1.0;
const UPDATE_INTERVAL_S: f64 = 0.5;
const TOKEN_INTERVAL: RequestKind =
    RequestKind { route: None, model: None, part: LatencyKind::Pause };

/// Parameters of a rollout.
#[derive(Debug, Clone, Copy)]
struct Setting {
    /// Factor on the token interval of the new version's slow responses, and the fraction of its responses
    /// that are slow.
    slowdown: f64,
    part: f64,
    /// Fraction of the new version's responses that fail.
    failures: f64,
    is_burst: bool,
    entries: usize,
    /// Whether half of the gateways restart during the observation.
    has_restarts: bool,
    /// Fraction of the old version's responses that are four times as slow.
    slow_old_ratio: f64,
    /// Whether the evidence receives the engine's load with each response.
    reports_load: bool,
}

const DEFAULTS: Setting = Setting {
    slowdown: 1.0,
    part: 1.0,
    failures: 0.0,
    is_burst: false,
    entries: 3,
    has_restarts: false,
    slow_old_ratio: 0.0,
    reports_load: true,
};

/// A gateway, and the counts that it last sent to its peers.
struct Entry {
    evidence: RolloutEvidence,
    last_sent: EvidenceTotals,
}

struct World {
    setting: Setting,
    rng: StdRng,
    entries: Vec<Entry>,
    bad_responses: u32,
}

/// When a version was found to be worse, and how many of its responses had been bad by then.
#[derive(Debug, Clone, Copy)]
struct RolloutDecision {
    after_s: f64,
    bad_responses: u32,
}

impl World {
    fn new(setting: Setting, seed: u64) -> Self {
        let entry =
            || Entry { evidence: RolloutEvidence::default(), last_sent: EvidenceTotals::default() };
        let entries = (0..setting.entries).map(|_| entry()).collect();
        Self { setting, rng: StdRng::seed_from_u64(seed), entries, bad_responses: 0 }
    }

    /// Simulates the normal load and the rollout, until a decision.
    fn run(mut self) -> Option<RolloutDecision> {
        let mut now_s = 0.0;
        let mut next_update_s = CALM_S;
        let mut has_restarted = false;
        while now_s < CALM_S + OBSERVATION_S {
            let is_observed = now_s >= CALM_S;
            let is_burst = is_observed && self.setting.is_burst;
            let rate = STREAMS_PER_S * if is_burst { BURST_FACTOR } else { 1.0 };
            now_s -= self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            let is_new = is_observed && self.rng.random_bool(NEW_SHARE);
            self.answer(is_new, rate);
            if self.setting.has_restarts && !has_restarted && now_s > CALM_S + OBSERVATION_S / 4.0 {
                has_restarted = true;
                self.restart_half();
            }
            if is_observed && now_s >= next_update_s {
                next_update_s += UPDATE_INTERVAL_S;
                self.exchange_counts();
            }
            if is_observed && self.entries.iter().any(|entry| entry.evidence.is_bad()) {
                return Some(RolloutDecision {
                    after_s: now_s - CALM_S,
                    bad_responses: self.bad_responses,
                });
            }
        }
        None
    }

    fn answer(&mut self, is_new: bool, rate: f64) {
        let Setting { slowdown, part, failures, slow_old_ratio, reports_load, .. } = self.setting;
        let is_slow = is_new && slowdown > 1.0 && self.rng.random_bool(part);
        let slowdown = match is_new {
            true if is_slow => slowdown,
            false if self.rng.random_bool(slow_old_ratio) => 4.0,
            _ => 1.0,
        };
        let load = self.load(rate * if is_new { NEW_SHARE } else { 1.0 - NEW_SHARE });
        let noise = self.rng.random_range(0.85..1.3);
        let interval_ms =
            (IDLE_TOKEN_INTERVAL_MS + INTERVAL_MS_PER_REQUEST * f64::from(load)) * slowdown * noise;
        let is_failed = is_new && self.rng.random_bool(failures);
        self.bad_responses += u32::from(is_slow || is_failed);
        let observation = if is_failed {
            Observation::Failed
        } else {
            Observation::Paced(Duration::from_secs_f64(interval_ms / 1e3))
        };
        let reported_load = if reports_load { load } else { 1 };
        let entry = self.rng.random_range(0..self.entries.len());
        let evidence = &mut self.entries[entry].evidence;
        if is_new {
            evidence.new_version(&TOKEN_INTERVAL, reported_load, observation);
        } else {
            evidence.old_version(&TOKEN_INTERVAL, reported_load, observation);
        }
    }

    /// Requests in progress at an engine, by Little's law: the rate times the duration, which in turn grows with
    /// the load.
    fn load(&mut self, rate: f64) -> u32 {
        let rate_per_engine = rate / ENGINES as f64;
        let mut mean: f64 = 1.0;
        for _ in 0..20 {
            let duration_s =
                CHUNKS_PER_STREAM * (IDLE_TOKEN_INTERVAL_MS + INTERVAL_MS_PER_REQUEST * mean) / 1e3;
            mean = (rate_per_engine * duration_s).clamp(0.0, 128.0);
        }
        let spread = mean.sqrt() * self.rng.random_range(-1.7..1.7);
        (mean + spread).round().max(1.0) as u32
    }

    /// Restarts half of the gateways: they lose their state, and receive the baseline latencies of the others.
    fn restart_half(&mut self) {
        let (lost, kept) = self.entries.split_at_mut(self.setting.entries.div_ceil(2));
        for entry in lost {
            entry.evidence = RolloutEvidence::default();
            entry.last_sent = EvidenceTotals::default();
            for (kind, known) in kept.iter().flat_map(|other| other.evidence.baseline_updates()) {
                entry.evidence.apply_baseline_update(kind.clone(), known);
            }
        }
    }

    fn exchange_counts(&mut self) {
        let updates: Vec<_> = self
            .entries
            .iter_mut()
            .map(|entry| {
                let local = entry.evidence.own().clone();
                let updates = local.since(&entry.last_sent);
                entry.last_sent = local;
                updates
            })
            .collect();
        for (n, entry) in self.entries.iter_mut().enumerate() {
            for (_, updates) in updates.iter().enumerate().filter(|(of, _)| *of != n) {
                entry.evidence.add_peer_counts(updates);
            }
        }
    }
}

fn decisions(setting: Setting, count: u64) -> Vec<RolloutDecision> {
    (0..count).filter_map(|seed| World::new(setting, seed).run()).collect()
}

fn bad_row(report: &mut Report, name: &str, setting: Setting) {
    let decisions = decisions(setting, BAD_ROLLOUTS);
    let mut times_s: Vec<_> = decisions.iter().map(|decision| decision.after_s).collect();
    let mut answers: Vec<_> = decisions.iter().map(|v| f64::from(v.bad_responses)).collect();
    report.row([
        name.to_owned(),
        format!("{:.1}", setting.slowdown),
        format!("{:.1}", setting.part),
        setting.entries.to_string(),
        format!("{} of {BAD_ROLLOUTS}", decisions.len()),
        format!("{:.1}", percentile(&mut times_s, 0.5)),
        format!("{:.1}", percentile(&mut times_s, 0.9)),
        format!("{:.0}", percentile(&mut answers, 0.5)),
        format!("{:.0}", percentile(&mut answers, 0.9)),
    ]);
}

fn good_row(report: &mut Report, name: &str, setting: Setting) {
    let called = decisions(setting, GOOD_ROLLOUTS).len();
    let entries = setting.entries.to_string();
    report.row([name.to_owned(), entries, format!("{called} of {GOOD_ROLLOUTS}")]);
}

fn bad_versions() {
    let headings = [
        "beside",
        "times as long",
        "part of the answers",
        "entries",
        "found",
        "s (50 %)",
        "s (90 %)",
        "bad answers (50 %)",
        "bad answers (90 %)",
    ];
    let mut report = Report::new("rollout_bad", &headings);
    for is_burst in [false, true] {
        let name = if is_burst { "a burst" } else { "nothing" };
        for slowdown in [1.5, 2.0, 2.5, 3.0, 5.0, 8.0] {
            bad_row(&mut report, name, Setting { slowdown, is_burst, ..DEFAULTS });
        }
        bad_row(&mut report, name, Setting { slowdown: 3.0, part: 0.6, is_burst, ..DEFAULTS });
        for entries in [1, 30] {
            bad_row(&mut report, name, Setting { slowdown: 3.0, entries, is_burst, ..DEFAULTS });
        }
    }
    let burst = Setting { slowdown: 3.0, is_burst: true, ..DEFAULTS };
    bad_row(&mut report, "a burst, restarts", Setting { has_restarts: true, ..burst });
    bad_row(&mut report, "slow old engines", Setting { slow_old_ratio: 0.3, ..burst });
    bad_row(&mut report, "a burst, loads not told", Setting { reports_load: false, ..burst });
    for failures in [0.02, 0.1, 0.3, 1.0] {
        let name = format!("failures of {failures}");
        bad_row(&mut report, &name, Setting { failures, ..DEFAULTS });
    }
    report.finish();
}

fn good_versions() {
    let mut report = Report::new("rollout_good", &["beside", "entries", "called worse"]);
    for entries in [1, 3, 30] {
        good_row(&mut report, "nothing", Setting { entries, ..DEFAULTS });
        good_row(&mut report, "a burst", Setting { entries, is_burst: true, ..DEFAULTS });
    }
    let burst = Setting { is_burst: true, ..DEFAULTS };
    good_row(&mut report, "a burst, restarts", Setting { has_restarts: true, ..burst });
    good_row(&mut report, "slow old engines", Setting { slow_old_ratio: 0.3, ..DEFAULTS });
    good_row(&mut report, "a burst, loads not told", Setting { reports_load: false, ..burst });
    report.finish();
}

/// How many of the rollouts of services with few requests are completed, by kind of new version. Those of good
/// versions should be, those of bad ones must not.
fn services_with_few_requests() {
    let headings = [
        "new version",
        "requests a second",
        "old version fails",
        "ordered s",
        "completed",
        "requests on it (50 %)",
        "most beyond what is allowed",
    ];
    let mut report = Report::new("rollout_few_requests", &headings);
    let good = NewVersion::GOOD;
    let kinds = [
        ("good", good),
        ("fails 0.2", NewVersion { failures: 0.2, ..good }),
        ("fails 0.3", NewVersion { failures: 0.3, ..good }),
        ("fails 0.5", NewVersion { failures: 0.5, ..good }),
        ("fails 0.5 after 5 s", NewVersion { failures: 0.5, since_ms: 5_000, ..good }),
        ("fails 0.5 on one route", NewVersion { failures: 0.5, is_on_one_route: true, ..good }),
        ("3 times as slow", NewVersion { slowdown: 3.0, ..good }),
    ];
    let rates = [1.0, 3.0, 6.0, 12.0, 25.0, 50.0, 100.0].map(|rate| (rate, 0.14, 16));
    let others = [(12.0, 0.0, 16), (12.0, 0.3, 16), (12.0, 0.14, 26), (12.0, 0.14, 60)];
    for (name, new) in kinds {
        for (requests_per_s, failure_rate, ordered_s) in rates.into_iter().chain(others) {
            let service = Service {
                requests_per_s,
                first_route_share: 0.45,
                failure_rates: [failure_rate, 0.004],
                ordered_ms: ordered_s * 1_000,
            };
            let ends: Vec<_> =
                (0..FEW_REQUESTS_ROLLOUTS).map(|seed| play(service, new, seed)).collect();
            let completed = ends.iter().filter(|end| end.is_completed()).count();
            let mut exposed: Vec<_> = ends.iter().map(|end| f64::from(end.exposed)).collect();
            let excess = ends.iter().map(End::excess).fold(f64::NEG_INFINITY, f64::max);
            report.row([
                name.to_owned(),
                format!("{requests_per_s:.0}"),
                format!("{failure_rate:.2}"),
                ordered_s.to_string(),
                format!("{completed} of {FEW_REQUESTS_ROLLOUTS}"),
                format!("{:.0}", percentile(&mut exposed, 0.5)),
                format!("{excess:.0}"),
            ]);
        }
    }
    report.finish();
}

fn main() {
    bad_versions();
    good_versions();
    services_with_few_requests();
}
