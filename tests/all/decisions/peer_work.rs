//! Work received from peers: its sum, its bounds and its time to live.

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
    WorkInProgress { requests, prefill_ms, ..WorkInProgress::default() }
}

#[test]
fn the_work_of_all_peers_is_summed() {
    let mut peers = PeerWork::default();
    peers.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    peers.apply_peer_update(
        at_ms(10),
        host(2),
        [(upstream(1), work(1, 50)), (upstream(2), work(4, 0))],
    );
    assert_eq!(peers.on(upstream(1)), work(3, 350));
    assert_eq!(peers.on(upstream(2)), work(4, 0));
    assert_eq!(peers.on(upstream(3)), WorkInProgress::default());
}

#[test]
fn an_update_replaces_the_previous_one() {
    let mut peers = PeerWork::default();
    peers.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    peers.apply_peer_update(at_ms(200), host(1), [(upstream(2), work(1, 10))]);
    assert_eq!(peers.on(upstream(1)), WorkInProgress::default());
    assert_eq!(peers.on(upstream(2)), work(1, 10));
}

#[test]
fn the_work_of_a_silent_peer_expires() {
    let mut peers = PeerWork::default();
    peers.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    peers.apply_peer_update(at_ms(900), host(2), [(upstream(1), work(1, 100))]);
    peers.expire(at_ms(999));
    assert_eq!(peers.on(upstream(1)), work(3, 400));
    peers.expire(at_ms(1_000));
    assert_eq!(peers.on(upstream(1)), work(1, 100), "the other peer's update is kept");
}

#[test]
fn the_work_of_selected_peers_is_summed() {
    let mut peers = PeerWork::default();
    peers.apply_peer_update(at_ms(0), host(1), [(upstream(1), work(2, 300))]);
    peers.apply_peer_update(at_ms(0), host(2), [(upstream(1), work(5, 0))]);
    let mut sum = WorkByUpstream::from([(upstream(1), work(1, 1))]);
    peers.sum_into(&mut sum, |peer| *peer == host(1));
    assert_eq!(sum[&upstream(1)], work(3, 301));
}

/// Checks that an impossible update counts only within its bounds, and is gone once it is replaced.
macro_rules! bounded {
    ($name:ident, $update:expr) => {
        #[test]
        fn $name() {
            let mut peers = PeerWork::default();
            peers.apply_peer_update(at_ms(0), host(1), $update);
            peers.apply_peer_update(at_ms(0), host(2), [(upstream(1), work(1, 1))]);
            let total = peers.on(upstream(1));
            assert!(total.requests <= 10_001 && total.prefill_ms <= 60_001, "{total:?}");
            peers.apply_peer_update(at_ms(1), host(1), []);
            assert_eq!(peers.on(upstream(1)), work(1, 1));
        }
    };
}

bounded!(the_largest_request_count, [(upstream(1), work(u32::MAX, 0))]);
bounded!(a_month_of_prefill, [(upstream(1), work(0, u32::MAX))]);
bounded!(the_same_upstream_twice, [(upstream(1), work(7, 7)), (upstream(1), work(9, 9))]);
bounded!(a_flood_of_upstreams, (0..100_000).map(|n| (UpstreamKey(n), work(1, 1))));
