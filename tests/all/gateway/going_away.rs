//! Effect of a caller's disconnection: running attempts are cancelled at once and no other is made, in each phase
//! of a request.

use std::time::Duration;

use stallhoist_standins::users_platform::Behaviour;

use super::world::ENGINE;
use super::world::World;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

/// A stream that does not end during the test.
const ENDLESS: Behaviour = Behaviour::Stream {
    events: 1_000_000,
    pause: Duration::from_millis(20),
    confidence: None,
    truncate_after: None,
};

/// A stream that breaks after its second event.
const BROKEN: Behaviour = Behaviour::Stream {
    events: 6,
    pause: Duration::ZERO,
    confidence: None,
    truncate_after: Some(2),
};

/// A stream of low confidence.
const POOR: Behaviour = Behaviour::Stream {
    events: 1_000_000,
    pause: Duration::from_millis(20),
    confidence: Some(10),
    truncate_after: None,
};

async fn wait_for_in_progress(world: &World, requests: usize) {
    let wanted = format!("stallhoist_in_progress {requests}\n");
    wait_until("this number of requests is in progress", async || {
        world.metrics().await.contains(&wanted)
    })
    .await;
}

/// Checks that a caller which disconnects once the last of these attempts has arrived at the upstream cancels the
/// `$cancelled` attempts still in progress, and that no other is made.
macro_rules! disconnects {
    ($name:ident, $behaviours:expr, $cancelled:expr) => {
        case!($name, async {
            let world = World::start(ENGINE, &[Behaviour::stream(6)]).await;
            let attempts = $behaviours.len();
            world.upstreams[0].then($behaviours);
            let request = tokio::spawn(send(world.stream("id-1")));
            wait_until("the last attempt arrives", async || world.runs() == attempts).await;
            request.abort();
            wait_for_in_progress(&world, 0).await;
            wait_until("running attempts are cancelled", async || {
                world.upstreams[0].abandoned() == $cancelled
            })
            .await;
            assert_eq!(world.runs(), attempts, "no other attempt is made");
        });
    };
}

disconnects!(in_the_first_attempt, [Behaviour::Hang], 1);
disconnects!(in_a_stream, [ENDLESS], 1);
disconnects!(in_a_repeated_attempt, [Behaviour::Fail, Behaviour::Hang], 1);
disconnects!(in_the_last_attempt, [Behaviour::Fail, Behaviour::Fail, Behaviour::Hang], 1);
// The poor response is cancelled when the better model is tried.
disconnects!(in_a_response_of_the_better_model, [POOR, Behaviour::Hang], 2);
// A stream that the upstream breaks itself counts as well.
disconnects!(while_a_stream_resumes, [BROKEN, Behaviour::Hang], 2);
disconnects!(in_a_resumed_stream, [BROKEN, ENDLESS], 2);

case!(while_waiting_for_an_upstream, async {
    let world = World::start(ENGINE, &[ENDLESS]).await;
    world.store.remove("servers", "i-0");
    wait_until("the upstream is no longer listed", async || {
        world.dump().await["upstreams"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
    let request = tokio::spawn(send(world.stream("id-1")));
    wait_for_in_progress(&world, 1).await;
    request.abort();
    wait_for_in_progress(&world, 0).await;
    world.store.put("servers", "i-0", world.upstreams[0].entry(ENGINE, "zone-1", "v1", "ready"));
    wait_until("the upstream is listed again", async || {
        world.dump().await["upstreams"].as_array().is_some_and(|listed| listed.len() == 1)
    })
    .await;
    assert_eq!(world.runs(), 0, "nothing was sent");
});
