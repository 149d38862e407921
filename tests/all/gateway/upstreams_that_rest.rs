//! Upstreams that turn an entry away and ask for rest.
//!
//! What users saw: an upstream had asked an entry for 3 s of rest, and got five requests from it in that time;
//! two are allowed. The order of events: three of nine upstreams turned all requests away and asked for
//! rest; by the entry's own rule the first one rested for 0.2 s; later, with nothing to do, it was the best
//! choice of five requests at once, before any of them was answered.

use std::time::Duration;
use std::time::Instant;

use stallhoist_standins::users_platform::Arrival;
use stallhoist_standins::users_platform::Behaviour;

use super::callers_of_fleet::WORK;
use super::callers_of_fleet::World;
use super::callers_of_fleet::entry_of;
use crate::case::case;
use crate::harness::wait_until;

const RETRY_AFTER: &str = "retry-after";

/// The bound of the platform's page: so many requests of an entry reach an upstream from half a second
/// after the refusal until the end of the rest.
const ALLOWED: usize = 2;
const FROM: Duration = Duration::from_millis(500);

/// Callers that ask at once, more than two upstreams take from one entry: the others choose the third, all
/// before one of them is answered.
const BURST: usize = 120;

/// When the burst comes, after the refusal.
const BURST_AFTER: Duration = Duration::from_millis(1_200);

/// The most requests of one entry in a rest of so long.
fn most_in_a_rest(arrivals: &[Arrival], rest: Duration) -> usize {
    let entry = |arrival: &Arrival| entry_of(arrival.header("request-id"));
    let in_rest = |refused: &Arrival| {
        let counts = |arrival: &&Arrival| {
            entry(arrival) == entry(refused)
                && (refused.at + FROM..refused.at + rest).contains(&arrival.at)
        };
        arrivals.iter().filter(counts).count()
    };
    arrivals.iter().filter(|arrival| !arrival.is_run).map(in_rest).max().unwrap_or(0)
}

impl World {
    /// From now on an upstream turns everything away, and asks for so much rest.
    fn refuses(&self, upstream: usize, rest: &str) {
        self.upstreams[upstream].says(RETRY_AFTER, rest);
        self.upstreams[upstream].then(vec![Behaviour::NotExecuted; 10_000]);
    }
}

case!(a_burst_in_the_rest_of_one_of_three, async {
    let world = World::start(1, 3).await;
    world.refuses(0, "3");
    let is_refused = || world.upstreams[0].arrivals().first().map(|arrival| arrival.at);
    wait_until("it has refused one", async || {
        world.ask_until(0, Instant::now() + WORK).await;
        is_refused().is_some()
    })
    .await;
    let burst_at = is_refused().expect("a refusal") + BURST_AFTER;
    wait_until("it is time", async || Instant::now() >= burst_at).await;
    world.ask_all_until(BURST, Instant::now() + WORK).await;
    let most = most_in_a_rest(&world.upstreams[0].arrivals(), Duration::from_secs(3));
    assert!(most <= ALLOWED, "{most} in a rest");
});
