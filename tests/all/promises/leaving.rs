//! P8: an upstream that is leaving receives no new work after a few seconds.

use futures_util::future::join_all;
use stallhoist_platform::HostState;
use stallhoist_standins::engine::EngineStandin;
use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

/// Sends twenty concurrent requests, enough that some would reach the leaving upstream if it were
/// used.
async fn send_twenty_concurrently(fleet: &Fleet) {
    let calls = (0..20).map(|_| send(fleet.caller(0).chat("m", "x", 4, false)));
    for answer in join_all(calls).await {
        assert_eq!(answer.expect("an answer").outcome, "completed");
    }
}

async fn assert_host_avoided(fleet: &Fleet, leaving: usize) {
    let before = fleet.engines[leaving].executions().len();
    send_twenty_concurrently(fleet).await;
    assert_eq!(fleet.engines[leaving].executions().len(), before);
}

fn plan() -> Plan {
    Plan {
        engines: vec!["m@v1", "m@v1"],
        services: 0,
        switches: EngineSwitches { step_base_us: 5_000, ..EngineSwitches::default() },
        ..Plan::default()
    }
}

// The sidecar announces that it leaves. It completes its running requests, and new ones go to
// another host at once. Both engines are busy, so that the leaving one would be chosen as often as
// the other.
case!(told_by_the_sidecar_with_the_platform_down, async {
    let fleet = Fleet::start(plan()).await;
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    // The entry learns the step times of both engines first.
    send_twenty_concurrently(&fleet).await;
    let long = || tokio::spawn(send(fleet.caller(0).chat("m", "long", 400, true)));
    let running: Vec<_> = (0..20).map(|_| long()).collect();
    wait_until("both engines are busy", || async {
        let is_long = |engine: &EngineStandin| engine.executions().iter().any(|e| e.tokens > 4);
        fleet.engines.iter().all(is_long)
    })
    .await;
    fleet.hosts[0].sidecar.terminate();
    wait_until("the sidecar is leaving", || async {
        fleet.sidecar_state(0).await["is_leaving"] == true
    })
    .await;
    for _ in 0..3 {
        assert_host_avoided(&fleet, 0).await;
    }
    for call in running {
        let answer = call.await.expect("the call ends").expect("an answer");
        assert_eq!(answer.events().last().map(String::as_str), Some("[DONE]"));
    }
});

// Only the host list shows that the host leaves, and with a delay.
case!(told_by_a_lagging_host_list, async {
    let mut fleet = Fleet::start(plan()).await;
    fleet.platform.set_faults(Faults { host_list_lag_ms: 300, ..Faults::default() });
    fleet.hosts[0].listed.state = HostState::Leaving;
    fleet.list_hosts();
    wait_until("the leaving host gets no more requests", || async {
        let before = fleet.engines[0].executions().len();
        send_twenty_concurrently(&fleet).await;
        fleet.engines[0].executions().len() == before
    })
    .await;
    assert_host_avoided(&fleet, 0).await;
});
