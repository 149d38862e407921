//! Headers of requests to upstreams and of responses to callers.

use reqwest::Method;
use stallhoist_standins::users_platform::Behaviour;

use super::world::KEY;
use super::world::PLAIN;
use super::world::World;
use super::world::send;
use crate::case::case;

async fn world() -> World {
    World::start(PLAIN, &[Behaviour::answer("done")]).await
}

case!(the_request_is_forwarded_unchanged, async {
    let world = world().await;
    let request = world.request(Method::POST, "/once/x?a=b%20c", "id-1").body("a body");
    let answer = send(request.header("X-Own", "kept")).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
    assert_eq!(answer.header("response-seal"), "seal.1");
    let arrival = world.upstreams[0].arrivals().remove(0);
    assert_eq!(arrival.line, "POST /once/x?a=b%20c");
    assert_eq!(arrival.header("request-id"), "id-1");
    assert_eq!(arrival.header("x-own"), "kept");
    assert_eq!(&arrival.body[..], b"a body");
});

case!(upstream_workspace_and_remaining_time_are_added, async {
    let world = world().await;
    send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    let arrival = world.upstreams[0].arrivals().remove(0);
    assert_eq!(arrival.header("expect-instance"), "i-0");
    assert_eq!(arrival.header("tenant"), "workspace-1");
    let left_ms: u64 = arrival.header("deadline-ms").parse().expect("a number");
    assert!((1..=4_000).contains(&left_ms), "{left_ms}");
});

case!(the_key_is_not_forwarded, async {
    let world = world().await;
    send(world.request(Method::GET, "/safe/x", "id-1")).await.expect("an answer");
    let arrival = world.upstreams[0].arrivals().remove(0);
    assert!(!format!("{:?}", arrival.headers).contains(KEY));
});

/// Checks that a caller's value of a header that only the gateway may set is not forwarded.
macro_rules! not_forwarded {
    ($name:ident, $header:expr) => {
        case!($name, async {
            let world = world().await;
            let request = world.request(Method::GET, "/safe/x", "id-1");
            send(request.header($header, "forged")).await.expect("an answer");
            let arrival = world.upstreams[0].arrivals().remove(0);
            assert_ne!(arrival.header($header), "forged");
        });
    };
}

not_forwarded!(forged_tenant, "tenant");
not_forwarded!(forged_hold, "hold");
not_forwarded!(forged_pin, "pin-ms");
not_forwarded!(forged_backup, "kv-backup");
not_forwarded!(forged_kv_source, "kv-from");
not_forwarded!(forged_fetch, "kv-fetch");
not_forwarded!(forged_instance, "expect-instance");
not_forwarded!(forged_version, "expect-version");
not_forwarded!(forged_priority, "priority");
not_forwarded!(hop_by_hop_te, "te");

case!(headers_listed_in_connection_are_not_forwarded, async {
    let world = world().await;
    let request = world.request(Method::GET, "/safe/x", "id-1");
    let request = request.header("Connection", "x-mine").header("X-Mine", "hop");
    send(request).await.expect("an answer");
    assert_eq!(world.upstreams[0].arrivals()[0].header("x-mine"), "");
});

case!(the_model_is_selected_only_where_the_caller_names_none, async {
    let world = World::start(super::world::ENGINE, &[Behaviour::stream(2)]).await;
    send(world.stream("id-1")).await.expect("an answer");
    let named = world.request(Method::POST, "/stream/x", "id-2").header("Model", "middle");
    send(named.body("a prompt")).await.expect("an answer");
    let models: Vec<_> =
        world.upstreams[0].arrivals().iter().map(|a| a.header("model").to_owned()).collect();
    assert_eq!(models, ["small", "middle"]);
});
