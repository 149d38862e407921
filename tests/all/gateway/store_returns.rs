//! A store that is restored from a copy some seconds old.
//!
//! Everything that it acknowledged since is lost, its row versions go back and are reused for other
//! rows. Operators and upstreams write their rows again; rows of the gateways are known only to the
//! gateways themselves.

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::CrashRule;
use stallhoist_standins::users_platform::StoreCopy;
use stallhoist_standins::users_platform::StoreStandin;

use super::fleet::Fleet;
use super::rollouts::ask_until;
use super::rollouts::order;
use super::rollouts::wait_for_rollout_record;
use super::rollouts::wait_for_status;
use super::rollouts::world as rollout_world;
use super::world::ENGINE;
use super::world::PLAIN;
use super::world::World;
use super::world::config;
use super::world::send;
use crate::case::case;
use crate::harness::wait_until;

/// Upstreams and operators have written their rows again after this time.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_800);

/// Until then, and a while longer, rows that are gone from the store are kept in use.
const SETTLED_AFTER: Duration = Duration::from_millis(6_500);

/// More writes than the row versions have gone back.
const MANY: usize = 60;

const FATAL: &str = "fatal";

/// Writes rows that mean nothing to gateways.
fn others_write(store: &StoreStandin) {
    for n in 0..MANY {
        store.put("op", &format!("other/{n}"), json!({}));
    }
}

/// The active configurations of the gateways.
async fn versions(fleet: &Fleet) -> Vec<u64> {
    let dumps = fleet.dumps().await;
    dumps.iter().filter_map(|dump| dump["config_version"].as_u64()).collect()
}

/// A configuration from before the restore stays active, and one that is written after it becomes
/// active, although gateways have seen its row version before.
async fn configurations_become_active(entries: usize) {
    let fleet = Fleet::of(entries).await;
    fleet.wait_until_listed().await;
    let copy = fleet.store.copy();
    others_write(&fleet.store);
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
    fleet.store.restore_from(copy);
    fleet.store.put("op", "config", config(3));
    for _ in 0..3 {
        others_write(&fleet.store);
    }
    wait_until("the newest configuration is active", async || {
        let versions = versions(&fleet).await;
        assert!(versions.iter().all(|version| *version >= 2), "{versions:?}");
        versions.iter().all(|version| *version == 3)
    })
    .await;
}

case!(configurations_become_active_at_one_gateway, configurations_become_active(1));
case!(configurations_become_active_at_seven_gateways, configurations_become_active(7));

// Two restores in a row, the second before all gateways have noticed the first.
case!(a_store_that_is_restored_twice, async {
    let fleet = Fleet::of(7).await;
    fleet.wait_until_listed().await;
    let first = fleet.store.copy();
    others_write(&fleet.store);
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
    fleet.store.restore_from(first);
    let second = fleet.store.copy();
    others_write(&fleet.store);
    fleet.store.put("op", "config", config(3));
    fleet.store.restore_from(second);
    fleet.store.put("op", "config", config(4));
    others_write(&fleet.store);
    fleet.wait_for_version(4).await;
});

// A reply that was delayed, or was relayed by a gateway that has not noticed the restore.
case!(a_reply_of_an_earlier_era_is_ignored, async {
    let fleet = Fleet::of(3).await;
    fleet.store.restore_from(fleet.store.copy());
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
    fleet.store.override_era(Some(0));
    fleet.store.put("op", "config", config(3));
    let calls = fleet.store.calls().len();
    wait_until("all have polled often", async || {
        assert_eq!(versions(&fleet).await, [2, 2, 2]);
        fleet.store.calls().len() > calls + MANY
    })
    .await;
    fleet.store.override_era(None);
    fleet.wait_for_version(3).await;
});

// Gateways write rows for themselves, which are lost with the rest.
case!(gateways_list_themselves_again, async {
    let fleet = Fleet::of(3).await;
    fleet.wait_until_listed().await;
    fleet.store.restore_from(StoreCopy::default());
    fleet.store.put("op", "config", config(2));
    fleet.wait_until_listed().await;
});

/// Restores the store. Operators and upstreams write again only after a while; callers send requests
/// until then and for a while longer.
async fn restore(
    world: &World,
    copy: StoreCopy,
    replay_writes: impl Fn(&StoreStandin),
    ask: impl AsyncFn(usize),
) {
    world.store.restore_from(copy);
    let began = Instant::now();
    let mut is_written = false;
    for n in 0.. {
        if !is_written && began.elapsed() >= WRITTEN_AGAIN_AFTER {
            replay_writes(&world.store);
            is_written = true;
        }
        if began.elapsed() >= SETTLED_AFTER {
            return;
        }
        ask(n).await;
    }
}

async fn ask_plain(world: &World, n: usize) {
    let request = world.request(Method::GET, "/safe/x", &format!("after-{n}"));
    let answer = send(request).await.expect("an answer");
    assert_eq!((n, answer.status), (n, 200));
}

/// Waits until this many upstreams are listed.
async fn wait_for_listed(world: &World, count: usize) {
    wait_until("the upstreams are listed", async || {
        world.dump().await["upstreams"].to_string().matches("Listed").count() == count
    })
    .await;
}

/// An upstream that was listed after the copy was made, and its row.
async fn with_one_listed_after_the_copy() -> (World, StoreCopy, Value) {
    let world = World::start(PLAIN, &[Behaviour::answer("done")]).await;
    world.store.remove("servers", "i-0");
    let copy = world.store.copy();
    let entry = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
    world.store.put("servers", "i-0", entry.clone());
    wait_for_listed(&world, 1).await;
    (world, copy, entry)
}

// It stays in use although its row is gone for two seconds.
case!(an_upstream_listed_after_the_copy_is_kept, async {
    let (world, copy, entry) = with_one_listed_after_the_copy().await;
    let replay_writes = |store: &StoreStandin| store.put("servers", "i-0", entry.clone());
    restore(&world, copy, replay_writes, async |n| ask_plain(&world, n).await).await;
});

// An upstream that has gone is dropped once it had time to be listed again.
case!(an_upstream_that_is_not_listed_again_is_dropped, async {
    let (world, copy, _) = with_one_listed_after_the_copy().await;
    world.store.restore_from(copy);
    wait_until("it is dropped", async || {
        !world.dump().await["upstreams"].to_string().contains("i-0")
    })
    .await;
});

case!(a_zone_emptied_after_the_copy_stays_emptied, async {
    let world = World::start(PLAIN, &vec![Behaviour::answer("done"); 2]).await;
    let other_zone = world.upstreams[1].entry(PLAIN, "zone-2", "v1", "ready");
    world.store.put("servers", "i-1", other_zone);
    let copy = world.store.copy();
    let empty = |store: &StoreStandin| store.put("op", "evacuate/zone-1", json!({}));
    empty(&world.store);
    wait_until("the zone is emptied", async || {
        world.dump().await["emptied_zones"].to_string().contains("zone-1")
    })
    .await;
    let before = world.upstreams[0].arrivals().len();
    restore(&world, copy, empty, async |n| ask_plain(&world, n).await).await;
    assert_eq!(world.upstreams[0].arrivals().len(), before);
});

/// Sends a stream in a session of its own and checks that it is served.
async fn ask_stream(world: &World, n: usize) {
    let request = world.stream(&format!("after-{n}")).header("Session", format!("after-{n}"));
    assert_eq!(send(request).await.expect("an answer").status, 200);
}

/// A rollout ends, and the store is restored from a copy that has its order but not its outcome, or
/// neither. No request may go to the losing version, and operators must see the outcome again.
async fn an_outcome_stays(new: Behaviour, end: &str, loser: usize, is_order_in_copy: bool) {
    let world = rollout_world(new).await;
    let duration_s = if end == "completed" { 3.0 } else { 600.0 };
    let before = world.store.copy();
    order(&world, duration_s);
    let ordered = world.store.copy();
    wait_for_status(&world, "running").await;
    ask_until(&world, end).await;
    wait_until("the gateway has read it", async || {
        let rollouts = world.dump().await["rollouts"].to_string();
        rollouts.contains(if end == "completed" { "completed" } else { "rolled-back" })
    })
    .await;
    let lost = world.upstreams[loser].runs();
    let copy = if is_order_in_copy { ordered } else { before };
    let replay_writes = |_: &StoreStandin| {
        if !is_order_in_copy {
            order(&world, duration_s);
        }
    };
    restore(&world, copy, replay_writes, async |n| ask_stream(&world, n).await).await;
    assert_eq!(world.upstreams[loser].runs(), lost);
    // Operators see the outcome again.
    wait_for_status(&world, end).await;
}

case!(a_completed_rollout_is_not_restarted, {
    an_outcome_stays(Behaviour::stream(2), "completed", 0, true)
});

case!(a_completed_rollout_whose_order_is_written_again_is_not_restarted, {
    an_outcome_stays(Behaviour::stream(2), "completed", 0, false)
});

case!(a_version_that_was_rolled_back_stays_out, {
    an_outcome_stays(Behaviour::Fail, "rolled_back", 2, true)
});

case!(a_version_that_was_rolled_back_stays_out_when_its_order_is_written_again, {
    an_outcome_stays(Behaviour::Fail, "rolled_back", 2, false)
});

// A new order is followed in any era.
case!(a_new_order_after_the_restore_is_followed, async {
    let world = rollout_world(Behaviour::stream(2)).await;
    let copy = world.store.copy();
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    wait_for_rollout_record(&world).await;
    world.store.restore_from(copy);
    order(&world, 3.0);
    ask_until(&world, "completed").await;
});

// A rollout in progress continues where it was.
case!(a_rollout_in_progress_continues, async {
    let world = rollout_world(Behaviour::stream(2)).await;
    let before = world.store.copy();
    order(&world, 600.0);
    wait_for_status(&world, "running").await;
    wait_for_rollout_record(&world).await;
    let record = || world.store.get("stallhoist-rollouts", ENGINE);
    let known = record();
    let replay_writes = |_: &StoreStandin| order(&world, 600.0);
    restore(&world, before, replay_writes, async |n| ask_stream(&world, n).await).await;
    wait_until("the record is back", async || record() == known).await;
});

case!(a_request_quarantined_after_the_copy_stays_so, async {
    let world = World::start(PLAIN, &vec![Behaviour::answer("done"); 6]).await;
    for upstream in &world.upstreams {
        upstream.crash_on(CrashRule::of(FATAL), world.store.writer(), PLAIN);
    }
    wait_for_listed(&world, 6).await;
    let copy = world.store.copy();
    let ask = async |n: usize| {
        let request = world.request(Method::POST, "/once/x", &format!("fatal-{n}")).body(FATAL);
        send(request).await.map_or(0, |answer| answer.status)
    };
    let rows = || -> Vec<Value> { world.store.table("stallhoist-fatal-requests") };
    for n in 0..3 {
        assert_eq!(ask(n).await, 502);
    }
    wait_until("the store has it", async || rows().len() == 1).await;
    world.store.restore_from(copy);
    wait_until("the store has it again", async || {
        let status = ask(rand::random_range(10..1_000_000)).await;
        assert!(status == 503 || status == 502, "{status}");
        rows().len() == 1
    })
    .await;
    let ends: usize = world.upstreams.iter().map(|upstream| upstream.ends().len()).sum();
    assert!(ends <= 4, "{ends} upstreams have crashed");
});
