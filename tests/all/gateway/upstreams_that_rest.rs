//! Upstreams that turn an entry away and ask for rest.
//!
//! What users saw: an upstream had asked an entry for 3 s of rest, and got five requests from it in that time;
//! two are allowed. The order of events: three of nine upstreams turned all requests away and asked for
//! rest; by the entry's own rule the first one rested for 0.2 s; later, with nothing to do, it was the best
//! choice of five requests at once, before any of them was answered. The cause: what it asked for was
//! dropped where heads of answers are read; how long an upstream rests was the entry's own guess, which doubles
//! with refusals in a row and is passed over when no other is well.
//!
//! The evidence: 27 to 30 of 120 requests that came at once, 1.2 s after the refusal, reached one of three upstreams
//! in its rest; with all three asking for rest 30 of an entry's requests reached each.

use std::time::Duration;
use std::time::Instant;

use stallhoist_standins::users_platform::Arrival;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::callers_of_fleet::WORK;
use super::callers_of_fleet::World;
use super::callers_of_fleet::entry_of;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

const RETRY_AFTER: &str = "retry-after";

/// The bound of the platform's page: so many requests of an entry reach an upstream from half a second
/// after the refusal until the end of the rest.
const ALLOWED: usize = 2;
const FROM: Duration = Duration::from_millis(500);

/// How long callers go on, and how many of each entry.
const GO_ON_FOR: Duration = Duration::from_millis(4_500);
const CALLERS: usize = 8;

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

/// Upstreams refuse everything and ask for rest, and this entry's callers go on.
macro_rules! kept {
    ($name:ident, $entries:expr, $resting:expr, $rest:expr, $rest_s:expr) => {
        case!($name, async {
            let world = World::start($entries, 3).await;
            (0..$resting).for_each(|upstream| world.refuses(upstream, $rest));
            let got = world.ask_all_until(CALLERS, Instant::now() + GO_ON_FOR).await;
            assert!(got.iter().all(|got| matches!(got.status, 200 | 503)));
            for upstream in 0..$resting {
                let arrivals = world.upstreams[upstream].arrivals();
                assert!(!arrivals.is_empty());
                let most = most_in_a_rest(&arrivals, Duration::from_secs_f64($rest_s));
                assert!(most <= ALLOWED, "{most} in a rest");
            }
        });
    };
}

kept!(one_of_three, 4, 1, "3", 3.0);
kept!(all_three, 4, 3, "3", 3.0);
kept!(a_rest_of_a_fraction, 1, 3, "1.7", 1.7);
kept!(a_rest_without_end, 1, 3, "1e300", 4.0);

// What it took before, and what it answers others, is no sign that it is rested.
case!(an_answer_that_is_well_does_not_end_it, async {
    let world = World::start(1, 1).await;
    let slow = Behaviour::Answer { body: "late".to_owned(), after: Duration::from_millis(600) };
    world.upstreams[0].then([slow]);
    let first = world.ask_until(0, Instant::now() + Duration::from_millis(1));
    let then_refused = async {
        wait_until("the first has arrived", async || !world.upstreams[0].arrivals().is_empty())
            .await;
        world.refuses(0, "3");
        world.ask_until(0, Instant::now() + WORK).await;
        // The first one's answer is no refusal.
        world.upstreams[0].says_no_more(RETRY_AFTER);
    };
    let (first, ()) = futures_util::future::join(first, then_refused).await;
    assert_eq!(first[0].status, 200);
    world.ask_until(0, Instant::now() + Duration::from_secs(1)).await;
    let most = most_in_a_rest(&world.upstreams[0].arrivals(), Duration::from_secs(3));
    assert!(most <= ALLOWED, "{most} in a rest");
});

// The time to come back is when the first of them has rested, and it comes true.
case!(with_all_at_rest_callers_are_told_when_it_is_over, async {
    let world = World::start(1, 2).await;
    world.refuses(0, "3");
    world.refuses(1, "2.5");
    world.ask_until(0, Instant::now() + WORK).await;
    let asked = Instant::now();
    let refused = send(world.request(0).1).await.expect("an answer");
    assert!(asked.elapsed() < Duration::from_millis(300), "{:?}", asked.elapsed());
    assert_eq!(refused.status, 503);
    let retry_after: f64 = refused.header("retry-after").parse().expect("a time to come back");
    assert!((1.5..=2.5).contains(&retry_after), "{retry_after}");
    let due = Instant::now() + Duration::from_secs_f64(retry_after);
    world.upstreams.iter().for_each(UpstreamStandin::do_as_usual);
    wait_until("that time is over", async || Instant::now() >= due).await;
    assert_eq!(send(world.request(0).1).await.expect("an answer").status, 200);
});

/// A refusal that says this in place of a rest asks for none.
macro_rules! asks_for_none {
    ($name:ident, $said:expr) => {
        case!($name, async {
            let world = World::start(1, 1).await;
            world.upstreams[0].says(RETRY_AFTER, $said);
            world.upstreams[0].then(vec![Behaviour::NotExecuted; 3]);
            let refused = world.ask_until(0, Instant::now() + Duration::from_millis(1)).await;
            assert_eq!(refused[0].status, 503);
            assert_eq!(send(world.request(0).1).await.expect("an answer").status, 200);
        });
    };
}

asks_for_none!(a_negative_rest, "-3");
asks_for_none!(a_rest_that_is_no_number, "nan");
asks_for_none!(a_rest_until_a_date, "Thu, 03 Dec 2026 06:00:00 GMT");
asks_for_none!(no_rest, "0");
