//! Upstreams that come back cold, in virtual time: `cargo bench --bench cold`.
//!
//! Entries get requests, of which each goes to a cold upstream if the entry may send it one: it has
//! nothing to do and looks best. Entries judge by the gateway's own `policy::cold`, hear of the
//! return and of each other late, and send what is held up on its way. Beside it: nothing is bounded
//! (as before), requests are divided among a few entries, and one that knows all that was sent.

#[path = "support/cold_world.rs"]
mod cold_world;
#[path = "support/seeded_runs.rs"]
mod seeded_runs;

use stallhoist_measure::Report;

use crate::cold_world::BOUND_PER_S;
use crate::cold_world::Figures;
use crate::cold_world::Setting;
use crate::cold_world::USUAL;
use crate::cold_world::Way;
use crate::cold_world::run;

/// Of each setting and way; fewer where each of many entries has to know all others.
fn seeds(setting: &Setting) -> u64 {
    match setting.entries {
        0..=103 => 1_000,
        104..=300 => 200,
        _ => 20,
    }
}

/// Plays all seeds.
fn play(setting: &Setting, way: Way) -> Vec<Figures> {
    seeded_runs::play(seeds(setting), |seed| run(setting, way, seed))
}

const WAYS: [Way; 5] = [Way::Free, Way::Among(3), Way::Among(9), Way::Among(u32::MAX), Way::Oracle];

fn name_of(way: Way) -> String {
    match way {
        Way::Free => "not bounded".to_owned(),
        Way::Among(u32::MAX) => "all entries".to_owned(),
        Way::Among(owners) => format!("{owners} entries"),
        Way::Oracle => "oracle".to_owned(),
    }
}

fn rows(report: &mut Report, name: &str, setting: &Setting) {
    let sum = |all: &[Figures], of: fn(&Figures) -> usize| all.iter().map(of).sum::<usize>() as f64;
    let oracle = sum(&play(setting, Way::Oracle), |figures| figures.at_cold);
    for way in WAYS {
        let all = play(setting, way);
        let busiest = all.iter().map(|figures| figures.busiest).max().unwrap_or(0);
        let broken = all.iter().filter(|figures| figures.busiest > BOUND_PER_S).count();
        let refused = sum(&all, |figures| figures.refused);
        eprintln!("{name}: {way:?}");
        report.row([
            name.to_owned(),
            name_of(way),
            busiest.to_string(),
            format!("{broken} of {}", all.len()),
            format!("{:.2}", sum(&all, |figures| figures.at_cold) / oracle),
            format!("{:.1}", 100.0 * refused / sum(&all, |figures| figures.requests)),
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
    let large = Setting { per_s: 2_900.0, ..USUAL };
    for (name, setting) in [
        ("21 entries, a third of 40 cold", USUAL),
        ("1 entry", Setting { entries: 1, ..USUAL }),
        ("3 entries", Setting { entries: 3, ..USUAL }),
        ("103 entries", Setting { entries: 103, ..USUAL }),
        ("300 entries", Setting { entries: 300, ..USUAL }),
        ("300 entries, 2,900 a second", Setting { entries: 300, ..large }),
        ("1,000 entries, 2,900 a second", Setting { entries: 1_000, ..large }),
        ("one cold", Setting { cold: 1, ..USUAL }),
        ("two thirds cold", Setting { cold: 27, ..USUAL }),
        ("all cold", Setting { cold: 40, ..USUAL }),
        ("all of 6 cold", Setting { cold: 6, upstreams: 6, ..USUAL }),
        ("all of 6 cold, 300 entries", Setting { entries: 300, cold: 6, upstreams: 6, ..USUAL }),
        ("uneven, 4 to 1", Setting { uneven: 4.0, ..USUAL }),
        ("burst of 3 at the return", Setting { burst: 3.0, ..USUAL }),
        ("news up to 0.05 s late", Setting { news_s: 0.05, ..USUAL }),
        ("news up to 3 s late", Setting { news_s: 3.0, ..USUAL }),
        ("three quarters join", Setting { joining: 43, entries: 36, ..USUAL }),
        (
            "three quarters join, news up to 3 s late",
            Setting { joining: 43, entries: 36, news_s: 3.0, burst: 3.0, ..USUAL },
        ),
    ] {
        rows(&mut report, name, &setting);
    }
    report.finish();
}
