//! Shares and enforcement of fleet-wide limits.

use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_policy::limits::EntryShare;
use stallhoist_policy::limits::RowLimiter;
use stallhoist_policy::limits::RowLimits;

use super::at_ms;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("entry-{n}").parse().expect("a name")).collect()
}

fn single_entry() -> EntryShare {
    EntryShare::of(&hosts(1)[0], &hosts(1), 0)
}

#[test]
fn the_shares_add_up_to_the_limit() {
    for count in [1, 2, 3, 7, 32] {
        let hosts = hosts(count);
        for (limit, salt) in [(1, 0), (2, 5), (10, 3), (33, 8)] {
            let shares: Vec<_> =
                hosts.iter().map(|own| EntryShare::of(own, &hosts, salt)).collect();
            let whole: u32 = shares.iter().map(|share| share.whole_part(limit)).sum();
            let fractional: f64 = shares.iter().map(|share| share.part(limit)).sum();
            assert_eq!(whole, limit, "{count} entries");
            assert!((fractional - f64::from(limit)).abs() < 1e-9, "{count} entries: {fractional}");
        }
    }
}

#[test]
fn remainders_go_to_different_entries_for_different_limits() {
    let hosts = hosts(4);
    let holder =
        |salt| hosts.iter().position(|h| EntryShare::of(h, &hosts, salt).whole_part(1) == 1);
    let holders: std::collections::BTreeSet<_> = (0..4).map(holder).collect();
    assert_eq!(holders.len(), 4);
}

#[test]
fn an_unlisted_entry_counts_itself() {
    let hosts = hosts(4);
    let share = EntryShare::of(&hosts[3], &hosts[..3], 0);
    assert!((share.part(8) - 2.0).abs() < 1e-9);
    assert!((share.halved().part(8) - 1.0).abs() < 1e-9);
}

#[test]
fn requests_in_progress_are_counted_until_they_end() {
    let limits = RowLimits { max_in_flight_requests: 2, ..RowLimits::default() };
    let mut limiter = RowLimiter::default();
    let admit = |limiter: &mut RowLimiter| limiter.admit(at_ms(0), &limits, single_entry(), 10);
    assert!(admit(&mut limiter).is_ok() && admit(&mut limiter).is_ok());
    let refused = admit(&mut limiter).expect_err("the concurrency limit is reached");
    assert_eq!(refused.retry_after, Duration::from_millis(500));
    limiter.ended();
    assert!(admit(&mut limiter).is_ok());
}

/// How many requests of `tokens` tokens are admitted within 10 s, with one offered every 10 ms.
fn admitted_in_10_s(limits: RowLimits, share: EntryShare, tokens: u64) -> usize {
    let mut limiter = RowLimiter::default();
    let times = (0..1_000).map(|n| at_ms(n * 10));
    times.filter(|now| limiter.admit(*now, &limits, share, tokens).is_ok()).count()
}

/// A name, the limits, the entries, the tokens of a request, and the number admitted at one
/// entry.
macro_rules! rate {
    ($name:ident, $limits:expr, $entries:expr, $tokens:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let hosts = hosts($entries);
            let share = EntryShare::of(&hosts[0], &hosts, 0);
            let admitted = admitted_in_10_s($limits, share, $tokens);
            assert!($expected.contains(&admitted), "{admitted}");
        }
    };
}

const REQUESTS: RowLimits =
    RowLimits { max_in_flight_requests: 0, max_requests_per_s: 20, max_tokens_per_s: 0 };
const TOKENS: RowLimits =
    RowLimits { max_in_flight_requests: 0, max_requests_per_s: 0, max_tokens_per_s: 1_000 };

// The burst is the rate of one second, so up to 11 s of the rate are admitted within 10 s.
rate!(request_rate, REQUESTS, 1, 10, (199..=220));
rate!(request_rate_at_four_entries, REQUESTS, 4, 10, (49..=55));
rate!(less_than_one_request_per_second, REQUESTS, 40, 10, (5..=6));
rate!(token_rate, TOKENS, 1, 100, (100..=111));
rate!(requests_larger_than_the_token_rate, TOKENS, 1, 4_000, (3..=3));
rate!(no_limit, RowLimits::default(), 4, 10, (1_000..=1_000));

// Guards against buckets that are full at each start of a process.
#[test]
fn an_entry_that_restarts_admits_no_more_than_one_that_does_not() {
    let mut admitted = 0;
    for _ in 0..20 {
        let mut limiter = RowLimiter::default();
        let times = (0..500).step_by(10).map(at_ms);
        admitted +=
            times.filter(|now| limiter.admit(*now, &REQUESTS, single_entry(), 0).is_ok()).count();
    }
    assert!((199..=220).contains(&admitted), "{admitted}");
}

#[test]
fn a_rejection_has_the_time_until_the_bucket_is_refilled() {
    let mut limiter = RowLimiter::default();
    let full_at = at_ms(1_000);
    limiter.admit(full_at, &TOKENS, single_entry(), 3_000).expect("the first request is admitted");
    let refused =
        limiter.admit(full_at, &TOKENS, single_entry(), 1).expect_err("the bucket is overdrawn");
    assert_eq!(refused.retry_after, Duration::from_millis(2_001));
    assert!(limiter.admit(at_ms(3_001), &TOKENS, single_entry(), 1).is_ok());
}
