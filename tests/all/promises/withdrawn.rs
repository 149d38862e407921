//! P2: a withdrawn version receives no new requests.

use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::edit_of;
use crate::harness::send;
use crate::harness::wait_until;

case!(no_new_work_once_the_edit_is_accepted, async {
    let fleet = Fleet::start(Plan { entries: 2, ..Plan::default() }).await;
    let withdraw = edit_of(&[("w/m@v1/state", "active", "withdrawn")]);
    let (status, reply) = fleet.edit(0, &withdraw).await;
    assert_eq!(status, 200, "{reply}");
    fleet.wait_until_active(2).await;
    for entry in 0..2 {
        let answer =
            send(fleet.caller(entry).chat("m@v1", "x", 2, false)).await.expect("an answer");
        assert_eq!((answer.outcome.as_str(), answer.code().as_str()), ("not-run", "withdrawn"));
    }
    assert!(fleet.engines.iter().all(|engine| engine.executions().is_empty()));
});

// A request that is queued when its version is withdrawn counts as a new request.
case!(queued_work_is_refused_when_its_turn_comes, async {
    let fleet = Fleet::start(Plan {
        engines: vec!["m@v1"],
        services: 0,
        switches: EngineSwitches { step_base_us: 20_000, ..EngineSwitches::default() },
        sidecar_settings: vec![("admission", "max_in_flight_requests", 1.into())],
        ..Plan::default()
    })
    .await;
    let first = tokio::spawn(send(fleet.caller(0).chat("m", "first", 40, false)));
    wait_until("the first request runs", || async { fleet.engines[0].executions().len() == 1 })
        .await;
    let second = tokio::spawn(send(fleet.caller(0).chat("m", "second", 2, false)));
    wait_until("the second request is queued", || async {
        fleet.sidecar_state(0).await["queue_len_requests"] == 1
    })
    .await;
    let withdraw = edit_of(&[("w/m@v1/state", "active", "withdrawn")]);
    let (status, reply) = fleet.edit(0, &withdraw).await;
    assert!(status == 200 || status == 202, "{reply}");
    let first = first.await.expect("the call ends").expect("an answer");
    assert_eq!(first.outcome, "completed", "a request in progress is not cut");
    let second = second.await.expect("the call ends").expect("an answer");
    assert_eq!(second.outcome, "not-run", "{second:?}");
    assert_eq!(fleet.engines[0].executions().len(), 1);
});

// The platform fails right after the edit is accepted.
case!(holds_through_an_outage_and_a_sidecars_restart, async {
    let mut fleet = Fleet::start(Plan { entries: 2, ..Plan::default() }).await;
    let withdraw = edit_of(&[("w/m@v1/state", "active", "withdrawn")]);
    let (status, reply) = fleet.edit(0, &withdraw).await;
    assert_eq!(status, 200, "{reply}");
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    fleet.hosts[0].sidecar.kill();
    fleet.restart_sidecar(0);
    fleet.wait_until_active(2).await;
    for entry in 0..2 {
        let answer =
            send(fleet.caller(entry).chat("m@v1", "x", 2, false)).await.expect("an answer");
        assert_eq!(answer.outcome, "not-run");
    }
    assert!(fleet.engines.iter().all(|engine| engine.executions().is_empty()));
});
