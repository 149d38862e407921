//! Runs in virtual time: of many seeds on a few threads, and what they draw.

use std::thread;

use rand::RngExt;
use rand::rngs::StdRng;

const THREADS: u64 = 4;

/// Plays so many seeds. What comes of them is in no order.
pub(crate) fn play<F: Send>(seeds: u64, run: impl Fn(u64) -> F + Sync) -> Vec<F> {
    let run = &run;
    let of_thread = |n: u64| {
        move || {
            let own = (0..seeds).filter(move |seed| seed % THREADS == n);
            own.map(run).collect::<Vec<_>>()
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|n| scope.spawn(of_thread(n))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a run ends")).collect()
    })
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
