//! The guard end to end: a degraded version is held, the hold is listed, and one command
//! clears it; no table cell of the operators changes.

use std::process::Command;

use stallhoist_standins::engine::EngineSwitches;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::operators_key;
use crate::harness::send;
use crate::harness::wait_until;

/// Two versions with two engines each; every response is rated.
fn plan() -> Plan {
    Plan {
        engines: vec!["m@v1", "m@v1", "m@v2", "m@v2"],
        services: 0,
        entry_settings: vec![("ratings", "sample_percent", 100.0.into())],
        ..Plan::default()
    }
}

fn failing() -> EngineSwitches {
    EngineSwitches { fail_percent: 100, ..EngineSwitches::default() }
}

async fn is_held(fleet: &Fleet, version: &str) -> bool {
    let addr = fleet.entries[0].addr("operators_addr");
    let holds = fleet.operators(addr, "/v1/holds").await;
    let holds = holds["holds"].as_array().cloned().unwrap_or_default();
    holds.iter().any(|hold| hold["version"] == version)
}

async fn send_until_held(fleet: &Fleet, version: &str) -> usize {
    for sent in 0..600 {
        if is_held(fleet, version).await {
            return sent;
        }
        send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
    }
    panic!("{version} was never held");
}

async fn assert_all_go_to(fleet: &Fleet, version: &str) {
    for _ in 0..20 {
        let answer = send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
        assert_eq!((answer.outcome.as_str(), answer.target.as_str()), ("completed", version));
    }
}

case!(a_failing_version_is_held_and_cleared, async {
    let fleet = Fleet::start(plan()).await;
    fleet.engines[2].set_switches(failing());
    fleet.engines[3].set_switches(failing());
    send_until_held(&fleet, "m@v2").await;
    assert_all_go_to(&fleet, "m@v1").await;
    let addr = fleet.entries[0].addr("operators_addr");
    let table = fleet.operators(addr, "/v1/table").await;
    assert_eq!(table["revision"], 1, "the table is unchanged");
    fleet.engines[2].set_switches(EngineSwitches::default());
    fleet.engines[3].set_switches(EngineSwitches::default());
    let clear = move || {
        Command::new(env!("CARGO_BIN_EXE_stallhoist"))
            .args(["hold", "clear", "m@v2"])
            .env("STALLHOIST_OPERATORS_URL", format!("http://{addr}"))
            .env("STALLHOIST_OPERATORS_KEY", operators_key())
            .status()
            .expect("the command runs")
    };
    assert!(tokio::task::spawn_blocking(clear).await.expect("the command ends").success());
    wait_until("the version serves again", || async {
        let answer = send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
        answer.target == "m@v2"
    })
    .await;
    assert!(!is_held(&fleet, "m@v2").await);
});

case!(a_version_with_poor_ratings_is_held, async {
    let fleet = Fleet::start(plan()).await;
    fleet.platform.set_quality("m@v2", 0.1);
    send_until_held(&fleet, "m@v2").await;
    assert_all_go_to(&fleet, "m@v1").await;
});

// Only one of two upstreams of the version fails.
case!(a_failing_upstream_does_not_hold_its_version, async {
    let fleet = Fleet::start(plan()).await;
    fleet.engines[3].set_switches(failing());
    for _ in 0..150 {
        send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
    }
    assert!(!is_held(&fleet, "m@v2").await);
});

// A hold stops only new requests, not those of sessions on the version.
case!(sessions_of_a_held_version_continue, async {
    let fleet = Fleet::start(plan()).await;
    let first = send(fleet.caller(0).chat("m@v2", "x", 2, false)).await.expect("an answer");
    let session = first.session.expect("a session");
    fleet.platform.set_quality("m@v2", 0.1);
    send_until_held(&fleet, "m@v2").await;
    let request = fleet.caller(0).chat("m", "x", 2, false).header("Stallhoist-Session", session);
    let answer = send(request).await.expect("an answer");
    assert_eq!((answer.outcome.as_str(), answer.target.as_str()), ("completed", "m@v2"));
});
