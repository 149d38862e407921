//! P9: a planned stop cuts off no request in progress.

use reqwest::Method;
use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

const TOKENS: u64 = 150;

fn plan() -> Plan {
    Plan {
        entries: 2,
        engines: vec!["m@v1", "m@v1"],
        services: 0,
        switches: EngineSwitches { step_base_us: 4_000, ..EngineSwitches::default() },
        ..Plan::default()
    }
}

async fn all_running(fleet: &Fleet, count: usize) {
    wait_until("all run", || async {
        let running = fleet.engines.iter().flat_map(|engine| engine.executions());
        running.filter(|execution| execution.tokens > 2).count() == count
    })
    .await;
}

/// Whole and streamed answers run while the entry is told to stop.
async fn entry_stops(faults: Faults) {
    let mut fleet = Fleet::start(plan()).await;
    let calls: Vec<_> = (0..6)
        .map(|n| tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, n % 2 == 0))))
        .collect();
    all_running(&fleet, 6).await;
    fleet.platform.set_faults(faults);
    fleet.entries[0].terminate();
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.await.expect("the call ends").expect("an answer");
        if number % 2 == 0 {
            assert_eq!(answer.events().last().map(String::as_str), Some("[DONE]"));
        } else {
            assert_eq!(answer.outcome, "completed");
        }
    }
    fleet.platform.set_faults(Faults::default());
    let entry = std::sync::Mutex::new(&mut fleet.entries[0]);
    wait_until("the entry has ended", || async {
        entry.lock().expect("nobody panicked").has_exited_cleanly() == Some(true)
    })
    .await;
    wait_until("all are billed", || async { fleet.ledger_records().len() >= 6 }).await;
}

case!(entry_stops_with_the_platform_up, entry_stops(Faults::default()));
case!(
    entry_stops_with_the_platform_down,
    entry_stops(Faults { outage: true, ..Faults::default() })
);

// While the balancer has not learnt of it, a stopping entry still takes requests.
case!(stopping_entry_serves_through_the_balancers_lag, async {
    let fleet = Fleet::start(Plan {
        entry_settings: vec![("timing", "stop_lag_ms", 1500.into())],
        ..plan()
    })
    .await;
    fleet.entries[0].terminate();
    wait_until("it says that it is leaving", || async {
        fleet.entry_state(0).await["is_leaving"] == true
    })
    .await;
    let answer = send(fleet.caller(0).chat("m", "x", 4, false)).await.expect("an answer");
    assert_eq!(answer.outcome, "completed");
});

case!(sidecar_stops, async {
    let mut fleet = Fleet::start(plan()).await;
    let calls: Vec<_> = (0..6)
        .map(|n| tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, n % 2 == 0))))
        .collect();
    all_running(&fleet, 6).await;
    fleet.hosts[0].sidecar.terminate();
    for call in calls {
        let answer = call.await.expect("the call ends").expect("an answer");
        let is_whole = answer.outcome == "completed" || answer.body.contains("[DONE]");
        assert!(is_whole, "{answer:?}");
    }
    assert_eq!(
        fleet.engines.iter().map(|e| e.executions().len()).sum::<usize>(),
        6,
        "none ran twice"
    );
    let sidecar = std::sync::Mutex::new(&mut fleet.hosts[0].sidecar);
    wait_until("the sidecar has ended", || async {
        sidecar.lock().expect("nobody panicked").has_exited_cleanly() == Some(true)
    })
    .await;
    let answer = send(fleet.caller(0).request(Method::GET, "/v1/models")).await.expect("a list");
    assert_eq!(answer.status, 200);
});
