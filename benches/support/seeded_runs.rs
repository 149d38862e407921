//! Runs in virtual time: of many seeds on a few threads, what they are played with, and what they draw.

use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

const THREADS: u64 = 4;

/// Plays so many seeds. What comes of them is in no order.
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
        threads.into_iter().flat_map(|t| t.join().expect("a run ends")).collect()
    })
}

/// A moment of a run.
pub(crate) fn at(seconds: f64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs_f64(seconds))
}

/// The hosts of a run, which differ from seed to seed, as their ranks do.
pub(crate) fn hosts(seed: u64, count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("host-{seed}-{n}").parse().expect("a name")).collect()
}

/// The upstreams of a run.
pub(crate) fn incarnations(seed: u64, count: usize) -> Vec<UpstreamIncarnation> {
    (0..count).map(|n| format!("i-{seed}-{n}").parse().expect("a start")).collect()
}

/// Requests at an entry beside those at others: a third of the entries gets so many times as many.
pub(crate) fn weight(entry: usize, skew: f64) -> f64 {
    if entry.is_multiple_of(3) { skew } else { 1.0 }
}

/// When the next request comes, of so many a second.
pub(crate) fn next_arrival_s(rng: &mut StdRng, now_s: f64, per_s: f64) -> f64 {
    let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    now_s - unit.ln() / per_s
}

/// One of those with these weights, by its number.
pub(crate) fn draw_weighted(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    drawn.unwrap_or_default()
}
