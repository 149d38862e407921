//! Upstreams that warm up after a restart, in virtual time: `cargo bench --bench cold`.
//!
//! Gateways send each request to an upstream that warms up if they may: it is idle and therefore
//! preferred. They decide with the gateway's own `policy::cold`, learn of the restart and of each other
//! with a delay, and some requests are delayed in transit. Baselines: no bound, a share of the bound for
//! only a few gateways, and an oracle that knows every request sent.

#[path = "support/cold_world.rs"]
mod cold_world;
#[path = "support/seeded_runs.rs"]
mod seeded_runs;

use stallhoist_measure::Report;

use crate::cold_world::BOUND_PER_S;
use crate::cold_world::DEFAULTS;
use crate::cold_world::RunResult;
use crate::cold_world::Setting;
use crate::cold_world::Strategy;
use crate::cold_world::run;

/// Number of seeds of a setting; fewer for many gateways, as the cost of a run is quadratic in their number.
fn seeds(setting: &Setting) -> u64 {
    match setting.entries {
        0..=103 => 1_000,
        104..=300 => 200,
        _ => 20,
    }
}

fn run_seeds(setting: &Setting, strategy: Strategy) -> Vec<RunResult> {
    seeded_runs::run_seeds(seeds(setting), |seed| run(setting, strategy, seed))
}

const STRATEGIES: [Strategy; 5] = [
    Strategy::Free,
    Strategy::Among(3),
    Strategy::Among(9),
    Strategy::Among(u32::MAX),
    Strategy::Oracle,
];

fn name_of(strategy: Strategy) -> String {
    match strategy {
        Strategy::Free => "not bounded".to_owned(),
        Strategy::Among(u32::MAX) => "all entries".to_owned(),
        Strategy::Among(owners) => format!("{owners} entries"),
        Strategy::Oracle => "oracle".to_owned(),
    }
}

fn rows(report: &mut Report, name: &str, setting: &Setting) {
    let sum =
        |all: &[RunResult], of: fn(&RunResult) -> usize| all.iter().map(of).sum::<usize>() as f64;
    let oracle = sum(&run_seeds(setting, Strategy::Oracle), |result| result.at_cold);
    for strategy in STRATEGIES {
        let all = run_seeds(setting, strategy);
        let peak_per_s = all.iter().map(|result| result.peak_per_s).max().unwrap_or(0);
        let broken = all.iter().filter(|result| result.peak_per_s > BOUND_PER_S).count();
        let refused = sum(&all, |result| result.refused);
        eprintln!("{name}: {strategy:?}");
        report.row([
            name.to_owned(),
            name_of(strategy),
            peak_per_s.to_string(),
            format!("{broken} of {}", all.len()),
            format!("{:.2}", sum(&all, |result| result.at_cold) / oracle),
            format!("{:.1}", 100.0 * refused / sum(&all, |result| result.requests)),
        ]);
    }
}

fn main() {
    let headings = [
        "setting",
        "divided among",
        "most in a second (bound 32)",
        "runs over it",
        "work there, of the oracle's",
        "refused, %",
    ];
    let mut report = Report::new("cold", &headings);
    let large = Setting { per_s: 2_900.0, ..DEFAULTS };
    for (name, setting) in [
        ("21 entries, a third of 40 cold", DEFAULTS),
        ("1 entry", Setting { entries: 1, ..DEFAULTS }),
        ("3 entries", Setting { entries: 3, ..DEFAULTS }),
        ("103 entries", Setting { entries: 103, ..DEFAULTS }),
        ("300 entries", Setting { entries: 300, ..DEFAULTS }),
        ("300 entries, 2,900 a second", Setting { entries: 300, ..large }),
        ("1,000 entries, 2,900 a second", Setting { entries: 1_000, ..large }),
        ("one cold", Setting { cold: 1, ..DEFAULTS }),
        ("two thirds cold", Setting { cold: 27, ..DEFAULTS }),
        ("all cold", Setting { cold: 40, ..DEFAULTS }),
        ("all of 6 cold", Setting { cold: 6, upstreams: 6, ..DEFAULTS }),
        ("all of 6 cold, 300 entries", Setting { entries: 300, cold: 6, upstreams: 6, ..DEFAULTS }),
        ("uneven, 4 to 1", Setting { skew: 4.0, ..DEFAULTS }),
        ("burst of 3 at the return", Setting { burst: 3.0, ..DEFAULTS }),
        ("news up to 0.05 s late", Setting { update_delay_s: 0.05, ..DEFAULTS }),
        ("news up to 3 s late", Setting { update_delay_s: 3.0, ..DEFAULTS }),
        ("three quarters join", Setting { joining: 43, entries: 36, ..DEFAULTS }),
        (
            "three quarters join, news up to 3 s late",
            Setting { joining: 43, entries: 36, update_delay_s: 3.0, burst: 3.0, ..DEFAULTS },
        ),
    ] {
        rows(&mut report, name, &setting);
    }
    report.finish();
}
