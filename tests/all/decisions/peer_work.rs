//! The work that other entries tell: what is believed, and for how long.

use stallhoist_core::HostId;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::PeerWork;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::balance::WorkByUpstream;
use stallhoist_policy::balance::WorkInProgress;

use super::at_ms;

fn host(n: u32) -> HostId {
    format!("entry-{n}").parse().expect("a name")
}

fn upstream(n: u32) -> UpstreamKey {
    let instance: UpstreamIncarnation = format!("instance-{n}").parse().expect("a name");
    UpstreamKey::of(&instance)
}

fn work(requests: u32, prefill_ms: u32) -> WorkInProgress {
    WorkInProgress { requests, prefill_ms }
}

#[test]
fn the_work_of_all_others_adds_up() {
    let mut fleet = PeerWork::default();
    fleet.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    fleet.apply_peer_update(
        at_ms(10),
        host(2),
        [(upstream(1), work(1, 50)), (upstream(2), work(4, 0))],
    );
    assert_eq!(fleet.on(upstream(1)), work(3, 350));
    assert_eq!(fleet.on(upstream(2)), work(4, 0));
    assert_eq!(fleet.on(upstream(3)), WorkInProgress::default());
}

#[test]
fn what_an_entry_tells_replaces_what_it_told() {
    let mut fleet = PeerWork::default();
    fleet.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    fleet.apply_peer_update(at_ms(200), host(1), [(upstream(2), work(1, 10))]);
    assert_eq!(fleet.on(upstream(1)), WorkInProgress::default());
    assert_eq!(fleet.on(upstream(2)), work(1, 10));
}

#[test]
fn an_entry_that_falls_silent_is_soon_not_believed() {
    let mut fleet = PeerWork::default();
    fleet.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    fleet.apply_peer_update(at_ms(900), host(2), [(upstream(1), work(1, 100))]);
    fleet.expire(at_ms(999));
    assert_eq!(fleet.on(upstream(1)), work(3, 400));
    fleet.expire(at_ms(1_000));
    assert_eq!(fleet.on(upstream(1)), work(1, 100), "the other one is still believed");
}

#[test]
fn the_work_of_some_entries_is_summed() {
    let mut fleet = PeerWork::default();
    fleet.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    fleet.apply_peer_update(at_ms(0), host(2), [(upstream(1), work(5, 0))]);
    let mut sum = WorkByUpstream::from([(upstream(1), work(1, 1))]);
    fleet.sum_into(&mut sum, |host_told| *host_told == host(1));
    assert_eq!(sum[&upstream(1)], work(3, 301));
}

/// Work that cannot be true is believed only within its bounds, and gone when it is replaced.
macro_rules! bounded {
    ($name:ident, $told:expr) => {
        #[test]
        fn $name() {
            let mut fleet = PeerWork::default();
            fleet.apply_peer_update(at_ms(0), host(1), $told);
            fleet.apply_peer_update(at_ms(0), host(2), [(upstream(1), work(1, 1))]);
            let believed = fleet.on(upstream(1));
            assert!(believed.requests <= 10_001 && believed.prefill_ms <= 60_001, "{believed:?}");
            fleet.apply_peer_update(at_ms(1), host(1), []);
            assert_eq!(fleet.on(upstream(1)), work(1, 1));
        }
    };
}

bounded!(all_requests_there_are, [(upstream(1), work(u32::MAX, 0))]);
bounded!(a_month_of_reading, [(upstream(1), work(0, u32::MAX))]);
bounded!(the_same_upstream_twice, [(upstream(1), work(7, 7)), (upstream(1), work(9, 9))]);
bounded!(a_flood_of_upstreams, (0..100_000).map(|n| (UpstreamKey(n), work(1, 1))));
