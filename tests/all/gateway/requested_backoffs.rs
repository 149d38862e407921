//! Upstreams that reject a gateway's requests and request a back-off.
//!
//! Guards against the requested back-off being ignored. The gateway's own estimate begins at 0.2 s, doubles with
//! consecutive rejections and is ignored when no other upstream is healthy; after it, the idle upstream is
//! the best choice of several requests at once, before any of them gets a response. An upstream that had
//! requested 3 s then got five requests in that time, where two are allowed. Of 120 concurrent requests, 1.2 s
//! after the rejection, 27 to 30 reached one of three upstreams in its back-off; with all three backing off, 30
//! requests of a gateway reached each.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use stallhoist_standins::users_platform::Arrival;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::callers_of_fleet::WORK;
use super::callers_of_fleet::World;
use super::callers_of_fleet::entry_of;
use super::world::PLAIN;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

const RETRY_AFTER: &str = "retry-after";

/// The platform's requirement: at most this many requests of a gateway reach an upstream from half a second
/// after the rejection until the end of the back-off.
const ALLOWED: usize = 2;
const FROM: Duration = Duration::from_millis(500);

/// How long callers continue, and their number at each gateway.
const CALLERS_RUN_FOR: Duration = Duration::from_millis(4_500);
const CALLERS: usize = 8;

/// Number of concurrent requests. More than two upstreams take from one gateway, so that the others choose the
/// third, all before any of them gets a response.
const BURST: usize = 120;

/// Time from the rejection to the burst.
const BURST_AFTER: Duration = Duration::from_millis(1_200);

/// The most requests of one gateway during a back-off of this length.
fn most_in_a_backoff(arrivals: &[Arrival], backoff: Duration) -> usize {
    let entry = |arrival: &Arrival| entry_of(arrival.header("request-id"));
    let in_backoff = |rejected: &Arrival| {
        let counts = |arrival: &&Arrival| {
            entry(arrival) == entry(rejected)
                && (rejected.at + FROM..rejected.at + backoff).contains(&arrival.at)
        };
        arrivals.iter().filter(counts).count()
    };
    arrivals.iter().filter(|arrival| !arrival.is_run).map(in_backoff).max().unwrap_or(0)
}

impl World {
    /// Makes an upstream reject all requests from now on and request this back-off.
    fn reject_all(&self, upstream: usize, backoff: &str) {
        self.upstreams[upstream].set_response_header(RETRY_AFTER, backoff);
        self.upstreams[upstream].then(vec![Behaviour::NotExecuted; 10_000]);
    }
}

case!(a_burst_in_the_backoff_of_one_of_three, async {
    let world = World::start(1, 3).await;
    world.reject_all(0, "3");
    let rejected_at = || world.upstreams[0].arrivals().first().map(|arrival| arrival.at);
    wait_until("the upstream has rejected a request", async || {
        world.ask_until(0, Instant::now() + WORK).await;
        rejected_at().is_some()
    })
    .await;
    let burst_at = rejected_at().expect("a rejection") + BURST_AFTER;
    wait_until("the time of the burst has come", async || Instant::now() >= burst_at).await;
    world.ask_all_until(BURST, Instant::now() + WORK).await;
    let most = most_in_a_backoff(&world.upstreams[0].arrivals(), Duration::from_secs(3));
    assert!(most <= ALLOWED, "{most} in a back-off");
});

/// The requirement holds while upstreams reject all requests with a back-off and callers continue.
macro_rules! kept {
    ($name:ident, $entries:expr, $rejecting:expr, $backoff:expr, $backoff_s:expr) => {
        case!($name, async {
            let world = World::start($entries, 3).await;
            (0..$rejecting).for_each(|upstream| world.reject_all(upstream, $backoff));
            let got = world.ask_all_until(CALLERS, Instant::now() + CALLERS_RUN_FOR).await;
            assert!(got.iter().all(|got| matches!(got.status, 200 | 503)));
            for upstream in 0..$rejecting {
                let arrivals = world.upstreams[upstream].arrivals();
                assert!(!arrivals.is_empty());
                let most = most_in_a_backoff(&arrivals, Duration::from_secs_f64($backoff_s));
                assert!(most <= ALLOWED, "{most} in a back-off");
            }
        });
    };
}

kept!(one_of_three, 4, 1, "3", 3.0);
kept!(all_three, 4, 3, "3", 3.0);
kept!(a_fractional_backoff, 1, 3, "1.7", 1.7);
kept!(an_endless_backoff, 1, 3, "1e300", 4.0);

// A successful response to a request that was accepted before the rejection does not end the back-off.
case!(a_successful_response_does_not_end_a_backoff, async {
    let world = World::start(1, 1).await;
    let slow = Behaviour::Answer { body: "late".to_owned(), after: Duration::from_millis(600) };
    world.upstreams[0].then([slow]);
    let first = world.ask_until(0, Instant::now() + Duration::from_millis(1));
    let then_rejected = async {
        wait_until("the first request has arrived", async || {
            !world.upstreams[0].arrivals().is_empty()
        })
        .await;
        world.reject_all(0, "3");
        world.ask_until(0, Instant::now() + WORK).await;
        // The response to the first request is no rejection.
        world.upstreams[0].remove_response_header(RETRY_AFTER);
    };
    let (first, ()) = futures_util::future::join(first, then_rejected).await;
    assert_eq!(first[0].status, 200);
    world.ask_until(0, Instant::now() + Duration::from_secs(1)).await;
    let most = most_in_a_backoff(&world.upstreams[0].arrivals(), Duration::from_secs(3));
    assert!(most <= ALLOWED, "{most} in a back-off");
});

// News of a restart may be late: the process that requested the back-off may be the later one.
case!(a_backoff_holds_when_a_later_start_of_the_upstream_becomes_known, async {
    let world = World::start(1, 1).await;
    list_start(&world, 1_000).await;
    world.reject_all(0, "3");
    world.ask_until(0, Instant::now() + Duration::from_millis(1)).await;
    world.upstreams[0].clear_queued_behaviours();
    list_start(&world, 2_000).await;
    world.ask_until(0, Instant::now() + Duration::from_secs(2)).await;
    let most = most_in_a_backoff(&world.upstreams[0].arrivals(), Duration::from_secs(3));
    assert!(most <= ALLOWED, "{most} in a back-off");
});

/// Lists the upstream as started at this time and waits until the gateway knows.
async fn list_start(world: &World, started_ms: u64) {
    let mut row = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
    row["born"] = json!(started_ms);
    world.fleet.store.put("servers", "i-0", row);
    let known = format!("i-0@{started_ms}");
    wait_until("the start is known", async || world.fleet.knows_upstream(&known).await).await;
}

// The time to retry is the end of the first back-off, and a request at that time is served.
case!(with_all_backing_off_rejections_carry_the_time_to_retry, async {
    let world = World::start(1, 2).await;
    world.reject_all(0, "3");
    world.reject_all(1, "2.5");
    world.ask_until(0, Instant::now() + WORK).await;
    let asked = Instant::now();
    let rejected = send(world.request(0).1).await.expect("a response");
    assert!(asked.elapsed() < Duration::from_millis(300), "{:?}", asked.elapsed());
    assert_eq!(rejected.status, 503);
    let retry_after: f64 = rejected.header("retry-after").parse().expect("a number of seconds");
    assert!((1.5..=2.5).contains(&retry_after), "{retry_after}");
    let due = Instant::now() + Duration::from_secs_f64(retry_after);
    world.upstreams.iter().for_each(UpstreamStandin::clear_queued_behaviours);
    wait_until("the time to retry has come", async || Instant::now() >= due).await;
    assert_eq!(send(world.request(0).1).await.expect("a response").status, 200);
});

/// A rejection with this value in the header requests no back-off.
macro_rules! no_backoff {
    ($name:ident, $value:expr) => {
        case!($name, async {
            let world = World::start(1, 1).await;
            world.upstreams[0].set_response_header(RETRY_AFTER, $value);
            world.upstreams[0].then(vec![Behaviour::NotExecuted; 3]);
            let rejected = world.ask_until(0, Instant::now() + Duration::from_millis(1)).await;
            assert_eq!(rejected[0].status, 503);
            assert_eq!(send(world.request(0).1).await.expect("a response").status, 200);
        });
    };
}

no_backoff!(a_negative_number, "-3");
no_backoff!(not_a_number, "nan");
no_backoff!(a_date, "Thu, 03 Dec 2026 06:00:00 GMT");
no_backoff!(a_zero, "0");
