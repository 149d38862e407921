//! News between entries.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
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

/// By this wait the calls of entries that were started later are known.
const LONG_WAIT_MS: u64 = 777;

/// So many calls of all entries, of which each makes several a second.
const CALLS_WHILE_AWAY: usize = 60;

case!(three_entries_follow_the_store_for_all, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    fleet.store.put("op", "config", config(2));
    fleet.wait_for_version(2).await;
});

case!(entries_whose_relays_are_gone_ask_the_store, async {
    let mut fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let dumps = fleet.dumps().await;
    let mut relays = dumps.iter().map(|dump| dump["news_from"]["Operators"] == "store");
    fleet.entries.retain(|_| !relays.next().unwrap_or_default());
    assert_eq!(fleet.entries.len(), ENTRIES - 3);
    fleet.store.put("op", "config", config(3));
    fleet.wait_for_version(3).await;
});

// Seen on the bench: four entries saw seven answers each of a version that was slow, and
// none of them found it out alone (own day rollout-slow, EXPOSURE).
case!(entries_of_a_small_fleet_judge_together, async {
    const SEEN_BY_EACH: usize = 3;
    let old = UpstreamStandin::start("i-old", Behaviour::stream(1)).await.expect("it starts");
    let new = UpstreamStandin::start("i-new", Behaviour::Fail).await.expect("it starts");
    let fleet = Fleet::of(3).await;
    fleet.store.put("servers", "i-old", old.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.store.put("servers", "i-new", new.entry(ENGINE, "zone-1", "v2", "ready"));
    wait_until("the entries know each other", async || {
        (0..3).all(|n| fleet.store.get("stallhoist-entries", &format!("entry-{n}")).is_some())
    })
    .await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    fleet.wait_for_rollout_record().await;
    // Each entry in turn, until the new version has seen a few more of its requests.
    for entry in &fleet.entries {
        let target = new.runs() + SEEN_BY_EACH;
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
    assert!(new.runs() <= 3 * SEEN_BY_EACH);
});

// An entry that starts in a burst has seen no upstream that is as idle as the new version's: it
// called none of its slow answers slow, and what it told others made theirs count for less.
case!(an_entry_is_told_the_usual_times_that_it_has_not_seen, async {
    const SESSIONS: usize = 40;
    let old = UpstreamStandin::start("i-old", Behaviour::stream(1)).await.expect("it starts");
    let fleet = Fleet::of(3).await;
    fleet.store.put("servers", "i-old", old.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.wait_for_direct_readers(3).await;
    wait_until("the upstream is known", async || fleet.knows_upstream("i-old").await).await;
    fleet.send_in_sessions(0, "first", SESSIONS).await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    wait_until("the others know its usual times", async || {
        let dumps = fleet.dumps().await;
        let knows = |dump: &Value| dump["usual_times"].to_string().contains("First route=stream");
        dumps.iter().all(knows)
    })
    .await;
});

// A session that began before the order is in the new version's share by its hash, and goes on
// at another entry: that one was told that it stays on the old version.
case!(a_session_that_moves_to_another_entry_keeps_its_version, async {
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
    wait_until("all entries know which sessions stay", async || {
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

// A store that is away keeps nobody from starting: the others tell what they knew last.
async fn starts_in_spite_of(fault: StoreFault) {
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
    // A store that is away is not waited for long: its return would be noticed too late (seen on
    // the bench: a configuration in force 2.5 s after it was accepted, hunt-f7ae-71, CONFIG).
    let asked = fleet.store.calls().len() + CALLS_WHILE_AWAY;
    wait_until("the store is asked", async || fleet.store.calls().len() > asked).await;
    let long_wait = format!("wait_ms={LONG_WAIT_MS}");
    assert!(!fleet.store.calls().iter().any(|call| call.contains(&long_wait)));
    fleet.store.put("op", "config", config(5));
    fleet.store.set_fault(None);
    fleet.wait_for_version(5).await;
}

case!(an_entry_that_starts_while_the_store_refuses_asks_a_seed, async {
    starts_in_spite_of(StoreFault::Status(503)).await;
});

case!(an_entry_that_starts_while_the_store_is_silent_asks_a_seed, async {
    starts_in_spite_of(StoreFault::Silent).await;
});

// A fleet of 103 made 1,133 of the 1,827 calls of a calm day in its first two seconds: nobody knew
// anybody, so each entry read everything itself, and followed it until the list of entries had come.
case!(entries_that_start_together_ask_a_seed, async {
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
    assert!(whole_reads <= 4 * 4, "{whole_reads} reads of whole feeds by {TOGETHER} entries");
});

// After a loss of power some hosts are up before those of the seeds, which say nothing. Entries
// waited for them for up to 0.8 s, with a store that answers in milliseconds.
case!(an_entry_that_starts_does_not_wait_for_silent_seeds, async {
    // Two seeds that are waited for one after the other take longer.
    const LONGEST: Duration = Duration::from_millis(1_000);
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
    assert!(started.elapsed() < LONGEST, "after {:?}", started.elapsed());
});

// Their copies are no longer fresh, so the relays say that they have none.
case!(news_comes_after_an_outage_that_all_share, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    fleet.store.set_fault(Some(StoreFault::Status(503)));
    fleet.store.put("op", "config", config(4));
    fleet.wait_for_direct_readers(3).await;
    fleet.store.set_fault(None);
    fleet.wait_for_version(4).await;
});

// A key that was taken away was served for 2.02 s by the entry that asks another for news: the one
// that it asked had been cut off from the store, held its copy for fresh when it was asked, and
// said only at the end of the wait, a second later, that it was no longer.
case!(news_come_in_time_although_those_that_are_asked_are_cut_off_from_the_store, async {
    // A copy is fresh for 1.5 s; the bound on a configuration is 2 s.
    const BOUND: Duration = Duration::from_millis(1_800);
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let dumps = fleet.dumps().await;
    let follow_store: Vec<_> =
        dumps.iter().map(|dump| dump["news_from"]["Operators"] == "store").collect();
    for (link, _) in fleet.store_links.iter().zip(&follow_store).filter(|(_, follows)| **follows) {
        link.hold(Direction::ToOpener);
    }
    fleet.store.put("op", "config", config(2));
    let put = Instant::now();
    wait_until("those that ask others have the news", async || {
        let dumps = fleet.dumps().await;
        let mut asking = dumps.iter().zip(&follow_store).filter(|(_, follows)| !**follows);
        asking.all(|(dump, _)| dump["config_version"] == 2)
    })
    .await;
    assert!(put.elapsed() < BOUND, "it took {:?}", put.elapsed());
});

// Those that ask learnt of the order as soon as the three did, asked them for its record before
// these had read it themselves, and then followed the store for 8 s: in the first part of each
// roll-out nobody was told which sessions stay on the old version.
case!(entries_ask_others_for_records_from_the_order_on, async {
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let order = json!({ "service": ENGINE, "target_version": "v2", "duration_s": 600 });
    fleet.store.put("op", "rollout/engine", order);
    fleet.wait_for_rollout_record().await;
    let dumps = fleet.dumps().await;
    let direct = dumps.iter().filter(|dump| dump["news_from"]["Rollouts"] == "store").count();
    assert_eq!(direct, 3, "entries that read the records from the store");
});

// The store turned away the three entries that follow it, and one of those that ask them: this one
// went on asking the store for 8 s, though others that the store served could have answered.
case!(an_entry_that_the_store_turns_away_asks_others_again, async {
    const BOUND: Duration = Duration::from_secs(4);
    let fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let is_direct = |dump: &Value| dump["news_from"]["Operators"] == "store";
    let dumps = fleet.dumps().await;
    let asking = dumps.iter().position(|dump| !is_direct(dump)).expect("some ask others");
    let turned_away = |n: usize| n == asking || is_direct(&dumps[n]);
    for n in (0..ENTRIES).filter(|n| turned_away(*n)) {
        fleet.store_links[n].sever();
    }
    wait_until("those that are served ask the store", async || {
        let dumps = fleet.dumps().await;
        (0..ENTRIES).filter(|n| !turned_away(*n)).all(|n| is_direct(&dumps[n]))
    })
    .await;
    fleet.store.put("op", "config", config(2));
    let put = Instant::now();
    wait_until("the one that is turned away has the news", async || {
        fleet.dumps().await[asking]["config_version"] == 2
    })
    .await;
    assert!(put.elapsed() < BOUND, "it took {:?}", put.elapsed());
});

// The entry that it asked first is gone, and stays listed. It told nobody then what it had in progress, nor
// which upstreams had ended, for as long as that lasted.
case!(an_entry_whose_relay_is_gone_tells_another_one, async {
    let engine = UpstreamStandin::start("i-1", Behaviour::Hang).await.expect("it starts");
    let mut fleet = Fleet::start().await;
    fleet.store.put("servers", "i-1", engine.entry(ENGINE, "zone-1", "v1", "ready"));
    fleet.wait_for_direct_readers(3).await;
    wait_until("all know the upstream", async || fleet.knows_upstream("i-1 ").await).await;
    let dumps = fleet.dumps().await;
    let source = |n: usize| dumps[n]["news_from"]["Operators"].as_str().unwrap_or_default();
    let asking = (0..ENTRIES).find(|n| source(*n) != "store").expect("four ask others");
    let relay = (0..ENTRIES).find(|n| fleet.peers_addr(*n) == source(asking));
    let relay = relay.expect("it is one of them");
    drop(fleet.entries.remove(relay));
    let asking = if asking > relay { asking - 1 } else { asking };
    let asked = fleet.send_in_session(asking, "busy", 1);
    let told = fleet.wait_for_peer_work(ENTRIES - 2, 1);
    tokio::select! {
        status = asked => panic!("it was answered with {status}"),
        () = told => {}
    }
});

/// In a fleet of so many entries, the work that one of them has in progress is known to all
/// others, and forgotten by them when it has ended.
macro_rules! work_is_known_to_all {
    ($name:ident, $entries:expr) => {
        case!($name, async {
            let engine = UpstreamStandin::start("i-1", Behaviour::Hang).await.expect("it starts");
            let fleet = Fleet::of($entries).await;
            let listed = engine.entry(ENGINE, "zone-1", "v1", "ready");
            fleet.store.put("servers", "i-1", listed);
            wait_until("all know the upstream", async || fleet.knows_upstream("i-1 ").await).await;
            let asked = fleet.send_in_session(0, "busy", 1);
            let told = fleet.wait_for_peer_work($entries - 1, 1);
            tokio::select! {
                status = asked => panic!("it was answered with {status}"),
                () = told => {}
            }
            fleet.wait_for_peer_work($entries, 0).await;
        });
    };
}

work_is_known_to_all!(work_is_known_to_all_of_three, 3);
work_is_known_to_all!(work_is_known_to_all_of_seven, ENTRIES);
