//! Who gets the memory for requests and responses, and who is evicted.

use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::memory::CallerConnections;
use stallhoist_policy::memory::Growth;
use stallhoist_policy::memory::MemoryLedger;
use stallhoist_policy::memory::MemoryLimits;
use stallhoist_policy::memory::ReservationId;

const MB: usize = 1_000_000;

const PROCESS_BYTES: usize = 32 * MB;

/// A host of 64 MB: 24 MB in all, 18 for large reservations, 13.5 for those of one workspace.
fn ledger() -> MemoryLedger {
    MemoryLedger::new(MemoryLimits::of_host(64 * MB, PROCESS_BYTES))
}

fn at(second: u64) -> MonoTime {
    MonoTime(second * 1_000_000)
}

fn request(ledger: &mut MemoryLedger, second: u64, workspace: &str) -> ReservationId {
    let id = ledger.open_request(at(second));
    ledger.set_workspace(id, Some(workspace.parse::<WorkspaceName>().expect("a name")));
    id
}

fn granted(ledger: &mut MemoryLedger, second: u64, workspace: &str, bytes: usize) -> ReservationId {
    let id = request(ledger, second, workspace);
    assert_eq!(ledger.grow(at(second), id, bytes), Growth::Granted);
    id
}

#[test]
fn the_limits_follow_the_hosts_memory() {
    let large = MemoryLimits::of_host(260 * MB, PROCESS_BYTES);
    assert_eq!((large.total_bytes, large.large_bytes), (171 * MB, 128_250_000));
    let least = MemoryLimits::of_host(0, PROCESS_BYTES);
    assert!(least.workspace_bytes > 4 << 20, "a body of the largest size finds room");
}

#[test]
fn the_claim_that_held_the_most_for_the_longest_gives_way() {
    let mut ledger = ledger();
    let stalled = granted(&mut ledger, 0, "a", 4 * MB);
    let small = granted(&mut ledger, 0, "a", 4_000);
    let recent = granted(&mut ledger, 9, "a", 8 * MB);
    let new = request(&mut ledger, 10, "a");
    let evicted = vec![stalled];
    assert_eq!(ledger.grow(at(10), new, 2 * MB), Growth::Pending { evicted });
    assert_eq!(ledger.grow(at(10), stalled, 5 * MB), Growth::Refused);
    ledger.close(stalled);
    assert_eq!(ledger.grow(at(10), new, 2 * MB), Growth::Granted);
    assert!(ledger.protect(recent) && ledger.protect(small));
    assert_eq!(ledger.used_bytes(), 10 * MB + 4_000);
}

#[test]
fn requests_that_were_read_do_not_give_way() {
    let mut ledger = ledger();
    for _ in 0..3 {
        let id = granted(&mut ledger, 0, "a", 4 * MB);
        assert!(ledger.protect(id));
    }
    let large = request(&mut ledger, 1, "a");
    assert_eq!(ledger.grow(at(1), large, 4 * MB), Growth::Refused);
    granted(&mut ledger, 1, "b", 4 * MB);
    granted(&mut ledger, 1, "a", 60_000);
}

#[test]
fn the_workspace_that_holds_the_most_gives_way() {
    let mut ledger = ledger();
    let first = granted(&mut ledger, 0, "a", 12 * MB);
    let other = granted(&mut ledger, 0, "b", 5 * MB);
    let new = request(&mut ledger, 1, "b");
    let evicted = vec![first];
    assert_eq!(ledger.grow(at(1), new, 2 * MB), Growth::Pending { evicted });
    ledger.close(first);
    assert_eq!(ledger.grow(at(1), new, 2 * MB), Growth::Granted);
    // Nothing of a workspace with less is evicted for one with more.
    let least = granted(&mut ledger, 2, "c", 2 * MB);
    assert!(ledger.protect(other) && ledger.protect(new));
    let more = request(&mut ledger, 3, "b");
    assert_eq!(ledger.grow(at(3), more, 10 * MB), Growth::Refused);
    assert!(ledger.protect(least));
}

#[test]
fn nobody_gives_way_in_vain() {
    let mut ledger = ledger();
    let kept = granted(&mut ledger, 0, "a", 13 * MB);
    assert!(ledger.protect(kept));
    let optional = granted(&mut ledger, 0, "b", 2 * MB);
    let new = request(&mut ledger, 1, "c");
    assert_eq!(ledger.grow(at(1), new, 8 * MB), Growth::Refused);
    assert_eq!(ledger.grow(at(1), optional, 3 * MB), Growth::Granted);
}

#[test]
fn small_reservations_find_room_beside_large_ones() {
    let mut ledger = ledger();
    let response = ledger.open_response(at(0), None);
    assert_eq!(ledger.grow(at(0), response, 18 * MB), Growth::Granted);
    assert!(ledger.protect(response));
    for _ in 0..93 {
        granted(&mut ledger, 0, "a", 64_000);
    }
    let new = request(&mut ledger, 0, "a");
    assert_eq!(ledger.grow(at(0), new, 65 << 10), Growth::Refused);
}

#[test]
fn a_claim_that_grows_while_others_give_way_counts_at_once() {
    let mut ledger = ledger();
    let first = granted(&mut ledger, 0, "a", 13 * MB);
    let new = request(&mut ledger, 1, "a");
    assert_eq!(ledger.grow(at(1), new, MB), Growth::Pending { evicted: vec![first] });
    ledger.record_growth(new, MB);
    assert_eq!(ledger.used_bytes(), 14 * MB);
    ledger.close(first);
    assert_eq!((ledger.used_bytes(), ledger.bytes_of(new)), (MB, MB));
}

#[test]
fn a_response_gives_way_only_while_its_caller_reads_it() {
    let mut ledger = ledger();
    let response = ledger.open_response(at(0), None);
    assert!(ledger.protect(response));
    assert_eq!(ledger.grow(at(0), response, 17 * MB), Growth::Granted);
    let new = ledger.open_request(at(5));
    assert_eq!(ledger.grow(at(5), new, 2 * MB), Growth::Refused);
    ledger.unprotect(response);
    assert_eq!(ledger.grow(at(5), new, 2 * MB), Growth::Pending { evicted: vec![response] });
}

#[test]
fn the_connection_without_a_whole_request_for_the_longest_is_closed() {
    let mut connections = CallerConnections::new(3);
    let ids: Vec<_> = (0..3).map(|n| connections.accept(at(n)).expect("room").id).collect();
    assert!(connections.request_read(ids[0]));
    let accepted = connections.accept(at(5)).expect("one is closed");
    assert_eq!(accepted.closed, Some(ids[1]));
    assert!(!connections.request_read(ids[1]));
    connections.response_made(at(6), ids[0]);
    assert_eq!(connections.accept(at(7)).expect("one is closed").closed, Some(ids[2]));
    assert_eq!(connections.accept(at(8)).expect("one is closed").closed, Some(accepted.id));
    assert_eq!(connections.accept(at(9)).expect("one is closed").closed, Some(ids[0]));
}

#[test]
fn connections_that_are_owed_a_response_stay() {
    let mut connections = CallerConnections::new(1);
    let first = connections.accept(at(0)).expect("room").id;
    assert!(connections.request_read(first));
    assert_eq!(connections.accept(at(1)), None);
    connections.close(first);
    assert!(connections.accept(at(2)).is_some_and(|accepted| accepted.closed.is_none()));
}
