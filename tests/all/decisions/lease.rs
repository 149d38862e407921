//! Who may act under a lease, and when it may be taken over.

use std::time::Duration;

use stallhoist_core::FencingToken;
use stallhoist_core::IncarnationId;
use stallhoist_core::StoreVersion;
use stallhoist_policy::lease::Holder;
use stallhoist_policy::lease::LeaseRecord;
use stallhoist_policy::lease::LeaseTracker;
use stallhoist_policy::lease::Takeover;

use super::at_ms;
use super::later;

const DURATION: Duration = Duration::from_millis(1_000);

fn holder(n: u128) -> Holder {
    let host = format!("host-{n}").parse().expect("a name");
    Holder { host, incarnation: IncarnationId::from_u128(n) }
}

/// The record of a holder.
fn held_by(n: u128, epoch: u64) -> LeaseRecord {
    LeaseRecord { holder: holder(n), epoch: FencingToken(epoch), is_released: false }
}

/// The tracker of host 1 after it has written a record at 100 ms, which took until 300 ms.
fn holding() -> LeaseTracker {
    let mut lease = LeaseTracker::new(holder(1), DURATION);
    lease.written(at_ms(300), at_ms(100), StoreVersion::of(5), &held_by(1, 1));
    lease
}

// The time that the write took counts against the lease.
#[test]
fn a_holder_acts_for_a_part_of_the_duration() {
    let lease = holding();
    assert_eq!(lease.time_left(at_ms(300)), Duration::from_millis(600));
    assert_eq!(lease.time_left(at_ms(900)), Duration::ZERO);
    assert!(lease.is_holder());
}

// Another process waits for the whole duration after it has seen the record first, and again after each change.
#[test]
fn an_unchanged_record_is_taken_over() {
    let mut lease = LeaseTracker::new(holder(2), DURATION);
    assert_eq!(lease.takeover(at_ms(0)), None);
    lease.observe(at_ms(300), StoreVersion::of(5), Some(&held_by(1, 1)));
    assert_eq!(lease.takeover(at_ms(301)), Some(Takeover::At(at_ms(1_300))));
    lease.observe(at_ms(1_000), StoreVersion::of(5), Some(&held_by(1, 1)));
    assert_eq!(lease.takeover(at_ms(1_300)), Some(Takeover::Now));
    lease.observe(at_ms(1_300), StoreVersion::of(6), Some(&held_by(1, 1)));
    assert_eq!(lease.takeover(at_ms(1_300)), Some(Takeover::At(at_ms(2_300))));
    assert_eq!(lease.acquired(), held_by(2, 2));
}

#[test]
fn a_released_lease_is_taken_over_at_once() {
    let mut lease = LeaseTracker::new(holder(2), DURATION);
    let released = LeaseRecord { is_released: true, ..held_by(1, 4) };
    lease.observe(at_ms(300), StoreVersion::of(5), Some(&released));
    assert_eq!(lease.takeover(at_ms(300)), Some(Takeover::Now));
    // A restarted process of the same host must not act in turn with itself.
    let mut same_host = LeaseTracker::new(
        Holder { incarnation: IncarnationId::from_u128(9), ..holder(1) },
        DURATION,
    );
    same_host.observe(at_ms(300), StoreVersion::of(5), Some(&released));
    assert_eq!(same_host.takeover(at_ms(300)), Some(Takeover::At(at_ms(1_300))));
}

// The holder before this one could otherwise act again within the duration.
#[test]
fn a_lease_is_not_released_before_its_duration() {
    let lease = holding();
    assert_eq!(lease.released(at_ms(1_099)), None);
    let released = LeaseRecord { is_released: true, ..held_by(1, 1) };
    assert_eq!(lease.released(at_ms(1_100)), Some(released));
}

#[test]
fn a_holder_that_was_replaced_does_not_act() {
    let mut lease = holding();
    lease.observe(at_ms(400), StoreVersion::of(6), Some(&held_by(2, 2)));
    assert_eq!((lease.is_holder(), lease.time_left(at_ms(400))), (false, Duration::ZERO));
    // What is older than the known record changes nothing.
    lease.observe(at_ms(500), StoreVersion::of(5), Some(&held_by(1, 1)));
    assert!(!lease.is_holder());
}

// The store is restored from a copy in which this process, long since replaced, is the holder.
#[test]
fn a_restored_record_makes_no_holder() {
    let mut lease = holding();
    lease.observe(at_ms(400), StoreVersion::of(6), Some(&held_by(2, 2)));
    lease.observe(at_ms(500), later(5), Some(&held_by(1, 1)));
    assert!(!lease.is_holder());
    let next = lease.acquired();
    assert!(next.epoch > FencingToken(1 << 31), "epochs of an era are above all before");
    assert_eq!(lease.takeover(at_ms(600)), Some(Takeover::At(at_ms(1_500))));
}

// The write replaced a row that the store had restored under its old version. Another process may have held the
// lease, under the same epoch, since that row was written first.
#[test]
fn a_write_over_a_restored_row_makes_no_holder() {
    let mut lease = LeaseTracker::new(holder(2), DURATION);
    lease.observe(at_ms(0), StoreVersion::of(5), Some(&held_by(1, 1)));
    let written = lease.acquired();
    lease.written(at_ms(1_200), at_ms(1_100), later(6), &written);
    assert!(!lease.is_holder());
    assert_eq!(lease.time_left(at_ms(1_200)), Duration::ZERO);
    assert_eq!(lease.takeover(at_ms(1_200)), Some(Takeover::At(at_ms(2_200))));
    assert!(lease.acquired().epoch > written.epoch);
}

// In a later era, a missing row may be that of a holder that still acts.
#[test]
fn a_lost_row_is_waited_for() {
    let mut lease = LeaseTracker::new(holder(2), DURATION);
    lease.observe(at_ms(0), StoreVersion::of(3), None);
    assert_eq!(lease.takeover(at_ms(0)), Some(Takeover::Now));
    lease.observe(at_ms(100), later(3), None);
    assert_eq!(lease.takeover(at_ms(100)), Some(Takeover::At(at_ms(1_100))));
}
