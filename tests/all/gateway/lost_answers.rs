//! Follow calls whose answer is lost, as their connection says nothing more while new ones work.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::StoreSettings;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Behaviour;

use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

/// From then on after the store's last disruption, all that it has acknowledged must be active.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// A gateway with the default settings, and its link to the store.
struct Followed {
    world: World,
    link: FaultProxy,
}

impl Followed {
    async fn start() -> Self {
        let mut world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
        let link = FaultProxy::start(world.store.addr()).await.expect("a proxy starts");
        let store = StoreSettings { addr: link.addr().to_string(), ..StoreSettings::default() };
        let settings = GatewaySettings { store, ..GatewaySettings::default() };
        world.gateway = start_gateway_with(settings).await;
        world.wait_until_ready().await;
        Self { world, link }
    }

    /// Loses the answers of all calls that are under way, just after one on this table has begun.
    async fn lose_answers(&self, table: &str) {
        let count = || self.world.store.calls().iter().filter(|call| call.contains(table)).count();
        let before = count();
        wait_until("the next call begins", async || count() > before).await;
        self.link.silence();
    }

    /// Waits until the state dump shows a change, for no longer than the contact time.
    async fn expect_soon(&self, is_shown: impl Fn(&Value) -> bool) {
        let lost = Instant::now();
        wait_until("the change is active", async || is_shown(&self.world.dump().await)).await;
        assert!(lost.elapsed() < CONTACT_TIME, "it took {:?}", lost.elapsed());
    }
}

// Callers were served by the old service of a route that had been moved 3.3 s before.
case!(a_configuration_whose_answer_is_lost_is_active_within_the_contact_time, async {
    let followed = Followed::start().await;
    followed.lose_answers("rows-feed?table=op&").await;
    followed.world.store.put("op", "config", config(5));
    followed.expect_soon(|dump| dump["config_version"] == 5).await;
});

// Requests are sent to an upstream that has announced its end.
case!(a_draining_upstream_whose_answer_is_lost_is_known_within_the_contact_time, async {
    let followed = Followed::start().await;
    followed.lose_answers("rows-feed?table=servers&").await;
    let upstream = &followed.world.upstreams[0];
    let row = upstream.entry(PLAIN, "zone-1", "v1", "draining");
    followed.world.store.put("servers", "i-0", row);
    let is_leaving = |dump: &Value| dump["upstreams"].to_string().contains("Leaving");
    followed.expect_soon(is_leaving).await;
});
