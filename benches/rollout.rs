//! The judgement of new versions, in virtual time: `cargo bench --bench rollout`.
//!
//! Engines work on all their requests in one batch. The old version's are busy, the new one's
//! have 3 in 100 requests; entries see what they serve, and tell each other their counts twice
//! a second. The evidence is the gateway's own. Besides, the same with no load told to it: what
//! comparing at unlike loads costs.

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

const BAD_ROLL_OUTS: u64 = 60;
const GOOD_ROLL_OUTS: u64 = 1_000;
/// Of each version.
const ENGINES: usize = 9;
/// Streams a second of the whole service, and how many more in a burst.
const STREAMS_A_SECOND: f64 = 60.0;
const BURST: f64 = 2.5;
/// The calm time before the order, and how long a version is observed.
const CALM_S: f64 = 10.0;
const OBSERVED_S: f64 = 21.0;
const NEW_SHARE: f64 = 0.03;
const EVENTS: f64 = 50.0;
/// Of an engine: the pause between parts when it is idle, and what a request adds. With 10
/// requests in progress that is 30 ms, with 100 in a burst 120, as of the engines that were seen.
const IDLE_PAUSE_MS: f64 = 20.0;
const PAUSE_MS_A_REQUEST: f64 = 1.0;
const TELL_EVERY_S: f64 = 0.5;
const PACE: RequestKind = RequestKind { route: None, model: None, part: LatencyKind::Pause };

/// What a roll-out meets.
#[derive(Debug, Clone, Copy)]
struct Setting {
    /// How many times as long the new version's answers take, and the part of them.
    times: f64,
    part: f64,
    /// The part of its answers that fail.
    failures: f64,
    is_burst: bool,
    entries: usize,
    /// Half of the entries start anew in the middle.
    has_restarts: bool,
    /// The part of the old version's engines that are four times as slow.
    slow_old: f64,
    /// Whether the evidence is told the loads.
    tells_load: bool,
}

const USUAL: Setting = Setting {
    times: 1.0,
    part: 1.0,
    failures: 0.0,
    is_burst: false,
    entries: 3,
    has_restarts: false,
    slow_old: 0.0,
    tells_load: true,
};

/// An entry, and what it has told of its counts.
struct Entry {
    evidence: RolloutEvidence,
    told: EvidenceTotals,
}

struct World {
    setting: Setting,
    rng: StdRng,
    entries: Vec<Entry>,
    bad_answers: u32,
}

/// When a version was called worse, and how many of its answers had been bad by then.
#[derive(Debug, Clone, Copy)]
struct Verdict {
    after_s: f64,
    bad_answers: u32,
}

impl World {
    fn new(setting: Setting, seed: u64) -> Self {
        let entry =
            || Entry { evidence: RolloutEvidence::default(), told: EvidenceTotals::default() };
        let entries = (0..setting.entries).map(|_| entry()).collect();
        Self { setting, rng: StdRng::seed_from_u64(seed), entries, bad_answers: 0 }
    }

    /// Plays the calm time and the roll-out, until a verdict.
    fn run(mut self) -> Option<Verdict> {
        let mut now_s = 0.0;
        let mut next_tell_s = CALM_S;
        let mut has_restarted = false;
        while now_s < CALM_S + OBSERVED_S {
            let is_observed = now_s >= CALM_S;
            let is_burst = is_observed && self.setting.is_burst;
            let rate = STREAMS_A_SECOND * if is_burst { BURST } else { 1.0 };
            now_s -= self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            let is_new = is_observed && self.rng.random_bool(NEW_SHARE);
            self.answer(is_new, rate);
            if self.setting.has_restarts && !has_restarted && now_s > CALM_S + OBSERVED_S / 4.0 {
                has_restarted = true;
                self.restart_half();
            }
            if is_observed && now_s >= next_tell_s {
                next_tell_s += TELL_EVERY_S;
                self.tell();
            }
            if is_observed && self.entries.iter().any(|entry| entry.evidence.is_bad()) {
                return Some(Verdict { after_s: now_s - CALM_S, bad_answers: self.bad_answers });
            }
        }
        None
    }

    fn answer(&mut self, is_new: bool, rate: f64) {
        let Setting { times, part, failures, slow_old, tells_load, .. } = self.setting;
        let is_slow = is_new && times > 1.0 && self.rng.random_bool(part);
        let times = match is_new {
            true if is_slow => times,
            false if self.rng.random_bool(slow_old) => 4.0,
            _ => 1.0,
        };
        let load = self.load(rate * if is_new { NEW_SHARE } else { 1.0 - NEW_SHARE });
        let noise = self.rng.random_range(0.85..1.3);
        let pause_ms = (IDLE_PAUSE_MS + PAUSE_MS_A_REQUEST * f64::from(load)) * times * noise;
        let is_failed = is_new && self.rng.random_bool(failures);
        self.bad_answers += u32::from(is_slow || is_failed);
        let observation = if is_failed {
            Observation::Failed
        } else {
            Observation::Paced(Duration::from_secs_f64(pause_ms / 1e3))
        };
        let told_load = if tells_load { load } else { 1 };
        let entry = self.rng.random_range(0..self.entries.len());
        let evidence = &mut self.entries[entry].evidence;
        if is_new {
            evidence.new_version(&PACE, told_load, observation);
        } else {
            evidence.old_version(&PACE, told_load, observation);
        }
    }

    /// Requests in progress at an engine: the rate times their duration, which grows with them.
    fn load(&mut self, rate: f64) -> u32 {
        let rate_an_engine = rate / ENGINES as f64;
        let mut mean: f64 = 1.0;
        for _ in 0..20 {
            let duration_s = EVENTS * (IDLE_PAUSE_MS + PAUSE_MS_A_REQUEST * mean) / 1e3;
            mean = (rate_an_engine * duration_s).clamp(0.0, 128.0);
        }
        let spread = mean.sqrt() * self.rng.random_range(-1.7..1.7);
        (mean + spread).round().max(1.0) as u32
    }

    /// Half of the entries lose all that they know, and are told the others' usual times.
    fn restart_half(&mut self) {
        let (lost, kept) = self.entries.split_at_mut(self.setting.entries.div_ceil(2));
        for entry in lost {
            entry.evidence = RolloutEvidence::default();
            entry.told = EvidenceTotals::default();
            for (kind, known) in kept.iter().flat_map(|other| other.evidence.baseline_updates()) {
                entry.evidence.apply_baseline_update(kind.clone(), known);
            }
        }
    }

    fn tell(&mut self) {
        let news: Vec<_> = self
            .entries
            .iter_mut()
            .map(|entry| {
                let own = entry.evidence.own();
                let news = own.since(entry.told);
                entry.told = own;
                news
            })
            .collect();
        for (n, entry) in self.entries.iter_mut().enumerate() {
            for (_, news) in news.iter().enumerate().filter(|(of, _)| *of != n) {
                entry.evidence.add_peer_counts(*news);
            }
        }
    }
}

fn verdicts(setting: Setting, count: u64) -> Vec<Verdict> {
    (0..count).filter_map(|seed| World::new(setting, seed).run()).collect()
}

fn bad_row(report: &mut Report, name: &str, setting: Setting) {
    let verdicts = verdicts(setting, BAD_ROLL_OUTS);
    let mut times: Vec<_> = verdicts.iter().map(|verdict| verdict.after_s).collect();
    let mut answers: Vec<_> = verdicts.iter().map(|v| f64::from(v.bad_answers)).collect();
    report.row([
        name.to_owned(),
        format!("{:.1}", setting.times),
        format!("{:.1}", setting.part),
        setting.entries.to_string(),
        format!("{} of {BAD_ROLL_OUTS}", verdicts.len()),
        format!("{:.1}", percentile(&mut times, 0.5)),
        format!("{:.1}", percentile(&mut times, 0.9)),
        format!("{:.0}", percentile(&mut answers, 0.5)),
        format!("{:.0}", percentile(&mut answers, 0.9)),
    ]);
}

fn good_row(report: &mut Report, name: &str, setting: Setting) {
    let called = verdicts(setting, GOOD_ROLL_OUTS).len();
    let entries = setting.entries.to_string();
    report.row([name.to_owned(), entries, format!("{called} of {GOOD_ROLL_OUTS}")]);
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
        for times in [1.5, 2.0, 2.5, 3.0, 5.0, 8.0] {
            bad_row(&mut report, name, Setting { times, is_burst, ..USUAL });
        }
        bad_row(&mut report, name, Setting { times: 3.0, part: 0.6, is_burst, ..USUAL });
        for entries in [1, 30] {
            bad_row(&mut report, name, Setting { times: 3.0, entries, is_burst, ..USUAL });
        }
    }
    let burst = Setting { times: 3.0, is_burst: true, ..USUAL };
    bad_row(&mut report, "a burst, restarts", Setting { has_restarts: true, ..burst });
    bad_row(&mut report, "slow old engines", Setting { slow_old: 0.3, ..burst });
    bad_row(&mut report, "a burst, loads not told", Setting { tells_load: false, ..burst });
    for failures in [0.02, 0.1, 0.3, 1.0] {
        let name = format!("failures of {failures}");
        bad_row(&mut report, &name, Setting { failures, ..USUAL });
    }
    report.finish();
}

fn good_versions() {
    let mut report = Report::new("rollout_good", &["beside", "entries", "called worse"]);
    for entries in [1, 3, 30] {
        good_row(&mut report, "nothing", Setting { entries, ..USUAL });
        good_row(&mut report, "a burst", Setting { entries, is_burst: true, ..USUAL });
    }
    let burst = Setting { is_burst: true, ..USUAL };
    good_row(&mut report, "a burst, restarts", Setting { has_restarts: true, ..burst });
    good_row(&mut report, "slow old engines", Setting { slow_old: 0.3, ..USUAL });
    good_row(&mut report, "a burst, loads not told", Setting { tells_load: false, ..burst });
    report.finish();
}

fn main() {
    bad_versions();
    good_versions();
}
