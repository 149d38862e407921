//! Hosts that are suspended: the steady clock stands still meanwhile, and so do all timers.
//!
//! Each test is on a row of the table in `docs/design/suspension.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::json;
use stallhoist_coordination::ProcessClock;
use stallhoist_coordination::SimulatedSuspensions;
use stallhoist_core::MonoTime;
use stallhoist_gateway::Gateway;
use stallhoist_gateway::control_store::Feed;
use stallhoist_gateway::suspend_recovery::ResyncState;
use stallhoist_settings::GatewaySettings;
use stallhoist_standins::Direction;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_users_platform::PlatformDialect;
use stallhoist_users_platform::PlatformStore;

use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::send;
use super::world::settings;
use crate::case::case;
use crate::harness::wait_until;

/// Longer than anything may last.
const GAP: Duration = Duration::from_secs(30);

/// What must not wait for a timer that stood still is here in less.
const SOON: Duration = Duration::from_secs(2);

/// A gateway whose host can be suspended, and its link to the store.
struct Suspended {
    world: World,
    link: FaultProxy,
    host: SimulatedSuspensions,
}

impl Suspended {
    async fn start(behaviour: Behaviour) -> Self {
        let mut world = World::start(PLAIN, &[behaviour]).await;
        let link = FaultProxy::start(world.store.addr()).await.expect("a proxy starts");
        let host = SimulatedSuspensions::default();
        let mut settings = settings(&world.store);
        settings.store.addr = link.addr().to_string();
        // A question waits for news for longer than the test.
        settings.store.follow_wait_ms = 20_000;
        world.gateway = start(settings, host.clone()).await;
        world.wait_until_ready().await;
        Self { world, link, host }
    }

    /// The status that a caller gets.
    async fn ask(&self) -> u16 {
        let request = self.world.request(Method::POST, "/once/x", "id-1").body("x");
        send(request).await.expect("an answer").status
    }

    /// So many questions about what operators write have reached the store.
    fn questions(&self) -> usize {
        let calls = self.world.store.calls();
        calls.iter().filter(|call| call.contains("rows-feed?table=op&")).count()
    }
}

async fn start(settings: GatewaySettings, host: SimulatedSuspensions) -> Gateway {
    let client = PlatformStore::new(&settings.store).expect("the client starts");
    let clock = ProcessClock::start_with(host);
    Gateway::start_with_clock(settings, Arc::new(PlatformDialect), Arc::new(client), clock)
        .await
        .expect("the gateway starts")
}

// A key was taken away meanwhile, and the store does not answer at once.
case!(an_old_configuration_and_its_keys_are_not_trusted, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    assert_eq!(suspended.ask().await, 200);
    suspended.link.hold(Direction::ToListener);
    let mut keyless = config(2);
    keyless["tenants"][0]["api_keys"] = json!(["another-key"]);
    suspended.world.store.put("op", "config", keyless);
    suspended.host.add(GAP);
    assert_eq!(suspended.ask().await, 503);
    suspended.link.heal();
    wait_until("the key is refused", async || suspended.ask().await == 401).await;
});

// Connections at rest are gone, and do not say so; new ones come up. One in seven times the question about
// what operators write went out on such a one, and waited there for news for 20 s.
case!(connections_that_are_gone_do_not_keep_it_from_hearing, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    suspended.link.silence();
    let mut keyless = config(2);
    keyless["tenants"][0]["api_keys"] = json!(["another-key"]);
    suspended.world.store.put("op", "config", keyless);
    suspended.host.add(GAP);
    let woken = Instant::now();
    wait_until("the key is refused", async || {
        let status = suspended.ask().await;
        assert_ne!(status, 200, "an old key was believed");
        status == 401
    })
    .await;
    assert!(woken.elapsed() < 2 * SOON, "{:?}", woken.elapsed());
});

// With the store away for longer it serves with what it knows, as it does without a suspension.
case!(an_entry_that_hears_nothing_serves_again, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    suspended.link.hold(Direction::ToListener);
    suspended.host.add(GAP);
    assert_eq!(suspended.ask().await, 503);
    wait_until("it serves", async || suspended.ask().await == 200).await;
});

// The question that was under way may have been answered long ago, or its connection be gone.
case!(questions_under_way_are_asked_anew, async {
    let suspended = Suspended::start(Behaviour::answer("done")).await;
    wait_until("a question waits", async || suspended.questions() > 0).await;
    let before = suspended.questions();
    let woken = Instant::now();
    suspended.host.add(GAP);
    wait_until("it is asked anew", async || suspended.questions() > before).await;
    assert!(woken.elapsed() < SOON, "{:?}", woken.elapsed());
    wait_until("it serves", async || suspended.ask().await == 200).await;
});

case!(a_request_that_slept_over_its_deadline_ends, async {
    let suspended = Suspended::start(Behaviour::Hang).await;
    let asked = async { (suspended.ask().await, Instant::now()) };
    let suspend = async {
        wait_until("it runs", async || suspended.world.runs() == 1).await;
        suspended.host.add(GAP);
        Instant::now()
    };
    let ((status, ended), woken) = futures_util::future::join(asked, suspend).await;
    assert_eq!(status, 504);
    assert!(ended - woken < SOON, "{:?}", ended - woken);
});

// The platform kills by the time that has passed.
case!(a_planned_stop_that_slept_over_its_grace_ends, async {
    let suspended = Suspended::start(Behaviour::Hang).await;
    let request = suspended.world.request(Method::POST, "/once/x", "id-1").body("x");
    let asked = tokio::spawn(send(request));
    wait_until("it runs", async || suspended.world.runs() == 1).await;
    let Suspended { world, host, link: _link } = suspended;
    let leaving = world.gateway.leave();
    host.add(GAP);
    let woken = Instant::now();
    // The platform asks no more.
    leaving.wait_for_balancer().await.finish().await;
    assert!(woken.elapsed() < 2 * SOON, "{:?}", woken.elapsed());
    asked.abort();
});

fn at_ms(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

#[test]
fn an_entry_catches_up_until_it_has_heard_of_both() {
    let mut resync = ResyncState::since(at_ms(0));
    assert!(resync.is_pending(at_ms(0)));
    resync.mark_received(Feed::Entries);
    resync.mark_received(Feed::Operators);
    assert!(resync.is_pending(at_ms(1)));
    resync.mark_received(Feed::Members);
    assert!(!resync.is_pending(at_ms(1)));
}

#[test]
fn it_waits_no_longer_than_it_must() {
    let resync = ResyncState::since(at_ms(0));
    assert!(resync.is_pending(at_ms(2_999)));
    assert!(!resync.is_pending(at_ms(3_000)));
}

#[test]
fn the_clock_goes_on_while_the_host_is_suspended() {
    let host = SimulatedSuspensions::default();
    let clock = ProcessClock::start_with(host.clone());
    host.add(GAP);
    let elapsed = clock.now().since(at_ms(0));
    assert!(elapsed >= GAP && elapsed < GAP + SOON, "{elapsed:?}");
    assert!(clock.suspended() >= GAP);
    // What is slept for is counted by the steady clock, from now on.
    let due = clock.now().after(SOON);
    assert!(clock.instant(due) <= Instant::now() + SOON);
}
