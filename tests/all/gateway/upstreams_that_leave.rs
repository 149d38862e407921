//! Upstreams that say in their answers that they leave, whatever the list says.
//!
//! What users saw: requests reached an upstream 3.3 and 4.5 s after an answer had told the entry that sent
//! them that the upstream leaves; 2 s are allowed. The order of events: the store fell silent; half a second
//! later an upstream began to leave and could not write it into the list, but said so in all its answers; the
//! entries went on sending, as by the list it was ready. The cause: the word was dropped where heads of answers
//! are read, and the list alone was believed, which is late by as long as the store is away.
//!
//! The evidence: with one of three upstreams saying so in its answers and a row that says ready, 44 to 51
//! requests of four entries reached it too late (none is allowed).

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

/// The bound of the platform's page: nothing that a caller sent later than this after the answer that
/// said so reaches the upstream.
const TAKES_FOR: Duration = Duration::from_secs(2);

/// How long callers go on after it was said.
const GO_ON_FOR: Duration = Duration::from_millis(4_500);

impl World {
    /// How many requests reached an upstream too late.
    fn too_late(&self, upstream: usize, got: &[CallerResponse]) -> usize {
        let told = first_reported(got, upstream, SERVER_LEAVING);
        let is_late = |got: &&CallerResponse| {
            told.get(&got.entry).is_some_and(|told| got.sent > *told + TAKES_FOR)
        };
        let late: Vec<&str> = got.iter().filter(is_late).map(|got| got.id.as_str()).collect();
        let arrivals = self.upstreams[upstream].arrivals();
        arrivals.iter().filter(|arrival| late.contains(&arrival.header("request-id"))).count()
    }
}

/// Of three upstreams some do this with each request and say that they leave.
macro_rules! nothing_too_late {
    ($name:ident, $leaving:expr, $behaviour:expr) => {
        case!($name, async {
            let world = World::start(4, 3).await;
            for upstream in &world.upstreams[..$leaving] {
                upstream.says(SERVER_LEAVING, "1");
                upstream.then(vec![$behaviour; 1_000]);
            }
            let got = world.ask_all_until(1, Instant::now() + GO_ON_FOR).await;
            for upstream in 0..$leaving {
                assert!(world.upstreams[upstream].arrivals().len() > 0);
                assert_eq!(world.too_late(upstream, &got), 0);
            }
        });
    };
}

fn answers() -> Behaviour {
    Behaviour::Answer { body: "done".to_owned(), after: WORK }
}

nothing_too_late!(one_of_three, 1, answers());
nothing_too_late!(one_of_three_that_fails, 1, Behaviour::Fail);
nothing_too_late!(one_of_three_that_refuses, 1, Behaviour::NotExecuted);
nothing_too_late!(all_three, 3, answers());
nothing_too_late!(all_three_that_fail, 3, Behaviour::Fail);

// A caller is served by those that have begun to leave for a moment; then none is left.
case!(with_all_leaving_callers_are_refused_until_another_one_is_listed, async {
    let world = World::start(1, 2).await;
    world.upstreams.iter().for_each(|upstream| upstream.says(SERVER_LEAVING, "1"));
    wait_until("callers are refused", async || {
        let got = world.ask_until(0, Instant::now() + WORK).await;
        assert!(got.iter().all(|got| matches!(got.status, 200 | 503)));
        got.iter().any(|got| got.status == 503)
    })
    .await;
    let runs: usize = world.upstreams.iter().map(UpstreamStandin::runs).sum();
    let refused = world.ask_until(0, Instant::now() + WORK).await;
    assert_eq!(statuses(&refused), [503]);
    assert_eq!(world.upstreams.iter().map(UpstreamStandin::runs).sum::<usize>(), runs);
    let next = UpstreamStandin::start("i-9", answers()).await.expect("the upstream starts");
    world.fleet.store.put("servers", "i-9", next.entry(PLAIN, "zone-1", "v1", "ready"));
    wait_until("callers are served", async || {
        let got = world.ask_until(0, Instant::now() + WORK).await;
        got.iter().all(|got| got.status == 200)
    })
    .await;
});

// The store is silent when it begins to leave, and its row says ready when the store is back.
case!(a_row_that_says_ready_takes_nothing_back, async {
    let world = World::start(1, 2).await;
    world.upstreams[0].says(SERVER_LEAVING, "1");
    world.ask_until(0, Instant::now() + GO_ON_FOR / 2).await;
    let arrived = world.upstreams[0].arrivals().len();
    for seq in 2..5 {
        let mut row = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
        row["seq"] = json!(seq);
        row["slots"] = json!(8 + seq);
        world.fleet.store.put("servers", "i-0", row);
        world.ask_until(0, Instant::now() + GO_ON_FOR / 9).await;
    }
    assert_eq!(world.upstreams[0].arrivals().len(), arrived);
});

/// An upstream that says this in place of it is used on.
macro_rules! is_used_on {
    ($name:ident, $said:expr) => {
        case!($name, async {
            let world = World::start(1, 1).await;
            world.upstreams[0].says(SERVER_LEAVING, $said);
            let got = world.ask_until(0, Instant::now() + GO_ON_FOR / 2).await;
            assert_eq!(statuses(&got), [200]);
        });
    };
}

is_used_on!(one_that_says_no, "0");
is_used_on!(one_that_says_nothing, "");
is_used_on!(one_that_says_another_word, "maybe");
