//! Upstreams that announce in their responses that they are draining, whatever their rows say.
//!
//! Guards against the announcement being ignored. An upstream that begins to drain while the store is
//! unavailable cannot change its row, so the list says ready for the rest of the outage. Requests then reached it
//! 3.3 and 4.5 s after a response had announced it to their gateway, where 2 s are allowed; with one of three
//! upstreams draining and its row unchanged, 44 to 51 requests of four gateways were too late, where none is
//! allowed.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::callers_of_fleet::CallerResponse;
use super::callers_of_fleet::WORK;
use super::callers_of_fleet::World;
use super::callers_of_fleet::first_reported;
use super::callers_of_fleet::statuses;
use super::world::PLAIN;
use crate::case::case;
use crate::harness::wait_until;

const SERVER_LEAVING: &str = "server-leaving";

/// The platform's requirement: no request sent later than this after the response with the announcement
/// reaches the upstream.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// How long callers continue after the announcement.
const CALLERS_RUN_FOR: Duration = Duration::from_millis(4_500);

impl World {
    /// Number of requests that reached an upstream too late.
    fn too_late(&self, upstream: usize, got: &[CallerResponse]) -> usize {
        let announced = first_reported(got, upstream, SERVER_LEAVING);
        let is_late = |got: &&CallerResponse| {
            announced.get(&got.entry).is_some_and(|at| got.sent > *at + GRACE_PERIOD)
        };
        let late: Vec<&str> = got.iter().filter(is_late).map(|got| got.id.as_str()).collect();
        let arrivals = self.upstreams[upstream].arrivals();
        arrivals.iter().filter(|arrival| late.contains(&arrival.header("request-id"))).count()
    }
}

/// Of three upstreams some announce that they are draining, with this behaviour on each request.
macro_rules! nothing_too_late {
    ($name:ident, $leaving:expr, $behaviour:expr) => {
        case!($name, async {
            let world = World::start(4, 3).await;
            for upstream in &world.upstreams[..$leaving] {
                upstream.set_response_header(SERVER_LEAVING, "1");
                upstream.then(vec![$behaviour; 1_000]);
            }
            let got = world.ask_all_until(1, Instant::now() + CALLERS_RUN_FOR).await;
            for upstream in 0..$leaving {
                assert!(world.upstreams[upstream].arrivals().len() > 0);
                assert_eq!(world.too_late(upstream, &got), 0);
            }
        });
    };
}

fn responds() -> Behaviour {
    Behaviour::Answer { body: "done".to_owned(), after: WORK }
}

nothing_too_late!(one_of_three, 1, responds());
nothing_too_late!(one_of_three_that_fails, 1, Behaviour::Fail);
nothing_too_late!(one_of_three_that_rejects, 1, Behaviour::NotExecuted);
nothing_too_late!(all_three, 3, responds());
nothing_too_late!(all_three_that_fail, 3, Behaviour::Fail);

// Draining upstreams serve callers during the grace period; then no upstream is left.
case!(with_all_draining_callers_are_rejected_until_another_upstream_is_listed, async {
    let world = World::start(1, 2).await;
    world.upstreams.iter().for_each(|upstream| upstream.set_response_header(SERVER_LEAVING, "1"));
    wait_until("callers are rejected", async || {
        let got = world.ask_until(0, Instant::now() + WORK).await;
        assert!(got.iter().all(|got| matches!(got.status, 200 | 503)));
        got.iter().any(|got| got.status == 503)
    })
    .await;
    let runs: usize = world.upstreams.iter().map(UpstreamStandin::runs).sum();
    let rejected = world.ask_until(0, Instant::now() + WORK).await;
    assert_eq!(statuses(&rejected), [503]);
    assert_eq!(world.upstreams.iter().map(UpstreamStandin::runs).sum::<usize>(), runs);
    let next = UpstreamStandin::start("i-9", responds()).await.expect("the upstream starts");
    world.fleet.store.put("servers", "i-9", next.entry(PLAIN, "zone-1", "v1", "ready"));
    wait_until("callers are served", async || {
        let got = world.ask_until(0, Instant::now() + WORK).await;
        got.iter().all(|got| got.status == 200)
    })
    .await;
});

// As after an outage of the store: the row still says ready when the upstream has begun to drain.
case!(a_row_that_says_ready_does_not_revoke_the_announcement, async {
    let world = World::start(1, 2).await;
    world.upstreams[0].set_response_header(SERVER_LEAVING, "1");
    world.ask_until(0, Instant::now() + CALLERS_RUN_FOR / 2).await;
    let arrived = world.upstreams[0].arrivals().len();
    for seq in 2..5 {
        let mut row = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
        row["seq"] = json!(seq);
        row["slots"] = json!(8 + seq);
        world.fleet.store.put("servers", "i-0", row);
        world.ask_until(0, Instant::now() + CALLERS_RUN_FOR / 9).await;
    }
    assert_eq!(world.upstreams[0].arrivals().len(), arrived);
});

/// An upstream with this value in the header is not draining.
macro_rules! not_draining {
    ($name:ident, $value:expr) => {
        case!($name, async {
            let world = World::start(1, 1).await;
            world.upstreams[0].set_response_header(SERVER_LEAVING, $value);
            let got = world.ask_until(0, Instant::now() + CALLERS_RUN_FOR / 2).await;
            assert_eq!(statuses(&got), [200]);
        });
    };
}

not_draining!(a_zero, "0");
not_draining!(an_empty_value, "");
not_draining!(another_word, "maybe");
