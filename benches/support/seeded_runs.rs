//! Runs simulations of many seeds on a few threads, and draws what they have in common: hosts, incarnations,
//! arrivals.
//!
//! Draws depend on the seed alone, never on the thread that runs it.

use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

const THREADS: u64 = 4;

/// Runs `run` for each seed below `seeds`. The results are in no particular order.
pub(crate) fn run_seeds<F: Send>(seeds: u64, run: impl Fn(u64) -> F + Sync) -> Vec<F> {
    let run = &run;
    let worker = |n: u64| {
        move || {
            let thread_seeds = (0..seeds).filter(move |seed| seed % THREADS == n);
            thread_seeds.map(run).collect::<Vec<_>>()
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|n| scope.spawn(worker(n))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a run does not panic")).collect()
    })
}

/// Time of a run, in seconds from its beginning.
pub(crate) fn at(seconds: f64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs_f64(seconds))
}

/// Hosts of a run. Their names depend on the seed, so that their rendezvous ranks differ between seeds.
pub(crate) fn hosts(seed: u64, count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("host-{seed}-{n}").parse().expect("a name")).collect()
}

/// Upstream incarnations of a run. Their names depend on the seed too.
pub(crate) fn incarnations(seed: u64, count: usize) -> Vec<UpstreamIncarnation> {
    (0..count).map(|n| format!("i-{seed}-{n}").parse().expect("a valid incarnation")).collect()
}

/// Relative request rate of a gateway: a third of the gateways gets `skew` times the rate of the others.
pub(crate) fn weight(entry: usize, skew: f64) -> f64 {
    if entry.is_multiple_of(3) { skew } else { 1.0 }
}

/// Time of the next request of a Poisson process with `per_s` requests per second.
pub(crate) fn next_arrival_s(rng: &mut StdRng, now_s: f64, per_s: f64) -> f64 {
    let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    now_s - unit.ln() / per_s
}

/// Draws an index with a probability proportional to its weight.
pub(crate) fn draw_weighted(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    drawn.unwrap_or_default()
}
