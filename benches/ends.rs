//! Fatal requests, which crash upstreams, in virtual time: `cargo bench --bench ends`.
//!
//! Callers send some bodies again and again, through random gateways; each crashes the upstream that runs
//! it and breaks all streams there. Gateways decide with the gateway's own `policy::fatal`, receive crashes
//! from peers with a delay, and claim trials through a shared store. Baselines: no quarantine, each gateway
//! by itself, quarantine by workspace, and an oracle that knows a body from its first crash. Some crashes
//! are detected late; a stream that broke there is then not counted, counted once its own gateway detects
//! the crash, or counted once any gateway does.

#[path = "support/ends_setting.rs"]
mod ends_setting;
#[path = "support/ends_world.rs"]
mod ends_world;

use std::time::Instant;

use stallhoist_core::RequestFingerprint;
use stallhoist_measure::Report;

use crate::ends_setting::Attribution;
use crate::ends_setting::CrashDetection;
use crate::ends_setting::DEFAULTS;
use crate::ends_setting::Policy;
use crate::ends_setting::RunResult;
use crate::ends_setting::Setting;
use crate::ends_world::World;

fn row(report: &mut Report, name: &str, setting: Setting) {
    const SEEDS: u64 = 3;
    let all: Vec<_> = (0..SEEDS).map(|seed| World::new(setting, seed).run()).collect();
    let sum = |of: fn(&RunResult) -> usize| all.iter().map(of).sum::<usize>() as f64;
    let bodies = (SEEDS as usize * setting.bodies) as f64;
    let streams = sum(|result| result.streams);
    let bytes = all.iter().map(|result| result.bytes).sum::<u64>() as f64;
    eprintln!("{name}: {:?}", setting.policy);
    report.row([
        name.to_owned(),
        format!("{:?}", setting.policy),
        format!("{:.1}", sum(|result| result.ends) / bodies),
        format!("{:.1}", sum(|result| result.late_sends) / bodies),
        format!("{:.2}", 100.0 * sum(|result| result.lost) / streams),
        format!("{:.3}", 100.0 * sum(|result| result.held_back) / streams),
        format!("{:.1}", bytes / 1e3 / (SEEDS as f64) / setting.entries as f64),
    ]);
}

fn main() {
    let headings = [
        "setting",
        "policy",
        "ends a body",
        "sent late a body",
        "others lost, %",
        "others held back, %",
        "kB told to an entry",
    ];
    let mut report = Report::new("ends", &headings);
    use Policy::*;
    for policy in [Nothing, Alone, ByWorkspace, Kept, Oracle] {
        row(&mut report, "usual", Setting { policy, ..DEFAULTS });
    }
    for (name, setting) in [
        ("1 entry", Setting { entries: 1, ..DEFAULTS }),
        ("103 entries", Setting { entries: 103, ..DEFAULTS }),
        ("300 entries", Setting { entries: 300, ..DEFAULTS }),
        ("160 upstreams", Setting { upstreams: 160, entries: 103, ..DEFAULTS }),
        (
            "3,000 upstreams",
            Setting { upstreams: 3_000, entries: 30, streams_per_upstream: 2, ..DEFAULTS },
        ),
        ("1 body", Setting { bodies: 1, ..DEFAULTS }),
        ("20 bodies", Setting { bodies: 20, ..DEFAULTS }),
        ("10 a second", Setting { per_s: 10.0, ..DEFAULTS }),
        ("100 a second", Setting { per_s: 100.0, ..DEFAULTS }),
        ("1 beside", Setting { streams_per_upstream: 1, ..DEFAULTS }),
        ("32 beside", Setting { streams_per_upstream: 32, ..DEFAULTS }),
        ("chance 0.5", Setting { crash_probability: 0.5, ..DEFAULTS }),
        ("chance 0.1", Setting { crash_probability: 0.1, ..DEFAULTS }),
        ("back after 20 s", Setting { restart_s: 20.0, ..DEFAULTS }),
        ("news after 0.05 s", Setting { update_delay_s: 0.05, ..DEFAULTS }),
        ("news after 1 s", Setting { update_delay_s: 1.0, ..DEFAULTS }),
        ("news after 3 s", Setting { update_delay_s: 3.0, ..DEFAULTS }),
        ("30 in 100 lost", Setting { lost: 0.3, ..DEFAULTS }),
    ] {
        row(&mut report, name, setting);
    }
    for (attribution, late, within_s) in [
        (Attribution::Never, 0.5, 0.3),
        (Attribution::Never, 1.0, 0.3),
        (Attribution::Here, 0.5, 0.3),
        (Attribution::Here, 0.5, 2.0),
        (Attribution::Here, 1.0, 0.3),
        (Attribution::Here, 1.0, 2.0),
        (Attribution::Here, 1.0, 5.0),
        (Attribution::Among, 0.5, 0.3),
        (Attribution::Among, 0.5, 2.0),
        (Attribution::Among, 1.0, 0.3),
        (Attribution::Among, 1.0, 2.0),
        (Attribution::Among, 1.0, 5.0),
    ] {
        let name = format!("{late} shown within {within_s} s, {attribution:?}");
        let detection = CrashDetection { late, within_s, attribution };
        row(&mut report, &name, Setting { detection, ..DEFAULTS });
    }
    report.finish();
    fingerprints();
}

/// Cost of a request's fingerprint, in real time: the minimum of many runs, which excludes interruptions by
/// other processes.
fn fingerprints() {
    const RUNS: usize = 200;
    let mut report = Report::new("ends_fingerprint", &["body, bytes", "us"]);
    for bytes in [0, 12_000, 1_000_000] {
        let body = vec![b'x'; bytes];
        let time = |_| {
            let began = Instant::now();
            std::hint::black_box(RequestFingerprint::of("POST", "/path", "workspace", &body));
            began.elapsed()
        };
        let quickest = (0..RUNS).map(time).min().unwrap_or_default();
        report.row([bytes.to_string(), format!("{:.1}", quickest.as_secs_f64() * 1e6)]);
    }
    report.finish();
}
