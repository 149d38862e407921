//! The cascade end to end: a cheap model first, a better one if its response is poor.

use std::collections::BTreeMap;

use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

fn plan() -> Plan {
    Plan {
        engines: vec!["cheap@v1", "best@v1"],
        services: 0,
        cells: vec![
            ("w/*/quality_target_percent", "80"),
            ("w/cheap@v1/cascade_place", "1"),
            ("w/best@v1/cascade_place", "2"),
        ],
        ..Plan::default()
    }
}

/// Sends `count` requests for `auto` and returns the number of responses by version.
async fn count_by_target(fleet: &Fleet, count: usize, stream: bool) -> BTreeMap<String, usize> {
    let mut by_target = BTreeMap::new();
    for _ in 0..count {
        let answer = send(fleet.caller(0).chat("auto", "x", 4, stream)).await.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        let expected = format!("[{}] x w2 w3", answer.target);
        let text = if stream { answer.streamed_text() } else { answer.text() };
        assert_eq!(text, expected, "the response is complete and from one model");
        if stream {
            assert_eq!(answer.events().last().map(String::as_str), Some("[DONE]"));
        }
        *by_target.entry(answer.target).or_insert(0) += 1;
    }
    by_target
}

case!(good_responses_of_the_cheap_model_are_delivered, async {
    let fleet = Fleet::start(plan()).await;
    let by_target = count_by_target(&fleet, 40, false).await;
    assert!(by_target["cheap@v1"] >= 38, "{by_target:?}");
});

// Poor responses of the cheap model reach no caller, and soon it is no longer chosen.
async fn check_poor_responses_are_replaced(stream: bool) {
    let fleet = Fleet::start(plan()).await;
    fleet.platform.set_quality("cheap@v1", 0.1);
    let by_target = count_by_target(&fleet, 60, stream).await;
    assert_eq!(by_target.get("cheap@v1"), None, "{by_target:?}");
    let cheap_runs = fleet.engines[0].executions().len();
    assert!((1..=40).contains(&cheap_runs), "{cheap_runs} of 60");
    // One bill record per request, with the usage of both models.
    wait_until("all bill records are settled", || async {
        fleet.entry_state(0).await["unsettled_bills"] == 0
    })
    .await;
    let mut bills = BTreeMap::new();
    for record in fleet.ledger_records() {
        let held: &mut u64 = bills.entry(record.request).or_default();
        *held = (*held).max(record.cost_micros.0);
    }
    assert_eq!(bills.len(), 60);
    // Five tokens at 1000 micros per 1000 tokens: 5 for one model, 10 for both.
    let cascaded = bills.values().filter(|cost| **cost == 10).count();
    assert_eq!(cascaded, cheap_runs, "{bills:?}");
}

case!(poor_responses_are_replaced, check_poor_responses_are_replaced(false));
case!(poor_streamed_responses_are_replaced, check_poor_responses_are_replaced(true));

// Without the rater the quality known so far decides.
case!(a_rater_outage_falls_back_to_known_quality, async {
    let fleet = Fleet::start(plan()).await;
    count_by_target(&fleet, 40, false).await;
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let by_target = count_by_target(&fleet, 20, false).await;
    assert!(by_target["cheap@v1"] >= 18, "{by_target:?}");
});

case!(without_ratings_the_best_model_answers, async {
    let fleet = Fleet::start(plan()).await;
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let by_target = count_by_target(&fleet, 20, false).await;
    assert!(by_target["best@v1"] >= 10, "{by_target:?}");
});

// A session that began with `auto` stays on the version that was chosen.
case!(a_session_stays_on_its_version, async {
    let fleet = Fleet::start(plan()).await;
    let first = send(fleet.caller(0).chat("auto", "x", 4, false)).await.expect("an answer");
    let session = first.session.expect("a session");
    for _ in 0..5 {
        let request = fleet.caller(0).chat("auto", "x", 4, false);
        let answer = send(request.header("Stallhoist-Session", &session)).await.expect("an answer");
        assert_eq!(answer.target, first.target);
    }
});

// The first model was called and failed, the second rejected the request. The request did run,
// so "not run" would be false.
case!(a_rejected_second_model_does_not_report_not_run, async {
    let mut fleet = Fleet::start(plan()).await;
    fleet.engines[0]
        .set_switches(EngineSwitches { fail_percent: 100, ..EngineSwitches::default() });
    fleet.engines.remove(1).stop().await;
    let answer = send(fleet.caller(0).chat("auto", "x", 4, false)).await.expect("an answer");
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "failed"), "{answer:?}");
});
