//! Suspended hosts, on which the steady clock and all timers stand still.
//!
//! Each test covers a row of the table in `docs/design/suspension.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::json;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::SimulatedSuspensions;
use stallhoist_core::MonoTime;
use stallhoist_gateway::Gateway;
use stallhoist_gateway::GatewayParts;
use stallhoist_gateway::control_store::Feed;
use stallhoist_gateway::suspend_recovery::ResyncState;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::Direction;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_users_platform::PlatformDialect;
use stallhoist_users_platform::PlatformStore;

use super::world::ENGINE;
use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::send;
use super::world::settings;
use crate::case::case;
use crate::harness::wait_until;

/// Longer than any timeout.
const GAP: Duration = Duration::from_secs(30);

/// Upper bound for what must not wait for a timer that stood still.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// A gateway whose host can be suspended, and its link to the store.
struct Suspended {
    world: World,
    link: FaultProxy,
    host: SimulatedSuspensions,
}

impl Suspended {
    async fn start(behaviour: Behaviour) -> Self {
        Self::start_for(PLAIN, behaviour).await
    }

    async fn start_for(service: &str, behaviour: Behaviour) -> Self {
        let mut world = World::start(service, &[behaviour]).await;
        let link = FaultProxy::start(world.store.addr()).await.expect("a proxy starts");
        let host = SimulatedSuspensions::default();
        let mut settings = settings(&world.store);
        settings.store.addr = link.addr().to_string();
        // A call waits for changes for longer than the test.
        settings.store.follow_wait_ms = 20_000;
        world.gateway = start(settings, host.clone()).await;
        world.wait_until_ready().await;
        Self { world, link, host }
    }

    /// Sends a request and returns the status.
    async fn send_request(&self) -> u16 {
        let request = self.world.request(Method::POST, "/once/x", "id-1").body("x");
        send(request).await.expect("an answer").status
    }

    /// Number of calls on the operators' feed that have reached the store.
    fn follow_calls(&self) -> usize {
        let calls = self.world.store.calls();
        calls.iter().filter(|call| call.contains("rows-feed?table=op&")).count()
    }
}

async fn start(settings: GatewaySettings, host: SimulatedSuspensions) -> Gateway {
    let client = PlatformStore::new(&settings.store).expect("the client starts");
    let clock = ProcessClock::start_with(host);
    let parts =
        GatewayParts { clock, ..GatewayParts::new(Arc::new(PlatformDialect), Arc::new(client)) };
    Gateway::start_with(settings, parts).await.expect("the gateway starts")
}

// A key was revoked meanwhile, and the store does not respond at once.
case!(an_outdated_configuration_is_not_trusted, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    assert_eq!(suspended.send_request().await, 200);
    suspended.link.hold(Direction::ToListener);
    let mut without_key = config(2);
    without_key["tenants"][0]["api_keys"] = json!(["another-key"]);
    suspended.world.store.put("op", "config", without_key);
    suspended.host.add(GAP);
    assert_eq!(suspended.send_request().await, 503);
    suspended.link.heal();
    wait_until("the key is rejected", async || suspended.send_request().await == 401).await;
});

// Idle connections are dead without notice; new ones can be opened. In one of seven runs the call
// on the operators' feed used a dead connection and waited there for 20 s.
case!(dead_connections_do_not_delay_updates, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    suspended.link.silence();
    let mut without_key = config(2);
    without_key["tenants"][0]["api_keys"] = json!(["another-key"]);
    suspended.world.store.put("op", "config", without_key);
    suspended.host.add(GAP);
    let woken = Instant::now();
    wait_until("the key is rejected", async || {
        let status = suspended.send_request().await;
        assert_ne!(status, 200, "a revoked key was accepted");
        status == 401
    })
    .await;
    assert!(woken.elapsed() < 2 * MAX_DELAY, "{:?}", woken.elapsed());
});

// While the store stays unavailable, the gateway serves with its known state, as it does without a
// suspension.
case!(a_gateway_without_updates_serves_again, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    suspended.link.hold(Direction::ToListener);
    suspended.host.add(GAP);
    assert_eq!(suspended.send_request().await, 503);
    wait_until("the gateway serves", async || suspended.send_request().await == 200).await;
});

// The pending call may have returned long ago, or its connection may be dead.
case!(pending_calls_are_repeated, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    wait_until("a call is pending", async || suspended.follow_calls() > 0).await;
    let before = suspended.follow_calls();
    let woken = Instant::now();
    suspended.host.add(GAP);
    wait_until("the call is repeated", async || suspended.follow_calls() > before).await;
    assert!(woken.elapsed() < MAX_DELAY, "{:?}", woken.elapsed());
    wait_until("the gateway serves", async || suspended.send_request().await == 200).await;
});

case!(a_request_suspended_past_its_deadline_ends, async {
    let suspended = Suspended::start(Behaviour::Hang).await;
    let request = async { (suspended.send_request().await, Instant::now()) };
    let suspend = async {
        wait_until("the request runs", async || suspended.world.runs() == 1).await;
        suspended.host.add(GAP);
        Instant::now()
    };
    let ((status, ended), woken) = futures_util::future::join(request, suspend).await;
    assert_eq!(status, 504);
    assert!(ended - woken < MAX_DELAY, "{:?}", ended - woken);
});

// Its caller has left by then: the upstream must not go on generating.
case!(a_stream_suspended_past_its_deadline_is_stopped_at_its_upstream, async {
    let slow = Behaviour::Stream {
        events: 100,
        pause: Duration::from_millis(2_000),
        confidence: None,
        truncate_after: None,
    };
    let suspended = Suspended::start_for(ENGINE, slow).await;
    let mut config = config(2);
    config["routes"][3]["timeout_ms"] = json!(20_000);
    suspended.world.store.put("op", "config", config);
    let is_in_force = async || suspended.world.dump().await["config_version"] == 2;
    wait_until("the configuration is in force", is_in_force).await;
    let request = async {
        let request = suspended.world.once_stream_within("id-1", 20_000);
        let answer = send(request).await;
        (answer.expect("an answer"), Instant::now())
    };
    let suspend = async {
        let has_begun = async || {
            let metrics = suspended.world.metrics().await;
            metrics.contains("stallhoist_first_part_seconds_count 1")
        };
        wait_until("the stream has begun", has_begun).await;
        suspended.host.add(GAP);
        Instant::now()
    };
    let ((answer, ended), woken) = futures_util::future::join(request, suspend).await;
    assert!(!answer.is_whole);
    assert!(ended - woken < Duration::from_millis(1_000), "{:?}", ended - woken);
    let is_abandoned = async || suspended.world.upstreams[0].abandoned() == 1;
    wait_until("the upstream sees the close", is_abandoned).await;
});

// The platform kills by wall-clock time.
case!(a_planned_stop_suspended_past_its_grace_ends, async {
    let suspended = Suspended::start(Behaviour::Hang).await;
    let request = suspended.world.request(Method::POST, "/once/x", "id-1").body("x");
    let request = tokio::spawn(send(request));
    wait_until("the request runs", async || suspended.world.runs() == 1).await;
    let Suspended { world, host, link: _link } = suspended;
    let leaving = world.gateway.leave();
    host.add(GAP);
    let woken = Instant::now();
    // The platform does not query readiness any more.
    leaving.wait_for_balancer().await.finish().await;
    assert!(woken.elapsed() < 2 * MAX_DELAY, "{:?}", woken.elapsed());
    request.abort();
});

fn at_ms(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

#[test]
fn a_resync_lasts_until_both_feeds_are_received() {
    let mut resync = ResyncState::since(at_ms(0));
    assert!(resync.is_pending(at_ms(0)));
    resync.mark_received(Feed::Entries);
    resync.mark_received(Feed::Operators);
    assert!(resync.is_pending(at_ms(1)));
    resync.mark_received(Feed::Members);
    assert!(!resync.is_pending(at_ms(1)));
}

#[test]
fn a_resync_has_a_time_limit() {
    let resync = ResyncState::since(at_ms(0));
    assert!(resync.is_pending(at_ms(2_999)));
    assert!(!resync.is_pending(at_ms(3_000)));
}

#[test]
fn the_clock_advances_while_the_host_is_suspended() {
    let host = SimulatedSuspensions::default();
    let clock = ProcessClock::start_with(host.clone());
    host.add(GAP);
    let elapsed = clock.now().since(at_ms(0));
    assert!(elapsed >= GAP && elapsed < GAP + MAX_DELAY, "{elapsed:?}");
    assert!(clock.suspended() >= GAP);
    // Sleeps are measured by the steady clock, from now on.
    let due = clock.now().after(MAX_DELAY);
    assert!(clock.instant(due) <= Instant::now() + MAX_DELAY);
}
