//! Pollers whose relay stops, or is without the store for a moment.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use super::fleet::ENTRIES;
use super::fleet::Fleet;
use crate::case::case;
use crate::harness::wait_until;

// A relay that is stopped as planned tells its pollers while it still runs. When all of them learnt of it
// from their closed connections, 89 of 385 gateways got no connection to another relay in time.
case!(pollers_of_a_relay_that_stops_turn_to_the_others_before_it_ends, async {
    let mut fleet = Fleet::start().await;
    fleet.wait_for_direct_readers(3).await;
    let dumps = fleet.dumps().await;
    let source = |dump: &Value| dump["news_from"]["Operators"].as_str().map(str::to_owned);
    let polled = dumps.iter().filter_map(source).find(|source| source != "store");
    let polled = polled.expect("four poll relays");
    let relay = (0..ENTRIES).find(|n| fleet.peers_addr(*n) == polled).expect("it is one of them");
    let leaving = fleet.entries.remove(relay).leave();
    wait_until("no gateway polls it", async || {
        let dumps = fleet.dumps().await;
        let polls_it = |dump: &Value| source(dump).as_deref() == Some(&polled);
        !dumps.iter().any(polls_it)
    })
    .await;
    fleet.wait_for_direct_readers(2).await;
    leaving.wait_for_balancer().await.finish().await;
});

// The relays were without the store for a moment. Their pollers queried it for 8 s: at 385 gateways that
// were 2,600 calls after its history was lost.
case!(pollers_return_to_relays_that_have_the_store_again, async {
    const BOUND: Duration = Duration::from_secs(4);
    let fleet = Fleet::up_for(ENTRIES, Duration::from_secs(60)).await;
    fleet.wait_for_direct_readers(3).await;
    let dumps = fleet.dumps().await;
    let is_relay = |n: &usize| dumps[*n]["news_from"]["Operators"] == "store";
    let relays: Vec<usize> = (0..ENTRIES).filter(is_relay).collect();
    relays.iter().for_each(|n| fleet.store_links[*n].sever());
    wait_until("the others query the store", async || {
        let dumps = fleet.dumps().await;
        let is_direct = |n: usize| dumps[n]["news_from"]["Operators"] == "store";
        (0..ENTRIES).any(|n| !relays.contains(&n) && is_direct(n))
    })
    .await;
    relays.iter().for_each(|n| fleet.store_links[*n].heal());
    let healed = Instant::now();
    fleet.wait_for_direct_readers(3).await;
    assert!(healed.elapsed() < BOUND, "it took {:?}", healed.elapsed());
});
