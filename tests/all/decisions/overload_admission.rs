//! Who waits at a gateway, who is rejected, and in which order turns come.
//!
//! The load of these tests is a service of a few slots at a multiple of what it bears.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_policy::overload::AttemptDecision;
use stallhoist_policy::overload::NewsValidity;
use stallhoist_policy::overload::RejectReason;
use stallhoist_policy::overload::ServiceRoom;
use stallhoist_policy::overload::ShareStatus;
use stallhoist_policy::overload::UpstreamOccupancy;
use stallhoist_policy::overload::WaitLimits;
use stallhoist_policy::overload::Waiter;
use stallhoist_policy::overload::WaiterId;
use stallhoist_policy::overload::WaitingQueue;

use super::at_ms;

fn waiter(key: u64, due_ms: u64, deadline_ms: u64) -> Waiter {
    Waiter {
        key,
        due: at_ms(due_ms),
        deadline: at_ms(deadline_ms),
        first_chunk: Duration::ZERO,
        priority: 1,
        share: ShareStatus::Within,
        pool: 0,
        size_bytes: 100,
    }
}

/// One upstream with this many of its slots taken.
fn room(taken: u32, slots: u32) -> ServiceRoom {
    let mut room = ServiceRoom::default();
    room.add(&UpstreamOccupancy {
        slots,
        counted_requests: taken,
        requests: taken,
        ..UpstreamOccupancy::default()
    });
    room
}

fn queue() -> WaitingQueue {
    WaitingQueue::new(WaitLimits::default())
}

fn wait(queue: &mut WaitingQueue, now: MonoTime, waiter: Waiter) -> WaiterId {
    let (decision, id) = queue.offer(now, waiter, &room(4, 4));
    assert!(matches!(decision, AttemptDecision::WaitUntil(_)), "{decision:?}");
    id.expect("it waits")
}

/// The waiting requests in the order in which they get a turn.
fn turns(queue: &mut WaitingQueue, now: MonoTime) -> Vec<WaiterId> {
    let mut order = Vec::new();
    while let Some(first) = queue.firsts(now).first().copied() {
        let decision = queue.ask(now, first, at_ms(u64::MAX / 2_000), &room(3, 4));
        assert_eq!(decision, AttemptDecision::Send);
        queue.remove(first);
        order.push(first);
    }
    order
}

/// Lets requests end at this rate for two seconds.
fn observe_ends(queue: &mut WaitingQueue, per_s: u64) {
    (0..2 * per_s)
        .for_each(|n| queue.record_end(at_ms(n * 1_000 / per_s), Duration::from_millis(40), false));
}

#[test]
fn with_room_all_are_sent_at_once() {
    let mut queue = queue();
    for key in 0..1_000 {
        let (decision, id) = queue.offer(at_ms(0), waiter(key, 0, 1), &room(3, 4));
        assert_eq!((decision, id), (AttemptDecision::Send, None));
    }
}

/// Whether an upstream of 4 slots has room.
macro_rules! room_case {
    ($name:ident, $counted:expr, $reported:expr, $prefill_ms:expr, $is_rejecting:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let occupancy = UpstreamOccupancy {
                slots: 4,
                counted_requests: $counted,
                requests: $reported,
                prefill_ms: $prefill_ms,
                is_rejecting: $is_rejecting,
            };
            assert_eq!(occupancy.has_room(), $expected);
        }
    };
}

room_case!(a_free_slot_is_room, 3, 3, 0.0, false, true);
room_case!(no_free_slot_is_no_room, 4, 4, 0.0, false, false);
room_case!(reported_requests_count, 2, 4, 0.0, false, false);
room_case!(a_report_beside_few_counted_requests_is_not_believed, 1, 9_999, 0.0, false, true);
room_case!(short_prefill_work_is_room, 3, 3, 1_900.0, false, true);
room_case!(two_seconds_of_prefill_work_are_no_room, 1, 1, 2_000.0, false, false);
room_case!(a_rejection_counts_as_full, 0, 0, 0.0, true, false);

#[test]
fn room_at_one_of_many_is_room() {
    let mut all = ServiceRoom::default();
    for taken in [4, 4, 3, 4] {
        all.add(&UpstreamOccupancy {
            slots: 4,
            counted_requests: taken,
            requests: taken,
            ..UpstreamOccupancy::default()
        });
    }
    assert!(all.has_room());
}

/// Which news is believed of a service whose requests take this long.
macro_rules! validity {
    ($name:ident, $request_ms:expr, $believes_others:expr, $rejection_ms:expr) => {
        #[test]
        fn $name() {
            let validity = NewsValidity::of(Duration::from_millis($request_ms));
            assert_eq!(validity.believes_others(), $believes_others);
            assert_eq!(validity.rejection_time(), Duration::from_millis($rejection_ms));
        }
    };
}

validity!(news_of_short_calls_is_out_of_date, 30, false, 30);
validity!(news_of_long_streams_holds, 3_000, true, 200);
validity!(no_news_is_believed_of_an_unknown_service, 0, false, 0);

#[test]
fn without_upstreams_nothing_waits() {
    let (decision, _) = queue().offer(at_ms(0), waiter(1, 10, 20), &ServiceRoom::default());
    assert_eq!(decision, AttemptDecision::Send);
}

#[test]
fn the_earliest_due_goes_first() {
    let mut queue = queue();
    let due_ms = [900, 300, 600];
    let ids = due_ms.map(|due_ms| wait(&mut queue, at_ms(0), waiter(due_ms, due_ms, 5_000)));
    assert_eq!(turns(&mut queue, at_ms(0)), [ids[1], ids[2], ids[0]]);
}

#[test]
fn those_that_can_be_in_time_go_before_late_ones() {
    let mut queue = queue();
    let late = wait(&mut queue, at_ms(0), waiter(1, 100, 5_000));
    let in_time = wait(&mut queue, at_ms(0), waiter(2, 900, 5_000));
    assert_eq!(turns(&mut queue, at_ms(200)), [in_time, late]);
}

#[test]
fn those_over_their_share_go_last() {
    let mut queue = queue();
    let share = ShareStatus::Over { relative_use: 3.0 };
    let over = wait(&mut queue, at_ms(0), Waiter { share, ..waiter(1, 300, 5_000) });
    let within = wait(&mut queue, at_ms(0), waiter(2, 900, 5_000));
    assert_eq!(turns(&mut queue, at_ms(0)), [within, over]);
}

#[test]
fn among_equals_the_higher_priority_goes_first() {
    let mut queue = queue();
    let low = wait(&mut queue, at_ms(0), Waiter { priority: 2, ..waiter(1, 300, 5_000) });
    let high = wait(&mut queue, at_ms(0), Waiter { priority: 0, ..waiter(2, 300, 5_000) });
    assert_eq!(turns(&mut queue, at_ms(0)), [high, low]);
}

#[test]
fn a_newcomer_does_not_pass_one_that_is_due_earlier() {
    let mut queue = queue();
    let first = wait(&mut queue, at_ms(0), waiter(1, 300, 5_000));
    let (decision, _) = queue.offer(at_ms(1), waiter(2, 400, 5_000), &room(3, 4));
    assert!(matches!(decision, AttemptDecision::WaitUntil(_)));
    assert_eq!(queue.firsts(at_ms(1)), [first]);
}

#[test]
fn one_that_may_use_other_upstreams_is_not_held_up() {
    let mut queue = queue();
    wait(&mut queue, at_ms(0), waiter(1, 300, 5_000));
    let other = Waiter { pool: 7, ..waiter(2, 400, 5_000) };
    let (decision, _) = queue.offer(at_ms(1), other, &room(3, 4));
    assert_eq!(decision, AttemptDecision::Send);
}

#[test]
fn a_removed_request_leaves_its_place() {
    let mut queue = queue();
    let first = wait(&mut queue, at_ms(0), waiter(1, 300, 5_000));
    let second = wait(&mut queue, at_ms(0), waiter(2, 400, 5_000));
    queue.remove(first);
    assert_eq!(queue.firsts(at_ms(0)), [second]);
}

#[test]
fn nothing_is_rejected_before_ends_were_observed() {
    let mut queue = queue();
    (0..500).for_each(|key| {
        wait(&mut queue, at_ms(0), waiter(key, 100, 200));
    });
}

#[test]
fn what_cannot_get_a_turn_within_its_time_limit_is_rejected_at_once() {
    let mut queue = queue();
    observe_ends(&mut queue, 10);
    let now = at_ms(2_000);
    let mut waiting = 0;
    let retry_after = loop {
        match queue.offer(now, waiter(waiting, 2_500, 3_000), &room(4, 4)).0 {
            AttemptDecision::Reject { retry_after, reason } => {
                assert_eq!(reason, RejectReason::NoTurnInTime);
                break retry_after;
            }
            _ => waiting += 1,
        }
    };
    // Ten turns a second, and an estimate that may be wrong by 2.
    assert!((15..=30).contains(&waiting), "{waiting}");
    assert!(retry_after >= Duration::from_millis(1_500), "{retry_after:?}");
}

#[test]
fn a_late_response_is_no_reason_to_reject() {
    let mut queue = queue();
    observe_ends(&mut queue, 10);
    wait(&mut queue, at_ms(2_000), waiter(1, 1_000, 5_000));
}

#[test]
fn callers_are_told_to_return_one_by_one() {
    let limits = WaitLimits { max_requests: 0, ..WaitLimits::default() };
    let mut queue = WaitingQueue::new(limits);
    observe_ends(&mut queue, 20);
    let now = at_ms(2_000);
    let mut last = Duration::ZERO;
    for key in 0..20 {
        let (decision, _) = queue.offer(now, waiter(key, 2_500, 30_000), &room(4, 4));
        let AttemptDecision::Reject { retry_after, reason } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(reason, RejectReason::QueueFull);
        assert!(retry_after >= last + Duration::from_millis(30), "{last:?} {retry_after:?}");
        last = retry_after;
    }
}

/// What a queue at its limits does with a request.
macro_rules! bounded {
    ($name:ident, $limits:expr, $taken:expr, $is_expected:pat) => {
        #[test]
        fn $name() {
            let mut queue = WaitingQueue::new($limits);
            wait(&mut queue, at_ms(0), waiter(1, 300, 5_000));
            let mut room = room($taken, 4);
            // Without room, whatever is taken.
            room = if room.has_room() { backlogged($taken) } else { room };
            let (decision, _) = queue.offer(at_ms(0), waiter(2, 300, 5_000), &room);
            assert!(matches!(decision, $is_expected), "{decision:?}");
        }
    };
}

fn backlogged(taken: u32) -> ServiceRoom {
    let mut room = ServiceRoom::default();
    room.add(&UpstreamOccupancy {
        slots: 4,
        counted_requests: taken,
        requests: taken,
        prefill_ms: 9_000.0,
        is_rejecting: false,
    });
    room
}

fn one_request() -> WaitLimits {
    WaitLimits { max_requests: 1, ..WaitLimits::default() }
}

fn some_bytes() -> WaitLimits {
    WaitLimits { max_bytes: 150, ..WaitLimits::default() }
}

bounded!(the_number_that_waits_is_bounded, one_request(), 4, AttemptDecision::Reject { .. });
bounded!(the_bytes_that_wait_are_bounded, some_bytes(), 4, AttemptDecision::Reject { .. });
bounded!(below_half_of_the_slots_nothing_is_rejected, one_request(), 1, AttemptDecision::Send);

#[test]
fn the_time_that_one_waits_is_bounded() {
    let mut queue = queue();
    let id = wait(&mut queue, at_ms(0), waiter(1, 300, 50_000));
    let ask = |queue: &mut WaitingQueue, ms| queue.ask(at_ms(ms), id, at_ms(50_000), &room(4, 4));
    assert!(matches!(ask(&mut queue, 9_900), AttemptDecision::WaitUntil(_)));
    assert_eq!(ask(&mut queue, 10_000), AttemptDecision::Send);
}

#[test]
fn the_end_of_the_process_is_a_time_limit() {
    let mut queue = queue();
    let id = wait(&mut queue, at_ms(0), waiter(1, 300, 50_000));
    let decision = queue.ask(at_ms(1_000), id, at_ms(900), &room(4, 4));
    let AttemptDecision::Reject { reason, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(reason, RejectReason::NoTimeLeft);
}

#[test]
fn engine_time_has_a_price_only_while_requests_wait() {
    let mut queue = queue();
    assert!(queue.engine_price(3, &room(4, 4)).is_free());
    wait(&mut queue, at_ms(0), waiter(1, 300, 5_000));
    assert_eq!(queue.engine_price(3, &room(4, 4)).to_string(), "3");
    assert!(queue.engine_price(3, &room(3, 4)).is_free());
}

/// Requests completed within their target of 300 ms in ten seconds, by a gateway with 4 slots and calls of
/// 40 ms, at `percent` of what the slots bear.
fn completed_in_time(percent: u64) -> u64 {
    const SLOTS: u32 = 4;
    const CALL_MS: u64 = 40;
    let mut queue = queue();
    let mut ends: Vec<u64> = Vec::new();
    let mut waiting: Vec<(WaiterId, u64)> = Vec::new();
    let (mut arrived, mut in_time) = (0, 0);
    for ms in 0..10_000 {
        let now = at_ms(ms);
        let ended = ends.iter().filter(|end| **end == ms).count();
        ends.retain(|end| *end > ms);
        (0..ended).for_each(|_| queue.record_end(now, Duration::from_millis(CALL_MS), false));
        let mut taken = ends.len() as u32;
        let mut send = |arrived_ms: u64, taken: &mut u32| {
            *taken += 1;
            ends.push(ms + CALL_MS);
            in_time += u64::from(ms + CALL_MS <= arrived_ms + 300);
        };
        while let Some(id) = queue.firsts(now).first().copied() {
            if queue.ask(now, id, at_ms(100_000), &room(taken, SLOTS)) != AttemptDecision::Send {
                break;
            }
            queue.remove(id);
            let at = waiting.iter().position(|(other, _)| *other == id).expect("it waits");
            send(waiting.remove(at).1, &mut taken);
        }
        // 100 requests a second are what the slots bear.
        while arrived * 1_000 < ms * percent {
            arrived += 1;
            let (decision, id) =
                queue.offer(now, waiter(arrived, ms + 300, ms + 1_500), &room(taken, SLOTS));
            match (decision, id) {
                (AttemptDecision::Send, _) => send(ms, &mut taken),
                (_, Some(id)) => waiting.push((id, ms)),
                (AttemptDecision::Reject { .. }, None) => {}
                (decision, None) => panic!("{decision:?}"),
            }
        }
        for (id, _) in waiting.clone() {
            if let AttemptDecision::Reject { .. } =
                queue.ask(now, id, at_ms(100_000), &room(taken, SLOTS))
            {
                queue.remove(id);
                waiting.retain(|(other, _)| *other != id);
            }
        }
    }
    in_time
}

/// Work completed in time stays near that at full load.
macro_rules! no_collapse {
    ($name:ident, $percent:expr) => {
        #[test]
        fn $name() {
            let (full, overload) = (completed_in_time(100), completed_in_time($percent));
            assert!(overload * 10 >= full * 9, "{overload} of {full}");
        }
    };
}

no_collapse!(no_collapse_at_one_and_a_half_times, 150);
no_collapse!(no_collapse_at_two_times, 200);
no_collapse!(no_collapse_at_four_times, 400);
