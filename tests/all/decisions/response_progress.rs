//! How far the response of a request had come when its upstream crashed.

use stallhoist_policy::fatal::ResponsePhase;
use stallhoist_policy::fatal::ResponseProgress;

use super::at_ms;

/// The phase of a response whose head was received at 100 ms, and parts of its body at these times.
fn phase_after(parts_ms: &[u64]) -> ResponsePhase {
    let mut progress = ResponseProgress::default();
    progress.record_head(at_ms(100));
    for at in parts_ms {
        progress.record_part(at_ms(*at));
    }
    progress.phase()
}

#[test]
fn a_response_without_a_head_is_awaited() {
    assert_eq!(ResponseProgress::default().phase(), ResponsePhase::Awaited);
}

#[test]
fn a_response_that_goes_on_for_a_while_is_written() {
    assert_eq!(phase_after(&[]), ResponsePhase::Begun);
    assert_eq!(phase_after(&[101, 599]), ResponsePhase::Started);
    assert_eq!(phase_after(&[101, 600]), ResponsePhase::Written);
}
