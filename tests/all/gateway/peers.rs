//! Exchange of data and state between gateways.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use stallhoist_gateway::Gateway;
use stallhoist_gateway::sessions::SessionKey;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_standins::Direction;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreFault;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::fleet::ENTRIES;
use super::fleet::Fleet;
use super::fleet::session;
use super::world::ENGINE;
use super::world::KEY;
use super::world::config;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

/// Identifies the calls of gateways that were started later by their wait.
const LONG_WAIT_MS: u64 = 777;

/// Store calls of all gateways, each of which makes several per second.
const CALLS_WHILE_UNAVAILABLE: usize = 60;

case!(three_gateways_follow_the_store_for_all, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
});

case!(gateways_whose_relays_are_gone_query_the_store, async {
    let mut fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let dumps = fleet.dumps().await;
    let mut relays = dumps.iter().map(|dump| dump["news_from"]["Operators"] == "store");
    fleet.entries.retain(|_| !relays.next().unwrap_or_default());
    assert_eq!(fleet.entries.len(), ENTRIES - 3);
    fleet.store.put("op", "config", config(3));
    fleet.wait_for_version(3).await;
});

// Four gateways saw seven responses each of a version that was slow, and none of them detected it
// by itself.
case!(gateways_of_a_small_fleet_pool_their_evidence, async {
    const SAMPLES_PER_GATEWAY: usize = 3;
    let old = UpstreamStandin::start("i-old", Behaviour::stream(1)).await.expect("it starts");
    let new = UpstreamStandin::start("i-new", Behaviour::Fail).await.expect("it starts");
    let fleet = Fleet::of(3).await;
    fleet.store.put("servers", "i-old", old.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.store.put("servers", "i-new", new.entry(ENGINE, "zone-1", "v2", "ready"));
    wait_until("all gateways are listed", async || {
        (0..3).all(|n| fleet.store.get("stallhoist-entries", &format!("entry-{n}")).is_some())
    })
    .await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    fleet.wait_for_rollout_record().await;
    // At each gateway in turn, until the new version has received a few more requests.
    for entry in &fleet.entries {
        let target = new.runs() + SAMPLES_PER_GATEWAY;
        let mut n = 0;
        while new.runs() < target && !is_rolled_back(&fleet.store) {
            n += 1;
            assert!(n < 2_000, "the new version got {} of {target}", new.runs());
            let url = format!("http://{}/stream/x", entry.callers_addr());
            let request = fleet.http.post(url).header("Host", "test.example").bearer_auth(KEY);
            let request = request.header("Request-Id", format!("id-{n}")).header("Model", "*");
            assert_eq!(request.send().await.expect("an answer").status(), 200);
        }
    }
    wait_until("the version is rolled back", async || is_rolled_back(&fleet.store)).await;
    assert!(new.runs() <= 3 * SAMPLES_PER_GATEWAY);
});

// Each relay is told by a part of the gateways only. None of these parts suffices for a decision.
case!(gateways_of_a_large_fleet_pool_their_evidence, async {
    const GATEWAYS: usize = 9;
    let old = UpstreamStandin::start("i-old", Behaviour::stream(1)).await.expect("it starts");
    let new = UpstreamStandin::start("i-new", Behaviour::Fail).await.expect("it starts");
    let fleet = Fleet::of(GATEWAYS).await;
    fleet.store.put("servers", "i-old", old.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.store.put("servers", "i-new", new.entry(ENGINE, "zone-1", "v2", "ready"));
    fleet.wait_until_listed().await;
    fleet.wait_for_direct_readers(3).await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    fleet.wait_for_rollout_record().await;
    let dumps = fleet.dumps().await;
    let is_poller = |dump: &Value| dump["news_from"]["Operators"] != "store";
    let pollers = fleet.entries.iter().zip(&dumps).filter(|(_, dump)| is_poller(dump));
    for (n, (entry, _)) in pollers.enumerate() {
        fail_once(&fleet, entry, n, &new).await;
    }
    assert_eq!(new.runs(), GATEWAYS - 3);
    wait_until("the version is rolled back", async || is_rolled_back(&fleet.store)).await;
    assert_eq!(new.runs(), GATEWAYS - 3);
});

/// Sends requests to the n-th gateway until the new version has received one more.
async fn fail_once(fleet: &Fleet, entry: &Gateway, n: usize, new: &UpstreamStandin) {
    let target = new.runs() + 1;
    let mut sent = 0;
    while new.runs() < target {
        sent += 1;
        assert!(sent < 2_000, "the new version got {} of {target}", new.runs());
        let url = format!("http://{}/stream/x", entry.callers_addr());
        let request = fleet.http.post(url).header("Host", "test.example").bearer_auth(KEY);
        let request = request.header("Request-Id", format!("id-{n}-{sent}")).header("Model", "*");
        assert_eq!(request.send().await.expect("an answer").status(), 200);
    }
}

// A gateway started in a burst has seen no upstream as idle as those of the new version. It counted
// none of its slow responses as slow, and its evidence diluted that of its peers.
case!(baseline_latencies_are_sent_to_gateways_that_lack_them, async {
    const SESSIONS: usize = 40;
    let old = UpstreamStandin::start("i-old", Behaviour::stream(1)).await.expect("it starts");
    let fleet = Fleet::of(3).await;
    fleet.store.put("servers", "i-old", old.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.wait_for_direct_readers(3).await;
    wait_until("the upstream is known", async || fleet.knows_upstream("i-old").await).await;
    fleet.send_in_sessions(0, "first", SESSIONS).await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    wait_until("the peers know its baseline latencies", async || {
        let dumps = fleet.dumps().await;
        let knows = |dump: &Value| dump["usual_times"].to_string().contains("First route=stream");
        dumps.iter().all(knows)
    })
    .await;
});

// The hash of a session that began before the order falls into the share of the new version. It
// moves to another gateway, which must have learnt that it stays on the old version.
case!(a_session_that_moves_to_another_gateway_keeps_its_version, async {
    const SESSIONS: usize = 150;
    let old = UpstreamStandin::start("i-old", Behaviour::stream(1)).await.expect("it starts");
    let new = UpstreamStandin::start("i-new", Behaviour::stream(1)).await.expect("it starts");
    let fleet = Fleet::start().await;
    fleet.store.put("servers", "i-old", old.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.wait_for_direct_readers(3).await;
    fleet.send_in_sessions(0, "first", SESSIONS).await;
    fleet.store.put("servers", "i-new", new.entry(ENGINE, "zone-1", "v2", "ready"));
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    let in_share = (0..SESSIONS).filter(|n| in_canary_share(&session(*n))).count();
    assert!(in_share > 0, "the sessions are enough for some to be in the share");
    wait_until("all gateways know which sessions stay", async || {
        let dumps = fleet.dumps().await;
        dumps[1..].iter().all(|dump| dump["sessions_told"] == in_share)
    })
    .await;
    for entry in 1..ENTRIES {
        let name = format!("entry-{entry}");
        fleet.send_in_sessions(entry, &name, SESSIONS).await;
    }
    assert_eq!(new.runs(), 0, "sessions changed their version");
});

fn in_canary_share(session: &str) -> bool {
    SessionKey::of(session).unit() < RolloutConfig::default().canary_share
}

fn is_rolled_back(store: &StoreStandin) -> bool {
    let status = store.get("status", "rollout/engine");
    status.is_some_and(|status| status["state"] == "rolled_back")
}

// An unavailable store does not prevent a gateway from starting: its peers send what they last
// knew.
async fn starts_despite(fault: StoreFault) {
    let upstream = UpstreamStandin::start("i-0", Behaviour::stream(1)).await.expect("it starts");
    let mut fleet = Fleet::start().await;
    fleet.store.put("servers", "i-0", upstream.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.wait_for_direct_readers(3).await;
    let seeds: Vec<_> = (0..ENTRIES).map(|n| fleet.peers_addr(n)).collect();
    wait_until("all know the upstream", async || {
        let dumps = fleet.dumps().await;
        dumps.iter().all(|dump| dump["upstreams"].as_array().is_some_and(|l| l.len() == 1))
    })
    .await;
    fleet.store.set_fault(Some(fault));
    for (n, seed) in (ENTRIES..).zip(seeds) {
        let mut settings = settings(&fleet.store);
        settings.host.id = format!("entry-{n}").parse().expect("a name");
        settings.seeds = vec!["127.0.0.1:1".to_owned(), seed];
        settings.store.follow_wait_ms = LONG_WAIT_MS;
        fleet.entries.push(start_gateway_with(settings).await);
    }
    wait_until("all that started are ready", async || {
        fleet.dumps().await.iter().all(|dump| dump["is_ready"] == true)
    })
    .await;
    for entry in ENTRIES..fleet.entries.len() {
        assert_eq!(fleet.send_in_session(entry, &format!("at-{entry}"), 1).await, 200);
    }
    // An unavailable store must not be waited for long, else its recovery is noticed too late: a
    // configuration became active 2.5 s after it was accepted.
    let expected_calls = fleet.store.calls().len() + CALLS_WHILE_UNAVAILABLE;
    wait_until("the store is queried", async || fleet.store.calls().len() > expected_calls).await;
    let long_wait = format!("wait_ms={LONG_WAIT_MS}");
    assert!(!fleet.store.calls().iter().any(|call| call.contains(&long_wait)));
    fleet.store.put("op", "config", config(5));
    fleet.store.set_fault(None);
    fleet.wait_for_version(5).await;
}

case!(a_gateway_that_starts_while_the_store_rejects_calls_polls_a_seed, async {
    starts_despite(StoreFault::Status(503)).await;
});

case!(a_gateway_that_starts_while_the_store_is_silent_polls_a_seed, async {
    starts_despite(StoreFault::Silent).await;
});

// When a fleet of 103 started, it made 1,133 of the 1,827 store calls of a fault-free day in its
// first two seconds: no gateway knew any other, so that each one read everything itself and
// followed it until the list of gateways had arrived.
case!(gateways_that_start_together_poll_a_seed, async {
    const TOGETHER: usize = 20;
    let mut fleet = Fleet::of(1).await;
    wait_until("the seed is listed", async || fleet.listed() == 1).await;
    let seed = fleet.peers_addr(0);
    let entries = (1..=TOGETHER).map(|n| {
        let mut settings = settings(&fleet.store);
        settings.host.id = format!("entry-{n}").parse().expect("a name");
        settings.seeds = vec![seed.clone()];
        start_gateway_with(settings)
    });
    let entries = join_all(entries).await;
    fleet.entries.extend(entries);
    wait_until("all are ready", async || {
        fleet.dumps().await.iter().all(|dump| dump["is_ready"] == true)
    })
    .await;
    let calls = fleet.store.calls();
    let whole_reads = calls.iter().filter(|call| call.contains("rows-get")).count();
    assert!(whole_reads <= 4 * 4, "{whole_reads} reads of whole feeds by {TOGETHER} gateways");
});

// After a power loss some hosts are up before those of the seeds, which are silent. Gateways waited
// for them for up to 0.8 s, although the store responded within milliseconds.
case!(startup_does_not_wait_for_silent_seeds, async {
    // Waiting for two seeds one after the other takes longer.
    const MAX_STARTUP: Duration = Duration::from_millis(1_000);
    let mut fleet = Fleet::of(1).await;
    wait_until("it is listed", async || fleet.listed() == 1).await;
    let seed_addr = fleet.peers_addr(0).parse().expect("an address");
    let mut seeds = Vec::new();
    for _ in 0..2 {
        let seed = FaultProxy::start(seed_addr).await.expect("a proxy starts");
        seed.hold(Direction::ToListener);
        seeds.push(seed);
    }
    let mut settings = settings(&fleet.store);
    settings.host.id = "entry-1".parse().expect("a name");
    settings.seeds = seeds.iter().map(|seed| seed.addr().to_string()).collect();
    let started = Instant::now();
    fleet.entries.push(start_gateway_with(settings).await);
    wait_until("it is ready", async || fleet.dumps().await[1]["is_ready"] == true).await;
    assert!(started.elapsed() < MAX_STARTUP, "after {:?}", started.elapsed());
});

// The relays' copies are stale, so they respond that they have none.
case!(updates_arrive_after_an_outage_of_the_whole_fleet, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    fleet.store.set_fault(Some(StoreFault::Status(503)));
    fleet.store.put("op", "config", config(4));
    fleet.wait_for_direct_readers(3).await;
    fleet.store.set_fault(None);
    fleet.wait_for_version(4).await;
});

// A gateway that polls a relay accepted a revoked key for 2.02 s: its relay had been cut off from
// the store, its copy was still fresh when the poll arrived, and it reported the copy stale only at
// the end of the wait, a second later.
case!(updates_arrive_in_time_while_the_relays_are_cut_off_from_the_store, async {
    // A copy is fresh for 1.5 s; the bound on a configuration is 2 s.
    const BOUND: Duration = Duration::from_millis(1_800);
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let dumps = fleet.dumps().await;
    let is_relay: Vec<_> =
        dumps.iter().map(|dump| dump["news_from"]["Operators"] == "store").collect();
    for (link, _) in fleet.store_links.iter().zip(&is_relay).filter(|(_, follows)| **follows) {
        link.hold(Direction::ToOpener);
    }
    fleet.store.put("op", "config", config(2));
    let put = Instant::now();
    wait_until("the pollers have the configuration", async || {
        let dumps = fleet.dumps().await;
        let mut pollers = dumps.iter().zip(&is_relay).filter(|(_, follows)| !**follows);
        pollers.all(|(dump, _)| dump["config_version"] == 2)
    })
    .await;
    assert!(put.elapsed() < BOUND, "it took {:?}", put.elapsed());
});

// The pollers learnt of the order as soon as the three relays did, requested its record before
// these had read it, and then followed the store for 8 s: during the first part of each rollout no
// gateway received the sessions that stay on the old version.
case!(rollout_records_come_from_relays_from_the_order_on, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    fleet.wait_for_rollout_record().await;
    let dumps = fleet.dumps().await;
    let direct = dumps.iter().filter(|dump| dump["news_from"]["Rollouts"] == "store").count();
    assert_eq!(direct, 3, "gateways that read the records from the store");
});

// The store rejected the three relays and one of their pollers, which went on querying the store
// for 8 s although peers that the store served could have responded.
case!(a_gateway_that_the_store_rejects_polls_peers_again, async {
    const BOUND: Duration = Duration::from_secs(4);
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let is_direct = |dump: &Value| dump["news_from"]["Operators"] == "store";
    let dumps = fleet.dumps().await;
    let poller = dumps.iter().position(|dump| !is_direct(dump)).expect("some poll relays");
    let is_rejected = |n: usize| n == poller || is_direct(&dumps[n]);
    for n in (0..ENTRIES).filter(|n| is_rejected(*n)) {
        fleet.store_links[n].sever();
    }
    // One that the store serves may also serve another one.
    let served: Vec<usize> = (0..ENTRIES).filter(|n| !is_rejected(*n)).collect();
    let sources: Vec<String> = served.iter().map(|n| fleet.peers_addr(*n)).collect();
    let is_up_to_date = |dump: &Value| {
        is_direct(dump) || sources.iter().any(|addr| dump["news_from"]["Operators"] == **addr)
    };
    wait_until("the gateways that the store serves query it", async || {
        let dumps = fleet.dumps().await;
        let is_any_direct = served.iter().any(|n| is_direct(&dumps[*n]));
        is_any_direct && served.iter().all(|n| is_up_to_date(&dumps[*n]))
    })
    .await;
    fleet.store.put("op", "config", config(2));
    let put = Instant::now();
    wait_until("the rejected gateway has the configuration", async || {
        fleet.dumps().await[poller]["config_version"] == 2
    })
    .await;
    assert!(put.elapsed() < BOUND, "it took {:?}", put.elapsed());
});

// The first poll target is gone but stays listed. The gateway then sent nobody its work in
// progress, nor which upstreams had terminated, for as long as that lasted.
case!(a_gateway_whose_relay_is_gone_updates_another_peer, async {
    let engine = UpstreamStandin::start("i-1", Behaviour::Hang).await.expect("it starts");
    let mut fleet = Fleet::start().await;
    fleet.store.put("servers", "i-1", engine.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.wait_for_direct_readers(3).await;
    wait_until("all know the upstream", async || fleet.knows_upstream("i-1 ").await).await;
    let dumps = fleet.dumps().await;
    let source = |n: usize| dumps[n]["news_from"]["Operators"].as_str().unwrap_or_default();
    let poller = (0..ENTRIES).find(|n| source(*n) != "store").expect("four poll relays");
    let relay = (0..ENTRIES).find(|n| fleet.peers_addr(*n) == source(poller));
    let relay = relay.expect("it is one of them");
    drop(fleet.entries.remove(relay));
    let poller = if poller > relay { poller - 1 } else { poller };
    let request = fleet.send_in_session(poller, "busy", 1);
    let received = fleet.wait_for_peer_work(ENTRIES - 2, 1);
    tokio::select! {
        status = request => panic!("the request was answered with {status}"),
        () = received => {}
    }
});

/// In a fleet of this size, the work that one gateway has in progress becomes known to all others,
/// and is dropped by them when it has ended.
macro_rules! work_is_known_to_all {
    ($name:ident, $entries:expr) => {
        case!($name, async {
            let engine = UpstreamStandin::start("i-1", Behaviour::Hang).await.expect("it starts");
            let fleet = Fleet::of($entries).await;
            let listed = engine.entry(ENGINE, "zone-1", "v1", "ready");
            fleet.store.put("servers", "i-1", listed);
            wait_until("all know the upstream", async || fleet.knows_upstream("i-1 ").await).await;
            let request = fleet.send_in_session(0, "busy", 1);
            let received = fleet.wait_for_peer_work($entries - 1, 1);
            tokio::select! {
                status = request => panic!("the request was answered with {status}"),
                () = received => {}
            }
            fleet.wait_for_peer_work($entries, 0).await;
        });
    };
}

work_is_known_to_all!(work_is_known_to_all_of_three, 3);
work_is_known_to_all!(work_is_known_to_all_of_seven, ENTRIES);
