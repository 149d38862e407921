//! Selection of the gateways to poll, and the pages served from the feed cache.

use std::time::Duration;

use std::net::SocketAddr;

use stallhoist_core::HostId;
use stallhoist_core::LinkRate;
use stallhoist_core::StoreVersion;
use stallhoist_core::ZoneName;
use stallhoist_gateway::control_store::ControlStoreError;
use stallhoist_gateway::control_store::Feed;
use stallhoist_gateway::control_store::FeedPage;
use stallhoist_gateway::control_store::FeedRow;
use stallhoist_gateway::control_store::ListedEntry;
use stallhoist_gateway::peers::FeedCache;
use stallhoist_gateway::peers::Origin;
use stallhoist_gateway::peers::PeerList;
use stallhoist_gateway::peers::switch_pause;

use super::at_ms;
use super::later;

fn host(n: u16) -> HostId {
    format!("entry-{n}").parse().expect("a name")
}

fn zone(name: &str) -> ZoneName {
    name.parse().expect("a name")
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + n))
}

fn entry(n: u16) -> ListedEntry {
    ListedEntry { host: host(n), peers_addr: addr(n), link: LinkRate::default(), zone: None }
}

/// The list as seen by each of `count` gateways.
fn lists(count: u16) -> Vec<PeerList> {
    let list = |local| {
        let mut list = PeerList::new(host(local), zone("a"));
        for n in 0..count {
            list.add(entry(n));
        }
        list
    };
    (0..count).map(list).collect()
}

/// Asserts how many gateways of a fleet of this size follow the store themselves.
macro_rules! follow_the_store {
    ($name:ident, $entries:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let lists = lists($entries);
            let direct = lists.iter().filter(|list| list.poll_targets().is_empty()).count();
            assert_eq!(direct, $expected);
        }
    };
}

follow_the_store!(one_of_one, 1, 1);
follow_the_store!(all_of_three, 3, 3);
follow_the_store!(three_of_four, 4, 3);
follow_the_store!(three_of_thirty_two, 32, 3);
follow_the_store!(three_of_four_hundred, 400, 3);

#[test]
fn the_relays_share_the_work() {
    let lists = lists(100);
    let relays: Vec<_> =
        (0..100u16).filter(|n| lists[usize::from(*n)].poll_targets().is_empty()).collect();
    for relay in relays {
        let first =
            |list: &&PeerList| list.poll_targets().first() == Some(&(host(relay), addr(relay)));
        let share = lists.iter().filter(first).count();
        assert!((20..=45).contains(&share), "{share}");
    }
}

#[test]
fn relays_exchange_updates() {
    for count in [2, 3, 4, 32] {
        for (n, list) in (0..).zip(lists(count)) {
            let others = list.other_relays();
            let expected =
                if list.poll_targets().is_empty() { usize::from(count).min(3) - 1 } else { 0 };
            assert!(
                others.len() == expected && !others.contains(&(host(n), addr(n))),
                "{count}: {others:?}"
            );
        }
    }
}

#[test]
fn poll_targets_exclude_the_local_gateway_and_are_bounded() {
    for (n, list) in (0..).zip(lists(50)) {
        let targets = list.poll_targets();
        assert!(targets.len() <= 5 && !targets.contains(&(host(n), addr(n))));
    }
}

#[test]
fn a_gateway_with_a_new_address_replaces_its_record() {
    let mut list = PeerList::new(host(1), zone("a"));
    let moved = ListedEntry { peers_addr: addr(9), ..entry(1) };
    assert!(!list.is_listed(&entry(1)));
    list.add(entry(1));
    assert!(list.is_listed(&entry(1)));
    list.add(moved.clone());
    assert!(!list.is_listed(&entry(1)) && list.is_listed(&moved));
    assert_eq!(list.count(), 1);
}

// Three hosts with slow links served a large configuration to 29 others, while six had faster
// links.
#[test]
fn the_gateways_with_the_fastest_links_are_relays() {
    const FAST: [u16; 4] = [3, 11, 17, 30];
    let mut list = PeerList::new(host(0), zone("a"));
    for n in 0..32 {
        let mbit_per_s = if FAST.contains(&n) { 200 } else { 10 };
        list.add(ListedEntry { link: LinkRate::from_mbit_per_s(mbit_per_s), ..entry(n) });
    }
    let relays = list.relays();
    assert_eq!(relays.len(), 3);
    assert!(relays.iter().all(|relay| FAST.iter().any(|n| host(*n) == *relay)), "{relays:?}");
    // A host that restarts with a slower link stops being a relay.
    let slowed = relays[0].clone();
    let n = FAST.into_iter().find(|n| host(*n) == slowed).expect("it is one of them");
    list.add(ListedEntry { link: LinkRate::from_mbit_per_s(10), ..entry(n) });
    assert!(!list.relays().contains(&slowed));
}

/// The list of one gateway among 40 in four zones, where each zone but "d" has some fast links.
fn list_of_zones(local: u16) -> PeerList {
    let zone_of = |n: u16| zone(["a", "b", "c", "d"][usize::from(n % 4)]);
    let mut list = PeerList::new(host(local), zone_of(local));
    for n in 0..40 {
        let mbit_per_s = if n < 12 && n % 4 != 3 { 200 } else { 10 };
        let link = LinkRate::from_mbit_per_s(mbit_per_s);
        list.add(ListedEntry { link, zone: Some(zone_of(n)), ..entry(n) });
    }
    list
}

fn number_of(host: &HostId) -> u16 {
    host.as_str().trim_start_matches("entry-").parse().expect("its number")
}

#[test]
fn each_zone_with_fast_links_has_a_relay() {
    let relays = list_of_zones(39).relays();
    let mut zones: Vec<_> = relays.iter().map(|relay| number_of(relay) % 4).collect();
    zones.sort_unstable();
    assert_eq!(zones, [0, 1, 2]);
    assert!(relays.iter().all(|relay| number_of(relay) < 12), "{relays:?}");
}

#[test]
fn the_relay_of_the_own_zone_is_polled_first() {
    let (mut first_of_d, relays) = (Vec::new(), list_of_zones(39).relays());
    for local in (0..40).filter(|local| !relays.contains(&host(*local))) {
        let targets = list_of_zones(local).poll_targets();
        let first = number_of(&targets[0].0);
        assert!(relays.contains(&host(first)) && targets.len() == 5);
        if local % 4 == 3 {
            first_of_d.push(first);
        } else {
            assert_eq!(first % 4, local % 4, "of gateway {local}");
        }
    }
    // Gateways without a relay in their zone spread over the relays.
    first_of_d.sort_unstable();
    first_of_d.dedup();
    assert!(first_of_d.len() > 1);
}

#[test]
fn a_link_rate_has_its_unit() {
    let rate = |text: &str| text.parse::<LinkRate>();
    assert_eq!(rate("200.0 Mbit/s"), Ok(LinkRate::from_mbit_per_s(200)));
    assert_eq!(rate("0.5 Gbit/s"), Ok(LinkRate::from_mbit_per_s(500)));
    assert_eq!(LinkRate::from_mbit_per_s(10).to_string(), "10 Mbit/s");
    for wrong in ["200", " Mbit/s", "-1 Mbit/s", "1e400 Mbit/s", "10 MB/s"] {
        assert!(rate(wrong).is_err(), "{wrong}");
    }
}

fn row(key: &str, version: u64, is_present: bool) -> FeedRow {
    let value = is_present.then(|| key.to_owned().into());
    FeedRow { key: key.to_owned(), value, version: StoreVersion::of(version) }
}

fn page(rows: Vec<FeedRow>, version: u64) -> FeedPage {
    FeedPage { rows, version: StoreVersion::of(version), store_now_ms: 5_000 }
}

/// A copy read at version 10 with rows a and b; a was removed at version 12.
fn copies() -> FeedCache {
    let copies = FeedCache::default();
    let whole = page(vec![row("a", 4, true), row("b", 9, true)], 10);
    copies.replace(at_ms(0), Feed::Members, &whole, Origin::Store);
    copies.extend(at_ms(100), Feed::Members, &page(vec![row("a", 12, false)], 12), Origin::Store);
    copies
}

fn keys(page: &FeedPage) -> Vec<&str> {
    page.rows.iter().map(|row| row.key.as_str()).collect()
}

#[test]
fn a_whole_feed_omits_removed_rows() {
    let page = copies().page(at_ms(200), Feed::Members, None).expect("it is fresh").expect("rows");
    assert_eq!(
        (keys(&page), page.version, page.store_now_ms),
        (vec!["b"], StoreVersion::of(12), 5_100)
    );
}

#[test]
fn changes_include_removed_rows() {
    let copies = copies();
    let after = |version| copies.page(at_ms(200), Feed::Members, Some(StoreVersion::of(version)));
    assert_eq!(keys(&after(10).expect("fresh").expect("rows")), ["a"]);
    assert!(after(12).expect("fresh").expect("rows").rows.is_empty());
    let ahead = after(15).expect("fresh").expect("rows");
    assert_eq!(
        (ahead.rows.len(), ahead.version),
        (0, StoreVersion::of(15)),
        "the version does not decrease"
    );
}

#[test]
fn changes_before_the_copy_are_not_available() {
    let result = copies().page(at_ms(200), Feed::Members, Some(StoreVersion::of(9)));
    assert!(matches!(result, Some(Err(ControlStoreError::HistoryGone))));
}

#[test]
fn changes_since_an_earlier_era_are_not_available() {
    let copies = FeedCache::default();
    let whole = FeedPage { version: later(5), ..page(vec![row("a", 4, true)], 0) };
    copies.replace(at_ms(0), Feed::Members, &whole, Origin::Store);
    let result = copies.page(at_ms(1), Feed::Members, Some(StoreVersion::of(100)));
    assert!(matches!(result, Some(Err(ControlStoreError::HistoryGone))));
}

#[test]
fn a_poller_with_a_later_era_receives_no_rows() {
    let page = copies().page(at_ms(200), Feed::Members, Some(later(2)));
    let page = page.expect("it is fresh").expect("rows");
    assert_eq!((page.rows.len(), page.version), (0, later(2)));
}

// A gateway that is cut off from the store must not keep its peers from querying it.
#[test]
fn a_stale_copy_is_not_served() {
    let copies = copies();
    assert!(copies.page(at_ms(1_600), Feed::Members, None).is_some());
    assert!(copies.page(at_ms(1_601), Feed::Members, None).is_none());
    copies.extend(at_ms(1_700), Feed::Members, &page(Vec::new(), 12), Origin::Store);
    assert!(copies.page(at_ms(1_701), Feed::Members, None).is_some());
}

/// The copy of [`copies`], and one of the liveness feed read at this time.
fn copies_with_liveness(liveness_at_ms: u64) -> FeedCache {
    let copies = copies();
    let liveness = page(Vec::new(), 12);
    copies.replace(at_ms(liveness_at_ms), Feed::Operators, &liveness, Origin::Store);
    copies
}

fn is_fresh(copies: &FeedCache, ms: u64) -> bool {
    copies.page(at_ms(ms), Feed::Members, None).is_some()
}

// A pending follow call shows that its feed has not changed, as long as another feed shows that the
// store is reachable.
#[test]
fn a_feed_with_a_pending_follow_is_as_fresh_as_the_liveness_feed() {
    let copies = copies_with_liveness(2_000);
    assert!(!is_fresh(&copies, 2_100), "no follow call is pending");
    copies.set_following(Feed::Members, true);
    assert!(is_fresh(&copies, 3_500) && !is_fresh(&copies, 3_501));
    copies.set_following(Feed::Members, false);
    assert!(!is_fresh(&copies, 2_100), "its follow call did not return");
}

#[test]
fn the_liveness_feed_received_from_a_peer_shows_nothing() {
    let copies = copies_with_liveness(2_000);
    copies.set_following(Feed::Members, true);
    let received = page(Vec::new(), 13);
    copies.extend(at_ms(2_050), Feed::Operators, &received, Origin::OtherEntry);
    assert!(!is_fresh(&copies, 2_100));
}

#[test]
fn changes_without_a_whole_feed_are_dropped() {
    let copies = FeedCache::default();
    copies.extend(at_ms(0), Feed::Members, &page(vec![row("a", 4, true)], 4), Origin::Store);
    assert!(!copies.has(Feed::Members));
}

#[test]
fn a_poll_counts_for_a_limited_time() {
    let copies = FeedCache::default();
    assert!(!copies.is_polled(at_ms(0)));
    copies.record_poll(at_ms(0));
    assert!(copies.is_polled(at_ms(4_999)) && !copies.is_polled(at_ms(5_000)));
}

// Data received from a peer may be stale there; it only serves a gateway that has nothing newer.
#[test]
fn a_copy_received_from_a_peer_is_only_the_last_known() {
    let copies = FeedCache::default();
    assert!(copies.last_known(at_ms(0), Feed::Members).is_none());
    let whole = page(vec![row("a", 4, true), row("b", 9, true)], 10);
    copies.replace(at_ms(0), Feed::Members, &whole, Origin::OtherEntry);
    assert!(copies.page(at_ms(1), Feed::Members, None).is_none());
    let known = copies.last_known(at_ms(60_000), Feed::Members).expect("it is known");
    assert_eq!((keys(&known), known.version), (vec!["a", "b"], StoreVersion::of(10)));
    copies.extend(at_ms(61_000), Feed::Members, &page(Vec::new(), 11), Origin::Store);
    assert!(copies.page(at_ms(61_000), Feed::Members, None).is_some());
}

/// Connections that a relay can be sent within 10 ms and accept in time.
const CONNECTIONS_IN_10_MS: usize = 128;

// All pollers of one relay turn to another one, with a connection for each of four feeds.
#[test]
fn pollers_turn_to_another_relay_one_by_one() {
    for gateways in [22, 103, 385, 770] {
        let pollers = gateways / 3;
        let mut arrivals_ms: Vec<u128> = (0..4 * pollers)
            .map(|n| f64::from(n as u32).mul_add(0.618_034, 0.1).fract())
            .map(|unit| switch_pause(gateways, unit).as_millis())
            .collect();
        arrivals_ms.sort_unstable();
        let within_10_ms =
            |from: &u128| arrivals_ms.iter().filter(|at| (*from..*from + 10).contains(*at)).count();
        let most = arrivals_ms.iter().map(within_10_ms).max().unwrap_or(0);
        assert!(most <= CONNECTIONS_IN_10_MS, "{most} of {} at {gateways}", 4 * pollers);
        assert!(switch_pause(gateways, 1.0) <= Duration::from_secs(1));
    }
}
