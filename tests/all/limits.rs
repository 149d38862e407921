//! Fleet-wide limits of table rows, end to end.

use serde_json::json;
use stallhoist_standins::engine::EngineSwitches;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

/// Tokens of a request that takes several seconds, at 20 ms per token.
const LONG_COMPLETION_TOKENS: u64 = 400;

/// Two entries that list each other, with a limit across both.
async fn fleet(cell: &'static str, value: &'static str) -> Fleet {
    let fleet = Fleet::start(Plan {
        entries: 2,
        engines: vec!["m@v1"],
        switches: EngineSwitches { step_base_us: 20_000, ..EngineSwitches::default() },
        cells: vec![(cell, value)],
        // A list expires after six polls; the long interval keeps it valid on a busy machine.
        entry_settings: vec![("platform", "host_list_poll_ms", json!(2_000))],
        ..Plan::default()
    })
    .await;
    fleet.list_hosts_and_entries();
    wait_until("both entries are listed", async || {
        let states = [fleet.entry_state(0).await, fleet.entry_state(1).await];
        states.iter().all(|state| state["listed_entries"] == 2)
    })
    .await;
    fleet
}

async fn assert_refused(fleet: &Fleet, entry: usize) {
    let answer = send(fleet.caller(entry).chat("m@v1", "x", 1, false)).await.expect("an answer");
    let refused = (answer.status, answer.outcome.as_str(), answer.code());
    assert_eq!(refused, (429, "not-run", "limit-reached".to_owned()));
    assert!(answer.retry_after.is_some(), "a rejection has a retry time");
}

case!(concurrency_is_limited_across_both_entries, async {
    let fleet = fleet("w/m@v1/max_in_flight_requests", "2").await;
    let mut running = Vec::new();
    for entry in 0..2 {
        let request = fleet.caller(entry).chat("m@v1", "x", LONG_COMPLETION_TOKENS, true);
        running.push(tokio::spawn(send(request)));
        let expected = running.len();
        wait_until("the request runs", async || fleet.engines[0].executions().len() == expected)
            .await;
        assert_refused(&fleet, entry).await;
    }
    // A caller that disconnects frees its share.
    running[0].abort();
    wait_until("the first entry admits requests again", async || {
        let answer = send(fleet.caller(0).chat("m@v1", "x", 1, false)).await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_refused(&fleet, 1).await;
});

case!(token_rate_is_limited_across_both_entries, async {
    let fleet = fleet("w/m@v1/max_tokens_per_s", "10").await;
    for entry in 0..2 {
        // More tokens than the rate of one second: it is admitted and overdraws the share.
        let answer = send(fleet.caller(entry).chat("m@v1", "x", 100, false)).await;
        assert_eq!(answer.expect("an answer").status, 200);
        assert_refused(&fleet, entry).await;
    }
    assert_eq!(fleet.engines[0].executions().len(), 2);
});

case!(a_row_without_limits_admits_all, async {
    let fleet = fleet("w/m@v1/max_requests_per_s", "0").await;
    for _ in 0..10 {
        let answer = send(fleet.caller(0).chat("m@v1", "x", 1, false)).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
});
