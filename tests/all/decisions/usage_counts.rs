//! The counts of usage that gateways exchange.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use stallhoist_core::HostId;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::usage::UsageCounts;
use stallhoist_policy::usage::UsageSchedule;
use stallhoist_policy::usage::UsageSource;
use stallhoist_policy::usage::UsageWindow;

use super::at_ms;

const START: Duration = Duration::from_secs(1_000);
const W: UsageWindow = UsageWindow(200);

fn counts(source: u64) -> UsageCounts {
    UsageCounts::new(UsageSource(source), at_ms(0), START)
}

fn host(n: u64) -> HostId {
    format!("host-{n}").parse().expect("a name")
}

fn workspace(n: usize) -> WorkspaceName {
    format!("workspace-{n}").parse().expect("a name")
}

proptest! {
    // Updates may arrive twice, in any order, and by way of others: the total is what was counted.
    #[test]
    fn nothing_is_counted_twice(
        requests in vec((0_usize..3, 0_usize..4), 1..60),
        exchanges in vec((0_usize..3, 0_usize..3, any::<bool>()), 0..80),
    ) {
        let mut gateways: Vec<UsageCounts> = (0..3).map(counts).collect();
        let mut sent = BTreeMap::new();
        let mut expected: BTreeMap<WorkspaceName, u64> = BTreeMap::new();
        let mut requests = requests.into_iter();
        let all = (0..3).flat_map(|from| (0..3).map(move |to| (from, to, true)));
        for (from, to, is_whole) in exchanges.into_iter().chain(all) {
            if let Some((gateway, n)) = requests.next() {
                gateways[gateway].record(W, &workspace(n));
                *expected.entry(workspace(n)).or_default() += 1;
            }
            let after = if is_whole { 0 } else { sent.get(&(from, to)).copied().unwrap_or(0) };
            let (updates, revision) = gateways[from].changes(after, &[]);
            sent.insert((from, to), revision);
            let sender = host(from as u64);
            updates.into_iter().for_each(|update| gateways[to].merge(&sender, update));
        }
        for (gateway, n) in requests {
            gateways[gateway].record(W, &workspace(n));
            *expected.entry(workspace(n)).or_default() += 1;
        }
        for from in 0..3 {
            for to in 0..3 {
                let updates = gateways[from].changes(0, &[]).0;
                updates.into_iter().for_each(|u| gateways[to].merge(&host(from as u64), u));
            }
        }
        for gateway in &gateways {
            prop_assert_eq!(&gateway.total(W), &expected);
        }
    }
}

// Only what has changed is sent again.
#[test]
fn an_exchange_holds_only_changes() {
    let mut local = counts(1);
    (0..50).for_each(|n| local.record(W, &workspace(n)));
    let (updates, revision) = local.changes(0, &[]);
    assert_eq!(updates.len(), 50);
    local.record(W.next(), &workspace(3));
    local.record(W.next(), &workspace(3));
    let (updates, _) = local.changes(revision, &[]);
    let changed: Vec<_> = updates.iter().map(|u| (u.window, u.requests)).collect();
    assert_eq!(changed, [(W.next(), 2)]);
}

// A relay does not send to other relays what they have sent.
#[test]
fn counts_of_relays_are_not_sent_back() {
    let (mut relay, mut other) = (counts(1), counts(2));
    other.record(W, &workspace(1));
    let updates = other.changes(0, &[]).0;
    updates.into_iter().for_each(|update| relay.merge(&host(2), update));
    assert_eq!(relay.changes(0, &[host(2)]).0, []);
    assert_eq!(relay.changes(0, &[]).0.len(), 1);
}

#[test]
fn expired_windows_are_not_counted_again() {
    let (mut local, mut other) = (counts(1), counts(2));
    other.record(W, &workspace(1));
    let update = other.changes(0, &[]).0.remove(0);
    local.expire(W.next());
    local.merge(&host(2), update);
    assert!(!local.has(W));
}

// Counts are complete as far as the least advanced peer's; one that is silent for long does not count.
#[test]
fn the_slowest_peer_decides_what_is_complete() {
    let mut local = counts(1);
    let unix = |ms: u64| START + Duration::from_millis(ms);
    assert_eq!(local.complete_through(at_ms(1_000), unix(1_000), &[]), START, "it is new");
    local.record_mark(at_ms(5_000), host(1), unix(4_900));
    local.record_mark(at_ms(6_000), host(2), unix(5_800));
    assert_eq!(local.complete_through(at_ms(6_000), unix(6_000), &[]), unix(4_900));
    assert_eq!(local.complete_through(at_ms(6_000), unix(6_000), &[host(1)]), unix(5_800));
    assert_eq!(local.complete_through(at_ms(8_500), unix(8_500), &[]), unix(5_800));
    assert!(local.has_marks(at_ms(8_500)) && !local.has_marks(at_ms(9_500)));
}

// All turns come before the report is due, in the order of the ranks, also for a thousand gateways.
#[test]
fn turns_come_before_the_report_is_due() {
    let schedule =
        UsageSchedule { window_length: Duration::from_secs(5), due_after: Duration::from_secs(10) };
    let turns: Vec<_> = (0..1_000).map(|rank| schedule.turn_at(W, rank)).collect();
    assert!(turns.is_sorted());
    let unconnected = schedule.unconnected_turn_at(W);
    assert!(turns[0] > schedule.end(W) && turns[999] < unconnected);
    assert!(unconnected < schedule.end(W) + schedule.due_after);
}
