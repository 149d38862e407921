//! Prompt parts that crash upstreams, in virtual time: `cargo bench --bench fatal_parts`.
//!
//! Callers send requests with a fatal part, no two alike, beside sound requests that share their other parts. Gateways
//! decide with the gateway's own `policy::fatal`, receive crashes and clearances from peers with a delay, and claim
//! trials through a shared store.

#[path = "support/parts_setting.rs"]
mod parts_setting;
#[path = "support/parts_world.rs"]
mod parts_world;

use std::time::Duration;
use std::time::Instant;

use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;
use stallhoist_measure::Report;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::FatalConfig;
use stallhoist_policy::fatal::FatalSubjects;
use stallhoist_policy::fatal::ResponsePhase;

use crate::parts_setting::OtherCrashes;
use crate::parts_setting::Policy;
use crate::parts_setting::RunResult;
use crate::parts_setting::Setting;
use crate::parts_world::World;

const SEEDS: u64 = 6;

fn row(report: &mut Report, name: &str, setting: &Setting) {
    let run = |seed| World::new(setting.clone(), seed).run();
    let all: Vec<_> = (0..SEEDS).map(run).collect();
    eprintln!("{name}");
    let sum = |of: fn(&RunResult) -> usize| all.iter().map(of).sum::<usize>() as f64;
    let parts = (SEEDS as usize * setting.fatal_parts.max(1)) as f64;
    let most_late = all.iter().flat_map(|result| &result.late_sends).max();
    let percent = |of: f64, all: f64| {
        if all > 0.0 { format!("{:.2}", 100.0 * of / all) } else { "-".to_owned() }
    };
    report.row([
        name.to_owned(),
        format!("{:.1}", sum(|result| result.crashes) / parts),
        format!("{:.1}", sum(|result| result.late_sends.iter().sum()) / parts),
        most_late.map_or_else(|| "-".to_owned(), usize::to_string),
        percent(sum(|result| result.lost), sum(|result| result.sound)),
        percent(sum(|result| result.held_back), sum(|result| result.sound)),
        percent(sum(|result| result.later_begun), sum(|result| result.later)),
        format!("{:.1}", sum(|result| result.wrong_parts) / SEEDS as f64),
        format!("{:.0}", sum(|result| result.updates) / SEEDS as f64),
    ]);
}

fn usual() -> Setting {
    Setting::default()
}

/// Settings with fatal parts.
fn with_fatal_parts() -> Vec<(&'static str, Setting)> {
    let other_crashes = Some(OtherCrashes { every_s: 2.0, at_once: 1 });
    vec![
        ("usual", usual()),
        ("1 a second", Setting { fatal_per_s: 1.0, ..usual() }),
        ("10 a second", Setting { fatal_per_s: 10.0, ..usual() }),
        ("30 a second", Setting { fatal_per_s: 30.0, ..usual() }),
        ("crash before the head", Setting { crashes_before_head: true, ..usual() }),
        ("crash after the first part", Setting { crashes_after_first_part: true, ..usual() }),
        ("turns fatal", Setting { turns_fatal: true, ..usual() }),
        ("turns fatal, 1 a second", Setting { turns_fatal: true, fatal_per_s: 1.0, ..usual() }),
        ("paired", Setting { is_paired: true, ..usual() }),
        ("3 parts", Setting { fatal_parts: 3, ..usual() }),
        ("10 parts, 1 a second", Setting { fatal_parts: 10, fatal_per_s: 1.0, ..usual() }),
        ("waits 1 s", Setting { wait_s: 1.0, ..usual() }),
        ("streams of 8 s", Setting { response_s: 8.0, ..usual() }),
        ("1 first and second part", Setting { second_parts: 1, first_parts: 1, ..usual() }),
        ("2,000 second parts", Setting { second_parts: 2_000, ..usual() }),
        ("6 sound a second", Setting { sound_per_s: 6.0, ..usual() }),
        ("news after 0.5 s", Setting { update_delay_s: 0.5, ..usual() }),
        ("1 gateway", Setting { gateways: 1, ..usual() }),
        ("other crashes too", Setting { other_crashes, ..usual() }),
        (
            "30 gateways, 60 upstreams",
            Setting { gateways: 30, upstreams: 60, sound_per_s: 300.0, ..usual() },
        ),
    ]
}

/// Settings in which upstreams crash for other reasons only.
fn with_other_crashes() -> Vec<(&'static str, Setting)> {
    let small = |every_s, at_once| {
        let other_crashes = Some(OtherCrashes { every_s, at_once });
        Setting { fatal_parts: 0, other_crashes, ..usual() }
    };
    let large = |every_s, at_once| Setting {
        upstreams: 60,
        sound_per_s: 300.0,
        gateways: 12,
        ..small(every_s, at_once)
    };
    vec![
        ("1 crash a second", small(1.0, 1)),
        ("5 of 9 crash each 4 s", small(4.0, 5)),
        ("all 9 crash each 6 s", small(6.0, 9)),
        ("20 of 60 crash each 4 s", large(4.0, 20)),
        ("all 60 crash each 8 s", large(8.0, 60)),
    ]
}

fn main() {
    let headings = [
        "setting",
        "crashes a part",
        "sent late a part",
        "most",
        "sound lost, %",
        "held back, %",
        "later begun, %",
        "wrong parts",
        "updates",
    ];
    let mut report = Report::new("fatal_parts", &headings);
    row(&mut report, "requests only", &Setting { policy: Policy::Requests, ..usual() });
    row(&mut report, "oracle", &Setting { policy: Policy::Oracle, ..usual() });
    for (name, setting) in with_fatal_parts().into_iter().chain(with_other_crashes()) {
        row(&mut report, name, &setting);
    }
    let config = FatalConfig { crash_spacing: Duration::ZERO, ..FatalConfig::default() };
    for (name, setting) in with_other_crashes() {
        let setting = Setting { config: config.clone(), ..setting };
        row(&mut report, &format!("{name}, not spaced"), &setting);
    }
    report.finish();
    updates();
}

/// Cost of one more crash at a gateway that tracks many subjects, in real time: the minimum of many runs, which excludes
/// interruptions by other processes.
fn updates() {
    const RUNS: u64 = 20;
    let mut report = Report::new("fatal_parts_update", &["parts", "crashes of each", "us"]);
    for (parts, crashes) in [(100, 1), (1_000, 1), (1_000, 3), (4_000, 1), (4_000, 3)] {
        let mut subjects = FatalSubjects::default();
        let update = |part, upstream| CrashUpdate {
            subject: PartFingerprint { service: 1, part }.into(),
            upstream: UpstreamKey(upstream),
            at: MonoTime::default().after(Duration::from_millis(upstream)),
            phase: ResponsePhase::Started,
            is_cleared: false,
        };
        let all = (0..parts).flat_map(|part| {
            (0..crashes).map(move |crash| update(part, 1_000 * (part / 50) + crash))
        });
        subjects.apply_peer_update(MonoTime::default(), all);
        let time = |run| {
            let began = Instant::now();
            subjects.apply_peer_update(MonoTime::default(), [update(0, 1_000_000 + run)]);
            began.elapsed()
        };
        let quickest = (0..RUNS).map(time).min().unwrap_or_default();
        let us = format!("{:.0}", quickest.as_secs_f64() * 1e6);
        report.row([parts.to_string(), crashes.to_string(), us]);
    }
    report.finish();
}
