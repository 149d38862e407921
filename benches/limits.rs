//! Upstreams that report a rate limit, in virtual time: `cargo bench --bench limits`.
//!
//! Gateways send each request to a limited upstream if they may. They decide with the gateway's own
//! `policy::named_limits`, and learn of the limit up to half a second late. Baselines: each gateway applies
//! the whole limit by itself, gateways use the whole limit in turn, and an oracle knows every request sent.

#[path = "support/limits_world.rs"]
mod limits_world;
#[path = "support/seeded_runs.rs"]
mod seeded_runs;

use stallhoist_measure::Report;

use crate::limits_world::DEFAULTS;
use crate::limits_world::RunResult;
use crate::limits_world::Setting;
use crate::limits_world::Strategy;
use crate::limits_world::run;

const STRATEGIES: [Strategy; 4] =
    [Strategy::Alone, Strategy::Parts, Strategy::Turns, Strategy::Oracle];

/// Number of seeds of a setting; fewer for many gateways, as the cost of a run is quadratic in their number.
fn seeds(setting: &Setting) -> u64 {
    match setting.entries {
        0..=103 => 200,
        104..=300 => 50,
        _ => 5,
    }
}

fn run_seeds(setting: &Setting, strategy: Strategy) -> Vec<RunResult> {
    seeded_runs::run_seeds(seeds(setting), |seed| run(setting, strategy, seed))
}

fn rows(report: &mut Report, name: &str, setting: &Setting) {
    let sum =
        |all: &[RunResult], of: fn(&RunResult) -> usize| all.iter().map(of).sum::<usize>() as f64;
    let oracle = sum(&run_seeds(setting, Strategy::Oracle), |result| result.at_limited);
    for strategy in STRATEGIES {
        let all = run_seeds(setting, strategy);
        let peak_per_window = all.iter().map(|result| result.peak_per_window).max().unwrap_or(0);
        let broken =
            all.iter().filter(|result| result.peak_per_window as f64 > setting.bound()).count();
        let refused = sum(&all, |result| result.refused);
        eprintln!("{name}: {strategy:?}");
        report.row([
            name.to_owned(),
            format!("{strategy:?}"),
            format!("{peak_per_window} of {:.1}", setting.bound()),
            format!("{broken} of {}", all.len()),
            format!("{:.2}", sum(&all, |result| result.at_limited) / oracle),
            format!("{:.1}", 100.0 * refused / sum(&all, |result| result.requests)),
        ]);
    }
}

fn main() {
    let headings = [
        "setting",
        "way",
        "most in 4 s",
        "runs over it",
        "work there, of the oracle's",
        "refused, %",
    ];
    let mut report = Report::new("limits", &headings);
    let large = Setting { per_s: 2_900.0, ..DEFAULTS };
    for (name, setting) in [
        ("21 entries, 4 of 40 name 2.2", DEFAULTS),
        ("1 entry", Setting { entries: 1, ..DEFAULTS }),
        ("3 entries", Setting { entries: 3, ..DEFAULTS }),
        ("103 entries", Setting { entries: 103, ..DEFAULTS }),
        ("300 entries", Setting { entries: 300, ..DEFAULTS }),
        ("300 entries, 2,900 a second", Setting { entries: 300, ..large }),
        ("1,000 entries, 2,900 a second", Setting { entries: 1_000, ..large }),
        ("0.3 a second", Setting { limit_per_s: 0.3, ..DEFAULTS }),
        ("0.3 a second, 300 entries", Setting { limit_per_s: 0.3, entries: 300, ..DEFAULTS }),
        ("20 a second", Setting { limit_per_s: 20.0, ..DEFAULTS }),
        ("20 a second, 300 entries", Setting { limit_per_s: 20.0, entries: 300, ..DEFAULTS }),
        ("100 a second, 300 entries", Setting { limit_per_s: 100.0, entries: 300, ..large }),
        ("all of 6 name 2.2", Setting { limited: 6, upstreams: 6, ..DEFAULTS }),
        ("uneven, 4 to 1", Setting { skew: 4.0, ..DEFAULTS }),
    ] {
        rows(&mut report, name, &setting);
    }
    report.finish();
}
