//! P6: a request that is rejected with the outcome "not-run" has not run.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use stallhoist_standins::Direction;
use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::Faults;
use tokio::net::TcpSocket;

use crate::case::case;
use crate::harness::Answer;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

/// The IDs of the requests that any engine or service has executed.
fn executed(fleet: &Fleet) -> BTreeSet<String> {
    let engines = fleet.engines.iter().flat_map(|engine| engine.executions());
    let services = fleet.services.iter().flat_map(|service| service.executions());
    let ids = engines.map(|e| e.request_id).chain(services.map(|e| e.request_id));
    ids.map(|id| id.rsplit_once('-').map(|(request, _)| request.to_owned()).unwrap_or(id)).collect()
}

fn assert_not_run_is_true(fleet: &Fleet, answers: &[Answer]) {
    let executed = executed(fleet);
    for answer in answers.iter().filter(|answer| answer.outcome == "not-run") {
        assert!(!executed.contains(&answer.request), "the request ran: {answer:?}");
    }
}

// The connection breaks while the dispatch is in transit, so that it arrives late or never.
case!(dispatch_lost_in_a_cut_is_proved_not_run, async {
    let fleet = Fleet::start(Plan { engines: Vec::new(), ..Plan::default() }).await;
    fleet.hosts[0].proxy.hold(Direction::ToListener);
    let call = tokio::spawn(send(fleet.caller(0).call("ledger", "fund", "key", "x")));
    wait_until("the entry has sent the dispatch", || async {
        let state = fleet.entry_state(0).await;
        state["in_flight_requests"] == 1
    })
    .await;
    fleet.hosts[0].proxy.cut();
    fleet.hosts[0].proxy.heal();
    let answer = call.await.expect("the call ends").expect("an answer");
    // The sidecar confirms that the attempt has not run. The request is then retried and runs, or is
    // rejected as not run.
    let executions = fleet.services[0].executions().len();
    match answer.outcome.as_str() {
        "completed" => assert_eq!(executions, 1),
        "not-run" => assert_eq!(executions, 0),
        other => panic!("the sidecar was reachable, but the outcome is {other}"),
    }
});

// A restarted sidecar has no record of what its previous process ran.
case!(restarted_sidecar_gives_unknown, async {
    let mut fleet = Fleet::start(Plan { engines: Vec::new(), ..Plan::default() }).await;
    fleet.services[0].set_delay(std::time::Duration::from_secs(3));
    let call = tokio::spawn(send(fleet.caller(0).call("ledger", "fund", "key", "x")));
    wait_until("it runs", || async { fleet.services[0].executions().len() == 1 }).await;
    fleet.hosts[0].sidecar.kill();
    fleet.restart_sidecar(0);
    let answer = call.await.expect("the call ends").expect("an answer");
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
    assert_eq!(fleet.services[0].executions().len(), 1);
});

case!(frozen_sidecar_gives_unknown_and_runs_at_most_once_when_woken, async {
    let fleet = Fleet::start(Plan { engines: Vec::new(), ..Plan::default() }).await;
    fleet.hosts[0].sidecar.freeze();
    let answer = send(fleet.caller(0).call("ledger", "fund", "key", "x")).await.expect("an answer");
    fleet.hosts[0].sidecar.wake();
    assert_ne!(answer.outcome, "completed");
    if answer.outcome == "not-run" {
        let again = send(fleet.caller(0).call("ledger", "fund", "key-2", "x")).await;
        assert!(again.is_some());
        assert_not_run_is_true(&fleet, &[answer]);
    }
    assert!(fleet.services[0].executions().len() <= 2);
});

/// Starts a fleet whose only engine has stopped. The returned socket reserves the engine's port:
/// otherwise a concurrent test could listen on it and respond in place of the engine, for example
/// with 401 or with a response that cannot be parsed.
async fn fleet_without_its_engine() -> (Fleet, TcpSocket) {
    loop {
        let plan = Plan { engines: vec!["m@v1"], services: 0, ..Plan::default() };
        let mut fleet = Fleet::start(plan).await;
        let engine = fleet.engines.remove(0);
        let url = engine.url();
        let addr = url
            .trim_start_matches("http://")
            .parse()
            .expect("the engine's URL has a socket address");
        engine.stop().await;
        // The socket is bound but doesn't listen, so connections are refused.
        let held = TcpSocket::new_v4().expect("a socket can be opened");
        held.set_reuseaddr(true).expect("SO_REUSEADDR can be set");
        if held.bind(addr).is_ok() {
            return (fleet, held);
        }
    }
}

case!(unreachable_upstream_is_not_run, async {
    let (fleet, _reserved_port) = fleet_without_its_engine().await;
    let answer = send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"));
    assert!(answer.retry_after.is_some());
});

case!(store_down_refuses_claims_and_runs_nothing, async {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let answer = send(fleet.caller(0).call("ledger", "fund", "key", "x")).await.expect("an answer");
    assert_eq!((answer.status, answer.code().as_str()), (503, "store-unavailable"));
    assert_eq!(answer.outcome, "not-run");
    assert!(answer.retry_after.is_some());
    assert!(fleet.services[0].executions().is_empty());
    // Requests that need no claim are still served.
    let chat = send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
    assert_eq!(chat.outcome, "completed");
    // The same key can be used after the store has recovered.
    fleet.platform.set_faults(Faults::default());
    wait_until("the key can be claimed again", || async {
        let call = fleet.caller(0).call("ledger", "fund", "key", "x");
        send(call).await.is_some_and(|answer| answer.outcome == "completed")
    })
    .await;
    assert_eq!(fleet.services[0].executions().len(), 1);
});

// Checks each "not-run" outcome against the executions, under overload and cut connections.
case!(overload_with_cuts, async {
    let fleet = Fleet::start(Plan {
        engines: vec!["m@v1", "m@v1"],
        switches: EngineSwitches { step_base_us: 3_000, ..EngineSwitches::default() },
        sidecar_settings: vec![
            ("admission", "max_in_flight_requests", 2.into()),
            ("admission", "max_queue_len_requests", 2.into()),
            ("admission", "first_token_target_ms", 200.into()),
        ],
        ..Plan::default()
    })
    .await;
    let calls = (0..60).map(|number| {
        let prompt = format!("caller-{number}");
        send(fleet.caller(0).chat("m", &prompt, 20, number % 2 == 0))
    });
    let cuts = async {
        for round in 0..10 {
            wait_until("something runs", || async { !executed(&fleet).is_empty() }).await;
            fleet.hosts[round % 2].proxy.cut();
            wait_until("the entry has reconnected", || async {
                let state = fleet.entry_state(0).await;
                state["links"][round % 2]["is_connected"] == true
            })
            .await;
        }
    };
    let (answers, ()) = futures_util::future::join(join_all(calls), cuts).await;
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    assert_eq!(answers.len(), 60, "every caller gets a response");
    assert!(answers.iter().any(|answer| answer.outcome == "not-run"), "some requests are rejected");
    assert_not_run_is_true(&fleet, &answers);
});
