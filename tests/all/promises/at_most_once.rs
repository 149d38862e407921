//! P7: a request marked as not repeatable runs at most once.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future::join_all;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Caller;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

fn plan() -> Plan {
    Plan { entries: 2, engines: Vec::new(), services: 2, ..Plan::default() }
}

fn executions_by_key(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for service in &fleet.services {
        for execution in service.executions() {
            *counts.entry(execution.idempotency_key).or_insert(0) += 1;
        }
    }
    counts
}

fn assert_at_most_once(fleet: &Fleet) {
    let counts = executions_by_key(fleet);
    assert!(counts.values().all(|count| *count == 1), "run more than once: {counts:?}");
}

/// Repeats a request until its key is rejected as a duplicate, or its outcome is other than
/// "not-run". Returns the last outcome, or "gave up" after 200 attempts.
async fn retry_until_settled(callers: Vec<Caller>, key: String) -> String {
    for round in 0..200 {
        let caller = &callers[round % callers.len()];
        let Some(answer) = send(caller.call("ledger", "fund", &key, "x")).await else {
            continue;
        };
        if answer.code() == "duplicate-key" || answer.outcome != "not-run" {
            return answer.outcome;
        }
    }
    "gave up".to_owned()
}

fn retrying_callers(fleet: &Fleet, keys: usize) -> Vec<impl Future<Output = String> + use<>> {
    let callers = vec![fleet.caller(0), fleet.caller(1)];
    (0..keys).map(|key| retry_until_settled(callers.clone(), format!("key-{key}"))).collect()
}

case!(many_callers_with_one_key, async {
    let fleet = Fleet::start(plan()).await;
    let calls = (0..30).map(|n| send(fleet.caller(n % 2).call("ledger", "fund", "one", "x")));
    let answers: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
    let completed = answers.iter().filter(|answer| answer.outcome == "completed").count();
    assert_eq!(completed, 1);
    assert!(answers.iter().all(|a| a.outcome == "completed" || a.code() == "duplicate-key"));
    assert_eq!(executions_by_key(&fleet), BTreeMap::from([("one".to_owned(), 1)]));
});

case!(replies_of_the_claims_lost, async {
    let fleet = Fleet::start(plan()).await;
    fleet.platform.set_faults(Faults { lose_write_replies: 5, ..Faults::default() });
    join_all(retrying_callers(&fleet, 10)).await;
    assert_at_most_once(&fleet);
    assert_eq!(executions_by_key(&fleet).len(), 10, "each key ran exactly once");
});

case!(sidecars_killed_while_they_run, async {
    let mut fleet = Fleet::start(plan()).await;
    for service in &fleet.services {
        service.set_delay(Duration::from_millis(100));
    }
    let calls = tokio::spawn(join_all(retrying_callers(&fleet, 10)));
    for round in 0..4 {
        let before = executions_by_key(&fleet).len();
        let what = format!("more than {before} have run or all have ended, round {round}");
        wait_until(&what, || async {
            executions_by_key(&fleet).len() > before || calls.is_finished()
        })
        .await;
        fleet.hosts[round % 2].sidecar.kill();
        fleet.restart_sidecar(round % 2);
    }
    calls.await.expect("all end");
    assert_at_most_once(&fleet);
});

case!(connections_cut_while_they_run, async {
    let fleet = Fleet::start(plan()).await;
    for service in &fleet.services {
        service.set_delay(Duration::from_millis(30));
    }
    let calls = tokio::spawn(join_all(retrying_callers(&fleet, 20)));
    let mut round = 0;
    while !calls.is_finished() {
        fleet.hosts[round % 2].proxy.cut();
        round += 1;
        wait_until("the connections are back", || async {
            let state = fleet.entry_state(0).await;
            calls.is_finished() || state["links"][round % 2]["is_connected"] == true
        })
        .await;
    }
    let outcomes = calls.await.expect("all end");
    assert_at_most_once(&fleet);
    assert!(outcomes.iter().all(|outcome| outcome == "completed"), "{outcomes:?}");
});

case!(entry_killed_while_it_waits, async {
    let mut fleet = Fleet::start(plan()).await;
    for service in &fleet.services {
        service.set_delay(Duration::from_millis(300));
    }
    let callers = vec![fleet.caller(0), fleet.caller(1)];
    let calls = tokio::spawn(retry_until_settled(callers, "key-0".to_owned()));
    wait_until("it runs", || async { !executions_by_key(&fleet).is_empty() }).await;
    fleet.entries[0].kill();
    calls.await.expect("the call ends");
    assert_at_most_once(&fleet);
});

// After the caller has got the outcome "unknown", the sidecar resumes and finds the dispatch in its
// socket buffer. It may run it, but only once.
case!(frozen_sidecar_woken_later, async {
    let fleet = Fleet::start(Plan { services: 1, ..plan() }).await;
    fleet.hosts[0].sidecar.freeze();
    let answer = send(fleet.caller(0).call("ledger", "fund", "frozen", "x")).await;
    assert_ne!(answer.expect("an answer").outcome, "completed");
    fleet.hosts[0].sidecar.wake();
    fleet.wait_until_active(1).await;
    let outcome = retry_until_settled(vec![fleet.caller(1)], "frozen".to_owned()).await;
    assert_ne!(outcome, "gave up");
    assert_at_most_once(&fleet);
});

// It is unknown whether the request ran, so its key must stay claimed. Otherwise a retry by the
// caller could run it a second time.
case!(unknown_keeps_its_claim, async {
    let mut fleet = Fleet::start(Plan { services: 1, ..plan() }).await;
    fleet.services[0].set_delay(Duration::from_secs(3));
    let call = tokio::spawn(send(fleet.caller(0).call("ledger", "fund", "one", "x")));
    wait_until("it runs", || async { !executions_by_key(&fleet).is_empty() }).await;
    fleet.hosts[0].sidecar.kill();
    fleet.restart_sidecar(0);
    let first = call.await.expect("the call ends").expect("an answer");
    assert_eq!(first.outcome, "unknown");
    fleet.services[0].set_delay(Duration::ZERO);
    for entry in 0..2 {
        let again = send(fleet.caller(entry).call("ledger", "fund", "one", "x")).await;
        let again = again.expect("an answer");
        assert_eq!((again.outcome.as_str(), again.code().as_str()), ("not-run", "duplicate-key"));
    }
    assert_at_most_once(&fleet);
});

case!(platform_down_and_a_sidecar_killed, async {
    let mut fleet = Fleet::start(plan()).await;
    let calls = tokio::spawn(join_all(retrying_callers(&fleet, 5)));
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    fleet.hosts[0].sidecar.kill();
    fleet.restart_sidecar(0);
    fleet.platform.set_faults(Faults { lose_write_replies: 2, ..Faults::default() });
    calls.await.expect("all end");
    assert_at_most_once(&fleet);
});
