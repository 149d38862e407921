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

async fn wait_until_all_run(fleet: &Fleet, count: usize) {
    wait_until("all requests run", || async {
        let running = fleet.engines.iter().flat_map(|engine| engine.executions());
        running.filter(|execution| execution.tokens > 2).count() == count
    })
    .await;
}

/// Stops an entry while non-streaming and streamed responses are in progress.
async fn entry_stops(faults: Faults) {
    let mut fleet = Fleet::start(plan()).await;
    let calls: Vec<_> = (0..6)
        .map(|n| tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, n % 2 == 0))))
        .collect();
    wait_until_all_run(&fleet, 6).await;
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
    wait_until("the entry has exited", || async {
        entry.lock().expect("nobody panicked").has_exited_cleanly() == Some(true)
    })
    .await;
    wait_until("all requests are billed", || async { fleet.ledger_records().len() >= 6 }).await;
}

case!(entry_stops_with_the_platform_up, entry_stops(Faults::default()));
case!(
    entry_stops_with_the_platform_down,
    entry_stops(Faults { outage: true, ..Faults::default() })
);

// A stopping entry accepts requests until the load balancer has stopped sending them.
case!(stopping_entry_serves_through_the_balancers_lag, async {
    let fleet = Fleet::start(Plan {
        entry_settings: vec![("timing", "stop_lag_ms", 1500.into())],
        ..plan()
    })
    .await;
    fleet.entries[0].terminate();
    wait_until("the entry reports that it is leaving", || async {
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
    wait_until_all_run(&fleet, 6).await;
    fleet.hosts[0].sidecar.terminate();
    for call in calls {
        let answer = call.await.expect("the call ends").expect("an answer");
        let is_whole = answer.outcome == "completed" || answer.body.contains("[DONE]");
        assert!(is_whole, "{answer:?}");
    }
    assert_eq!(
        fleet.engines.iter().map(|e| e.executions().len()).sum::<usize>(),
        6,
        "no request ran twice"
    );
    let sidecar = std::sync::Mutex::new(&mut fleet.hosts[0].sidecar);
    wait_until("the sidecar has exited", || async {
        sidecar.lock().expect("nobody panicked").has_exited_cleanly() == Some(true)
    })
    .await;
    let answer = send(fleet.caller(0).request(Method::GET, "/v1/models")).await.expect("a list");
    assert_eq!(answer.status, 200);
});
