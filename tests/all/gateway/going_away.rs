//! What a caller's going away stops: running work is left at once, and nothing new is sent,
//! whatever the request was in the middle of.

use std::time::Duration;

use stallhoist_standins::users_platform::Behaviour;

use super::world::ENGINE;
use super::world::World;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

/// A stream that never gets to its end.
const ENDLESS: Behaviour = Behaviour::Stream {
    events: 1_000_000,
    pause: Duration::from_millis(20),
    confidence: None,
    torn_after: None,
};

/// A stream that is torn after its second event.
const TORN: Behaviour =
    Behaviour::Stream { events: 6, pause: Duration::ZERO, confidence: None, torn_after: Some(2) };

/// A stream of which its model thinks little.
const POOR: Behaviour = Behaviour::Stream {
    events: 1_000_000,
    pause: Duration::from_millis(20),
    confidence: Some(10),
    torn_after: None,
};

async fn wait_for_in_progress(world: &World, requests: usize) {
    let wanted = format!("stallhoist_in_progress {requests}\n");
    wait_until("so many requests are in progress", async || {
        world.metrics().await.contains(&wanted)
    })
    .await;
}

/// Names a case: the upstream behaves so for each attempt; once the last of them has arrived there
/// the caller leaves, so that the attempts that are still under way are left, and no other is made.
macro_rules! leaves_after {
    ($name:ident, $behaviours:expr, $left:expr) => {
        case!($name, async {
            let world = World::start(ENGINE, &[Behaviour::stream(6)]).await;
            let attempts = $behaviours.len();
            world.upstreams[0].then($behaviours);
            let asking = tokio::spawn(send(world.stream("id-1")));
            wait_until("the last attempt arrives", async || world.runs() == attempts).await;
            asking.abort();
            wait_for_in_progress(&world, 0).await;
            wait_until("running work is left", async || world.upstreams[0].abandoned() == $left)
                .await;
            assert_eq!(world.runs(), attempts, "nothing new was sent");
        });
    };
}

leaves_after!(in_the_first_attempt, [Behaviour::Hang], 1);
leaves_after!(in_a_stream, [ENDLESS], 1);
leaves_after!(in_a_repeated_attempt, [Behaviour::Fail, Behaviour::Hang], 1);
leaves_after!(in_the_last_attempt, [Behaviour::Fail, Behaviour::Fail, Behaviour::Hang], 1);
// The poor answer is left when the better one is asked.
leaves_after!(in_a_better_answer, [POOR, Behaviour::Hang], 2);
// A stream that the upstream tears itself counts, too.
leaves_after!(in_a_continued_stream, [TORN, Behaviour::Hang], 2);
leaves_after!(in_a_stream_that_was_continued, [TORN, ENDLESS], 2);

case!(while_waiting_for_an_upstream, async {
    let world = World::start(ENGINE, &[ENDLESS]).await;
    world.store.remove("servers", "i-0");
    wait_until("the upstream has gone", async || {
        world.dump().await["upstreams"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
    let asking = tokio::spawn(send(world.stream("id-1")));
    wait_for_in_progress(&world, 1).await;
    asking.abort();
    wait_for_in_progress(&world, 0).await;
    world.store.put("servers", "i-0", world.upstreams[0].entry(ENGINE, "zone-1", "v1", "ready"));
    wait_until("the upstream is back", async || {
        world.dump().await["upstreams"].as_array().is_some_and(|listed| listed.len() == 1)
    })
    .await;
    assert_eq!(world.runs(), 0, "nothing was sent");
});
