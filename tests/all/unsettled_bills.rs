//! Bill records that are not yet settled.

use stallhoist_coordination::UnsettledBills;
use stallhoist_core::AttemptId;
use stallhoist_core::AttemptNumber;
use stallhoist_core::BillRecord;
use stallhoist_core::CostMicros;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestId;
use stallhoist_core::Usage;

fn record(request: RequestId, attempt: u64) -> BillRecord {
    BillRecord {
        request,
        attempt_number: AttemptNumber(attempt),
        workspace: "w".parse().expect("a name"),
        target: "m@v1".parse().expect("a target"),
        usage: Usage::default(),
        cost_micros: CostMicros(attempt),
    }
}

fn attempt(request: RequestId, number: u64) -> AttemptId {
    AttemptId { request, number: AttemptNumber(number) }
}

#[test]
fn only_the_latest_attempts_record_is_held() {
    for order in [[1, 2], [2, 1]] {
        let mut held = UnsettledBills::default();
        let request = RequestId::from_u128(7);
        for number in order {
            held.hold(MonoTime::default(), record(request, number));
        }
        assert_eq!(held.oldest(10), [record(request, 2)]);
    }
}

// The first attempt's record was being written to the ledger when the second's was added.
#[test]
fn settling_an_earlier_attempt_keeps_the_later_record() {
    let mut held = UnsettledBills::default();
    let request = RequestId::from_u128(7);
    held.hold(MonoTime::default(), record(request, 1));
    held.hold(MonoTime::default(), record(request, 2));
    held.settle(&[attempt(request, 1)]);
    assert_eq!(held.len(), 1);
    held.settle(&[attempt(request, 2)]);
    assert!(held.is_empty());
}
