//! The request path through separate processes: caller, entry, sidecar, and engine or service.

use reqwest::Method;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

case!(non_streaming_response, async {
    let fleet = Fleet::start(Plan::default()).await;
    let answer = send(fleet.caller(0).chat("m", "hello", 8, false)).await.expect("a response");
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "completed"));
    assert_eq!(answer.text(), "[m@v1] hello w2 w3 w4 w5 w6 w7");
});

case!(streamed_response, async {
    let fleet = Fleet::start(Plan::default()).await;
    let answer = send(fleet.caller(0).chat("m", "hello", 8, true)).await.expect("a response");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.streamed_text(), "[m@v1] hello w2 w3 w4 w5 w6 w7");
    assert_eq!(answer.events().last().map(String::as_str), Some("[DONE]"));
});

case!(service_call, async {
    let fleet = Fleet::start(Plan::default()).await;
    let call = fleet.caller(0).call("ledger", "fund/7?x=1", "invoice-7", "amount=5");
    let answer = send(call).await.expect("a response");
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "completed"));
    let executions = fleet.services[0].executions();
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].body, "amount=5");
    assert_eq!(executions[0].idempotency_key, "invoice-7");
});

case!(models_are_listed, async {
    let fleet = Fleet::start(Plan::default()).await;
    let answer = send(fleet.caller(0).request(Method::GET, "/v1/models")).await.expect("a list");
    assert!(answer.body.contains("\"id\":\"m@v1\""), "{}", answer.body);
});

case!(each_response_is_recorded_once_in_the_ledger, async {
    let fleet = Fleet::start(Plan::default()).await;
    for _ in 0..5 {
        send(fleet.caller(0).chat("m", "hello", 8, false)).await.expect("a response");
    }
    wait_until("five records are in the ledger", || async { fleet.ledger_records().len() == 5 })
        .await;
    assert!(fleet.ledger_records().iter().all(|record| record.cost_micros.0 == 9));
});
