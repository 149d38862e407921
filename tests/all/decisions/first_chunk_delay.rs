//! How much later than expected first chunks arrive.

use std::time::Duration;

use stallhoist_policy::retry::FirstChunkDelay;

use super::at_ms;

const EXPECTED: Duration = Duration::from_millis(100);
const RESPONSES: u64 = 40;

/// The correction after responses that took `took_ms` each, the last of them at 4 s.
fn after_responses(took_ms: u64) -> FirstChunkDelay {
    let mut delay = FirstChunkDelay::default();
    for n in 1..=RESPONSES {
        delay.observe(at_ms(n * 100), EXPECTED, Duration::from_millis(took_ms));
    }
    delay
}

#[test]
fn expectations_grow_with_late_responses() {
    let corrected = after_responses(500).corrected(at_ms(4_100), EXPECTED);
    assert!((490..=500).contains(&corrected.as_millis()), "{corrected:?}");
}

#[test]
fn early_responses_shorten_no_expectation() {
    assert_eq!(after_responses(20).corrected(at_ms(4_100), EXPECTED), EXPECTED);
}

#[test]
fn late_responses_are_forgotten() {
    let delay = after_responses(500);
    assert!(delay.corrected(at_ms(8_999), EXPECTED) > EXPECTED);
    assert_eq!(delay.corrected(at_ms(9_000), EXPECTED), EXPECTED);
}

#[test]
fn a_few_rejections_are_no_lack_of_room() {
    let mut delay = after_responses(100);
    for n in 0..20 {
        delay.rejected(at_ms(4_000 + n));
        delay.observe(at_ms(4_000 + n), EXPECTED, EXPECTED);
        delay.observe(at_ms(4_000 + n), EXPECTED, EXPECTED);
        assert!(!delay.are_most_rejected(at_ms(4_000 + n)));
    }
    for n in 0..20 {
        delay.rejected(at_ms(4_100 + n));
    }
    assert!(delay.are_most_rejected(at_ms(4_200)));
    assert!(!delay.are_most_rejected(at_ms(9_200)));
}
