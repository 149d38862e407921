//! The interface for callers: every request gets exactly one response with a clear outcome.

use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use reqwest::Method;
use reqwest::RequestBuilder;
use stallhoist_standins::engine::EngineSwitches;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::case::case;
use crate::harness::Answer;
use crate::harness::Caller;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

const BODY_BOUND: usize = 65_536;

fn small_plan() -> Plan {
    Plan {
        engines: vec!["m@v1"],
        entry_settings: vec![("callers", "max_body_bytes", BODY_BOUND.into())],
        ..Plan::default()
    }
}

/// Checks that a request is rejected before it is routed to an upstream.
async fn rejected(make: impl Fn(&Caller) -> RequestBuilder, status: u16, code: &str) {
    let fleet = Fleet::start(small_plan()).await;
    let answer = send(make(&fleet.caller(0))).await.expect("a response");
    assert_eq!((answer.status, answer.code().as_str()), (status, code), "{answer:?}");
    assert_eq!(answer.outcome, "not-run");
    assert!(fleet.engines[0].executions().is_empty());
    assert!(fleet.services[0].executions().is_empty());
}

fn raw_chat(caller: &Caller, body: impl Into<reqwest::Body>) -> RequestBuilder {
    caller.request(Method::POST, "/v1/chat/completions").body(body)
}

case!(malformed_json, rejected(|c| raw_chat(c, "{\"model\": \"m\", "), 400, "malformed-body"));
case!(
    body_without_messages,
    rejected(|c| raw_chat(c, "{\"model\": \"m\"}"), 400, "malformed-body")
);
case!(
    body_that_is_not_text,
    rejected(|c| raw_chat(c, vec![0xff, 0xfe, 0x00]), 400, "malformed-body")
);
case!(oversized_body, rejected(|c| raw_chat(c, vec![b' '; BODY_BOUND + 1]), 413, "body-too-large"));
case!(
    oversized_service_body,
    rejected(|c| c.call("ledger", "fund", "k", &"x".repeat(BODY_BOUND + 1)), 413, "body-too-large")
);
case!(unknown_model, rejected(|c| c.chat("nobody", "x", 2, false), 404, "unknown-model"));
case!(unknown_version, rejected(|c| c.chat("m@v9", "x", 2, false), 404, "unknown-model"));
case!(model_that_is_no_name, rejected(|c| c.chat("a b", "x", 2, false), 404, "unknown-model"));
case!(unknown_service, rejected(|c| c.call("nobody", "x", "", ""), 404, "unknown-service"));
case!(unknown_path, rejected(|c| c.request(Method::GET, "/v2/chat"), 404, "no-such-path"));
case!(
    wrong_key,
    rejected(|c| c.clone().with_key("nobody's").chat("m", "x", 2, false), 401, "wrong-key")
);
case!(
    wrong_key_of_a_service,
    rejected(|c| c.clone().with_key("nobody's").call("ledger", "fund", "k", ""), 401, "wrong-key")
);
case!(missing_key, rejected(|c| c.clone().with_key("").chat("m", "x", 2, false), 401, "wrong-key"));

fn with_header(caller: &Caller, name: &str, value: &str) -> RequestBuilder {
    caller.chat("m", "x", 2, false).header(name, value)
}

case!(
    deadline_that_is_no_number,
    rejected(|c| with_header(c, "Stallhoist-Deadline-Ms", "soon"), 400, "bad-header")
);
case!(
    deadline_of_nothing,
    rejected(|c| with_header(c, "Stallhoist-Deadline-Ms", "0"), 400, "bad-header")
);
case!(
    deadline_beyond_the_bound,
    rejected(|c| with_header(c, "Stallhoist-Deadline-Ms", "99999999999"), 400, "bad-header")
);
case!(
    repeatable_that_is_neither,
    rejected(|c| with_header(c, "Stallhoist-Repeatable", "maybe"), 400, "bad-header")
);
case!(
    idempotency_key_that_is_none,
    rejected(|c| with_header(c, "Idempotency-Key", "a b c"), 400, "bad-header")
);
case!(
    session_that_is_none,
    rejected(|c| with_header(c, "Stallhoist-Session", "a.b"), 400, "bad-header")
);

fn slow_engine() -> Plan {
    Plan {
        switches: EngineSwitches { step_base_us: 10_000, ..EngineSwitches::default() },
        ..small_plan()
    }
}

case!(deadline_ends_the_request_at_once, async {
    let fleet = Fleet::start(slow_engine()).await;
    let call = fleet.caller(0).chat("m", "x", 1000, false).header("Stallhoist-Deadline-Ms", "300");
    let began = Instant::now();
    let answer = send(call).await.expect("a response");
    assert_eq!(answer.status, 504, "{answer:?}");
    assert!(began.elapsed() < Duration::from_secs(2));
    wait_until("the engine cancels the request", || async {
        let executions = fleet.engines[0].executions();
        executions.iter().all(|execution| execution.tokens < 200)
            && fleet.sidecar_state(0).await["in_flight_requests"] == 0
    })
    .await;
});

case!(disconnect_of_a_streaming_caller_cancels_the_request, async {
    let fleet = Fleet::start(slow_engine()).await;
    let response = fleet.caller(0).chat("m", "x", 1000, true).send().await.expect("it begins");
    let mut chunks = response.bytes_stream();
    chunks.next().await.expect("a chunk").expect("a complete chunk");
    drop(chunks);
    wait_until("the request is cancelled", || async {
        let executions = format!("{:?}", fleet.engines[0].executions());
        executions.contains("Cancelled")
            && fleet.sidecar_state(0).await["in_flight_requests"] == 0
            && fleet.entry_state(0).await["in_flight_requests"] == 0
    })
    .await;
});

case!(slow_caller_gets_a_complete_response_and_delays_no_others, async {
    let fleet = Fleet::start(small_plan()).await;
    let response = fleet.caller(0).chat("m", "x", 500, true).send().await.expect("it begins");
    let mut chunks = response.bytes_stream();
    let mut body = String::new();
    while let Some(Ok(chunk)) = chunks.next().await {
        body.push_str(&String::from_utf8_lossy(&chunk));
        // Another caller is served between any two chunks.
        if body.len() < 2_000 {
            let other = send(fleet.caller(0).chat("m", "y", 2, false)).await.expect("a response");
            assert_eq!(other.outcome, "completed");
        }
    }
    assert!(body.contains("w499") && body.contains("[DONE]"));
});

case!(incomplete_request_does_not_delay_other_callers, async {
    let fleet = Fleet::start(small_plan()).await;
    let addr = fleet.entries[0].addr("callers_addr");
    let mut stream = TcpStream::connect(addr).await.expect("connects");
    stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n").await.expect("sends");
    let other = send(fleet.caller(0).chat("m", "y", 2, false)).await.expect("a response");
    assert_eq!(other.outcome, "completed");
});

case!(oversized_headers_are_rejected, async {
    let fleet = Fleet::start(small_plan()).await;
    let addr = fleet.entries[0].addr("callers_addr");
    let mut stream = TcpStream::connect(addr).await.expect("connects");
    let header =
        format!("GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Big: {}\r\n\r\n", "x".repeat(1 << 20));
    let _ = stream.write_all(header.as_bytes()).await;
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply).await;
    assert!(!String::from_utf8_lossy(&reply).starts_with("HTTP/1.1 200"));
    let other = send(fleet.caller(0).chat("m", "y", 2, false)).await.expect("a response");
    assert_eq!(other.outcome, "completed");
});

case!(too_many_concurrent_requests_are_rejected_with_a_retry_delay, async {
    let mut plan = slow_engine();
    plan.entry_settings.push(("callers", "max_in_flight_requests", 1.into()));
    let fleet = Fleet::start(plan).await;
    let first = tokio::spawn(send(fleet.caller(0).chat("m", "x", 50, false)));
    wait_until("the first is in progress", || async {
        fleet.entry_state(0).await["in_flight_requests"] == 1
    })
    .await;
    let second = send(fleet.caller(0).chat("m", "y", 2, false)).await.expect("a response");
    assert_eq!((second.status, second.outcome.as_str()), (429, "not-run"));
    assert!(second.retry_after.is_some());
    assert_eq!(first.await.expect("it ends").expect("a response").outcome, "completed");
});

case!(client_error_from_the_upstream_reaches_the_caller, async {
    let fleet = Fleet::start(small_plan()).await;
    let body = r#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":"many"}"#;
    let answer: Answer = send(raw_chat(&fleet.caller(0), body)).await.expect("a response");
    assert_eq!(answer.status, 400, "{answer:?}");
});

case!(requests_of_a_failing_engine_are_retried_on_another, async {
    let fleet = Fleet::start(Plan { engines: vec!["m@v1", "m@v1"], ..small_plan() }).await;
    fleet.engines[0]
        .set_switches(EngineSwitches { fail_percent: 100, ..EngineSwitches::default() });
    for _ in 0..20 {
        let answer = send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("a response");
        assert_eq!(answer.outcome, "completed", "{answer:?}");
    }
});

case!(no_key_reaches_the_logs, async {
    let fleet = Fleet::start(small_plan()).await;
    for stream in [false, true] {
        send(fleet.caller(0).chat("m", "x", 2, stream)).await.expect("a response");
    }
    let wrong = fleet.caller(0).with_key("a-wrong-key-that-must-not-show").chat("m", "x", 2, false);
    send(wrong).await.expect("a response");
    let logs = [fleet.entries[0].log(), fleet.hosts[0].sidecar.log()].concat().join("\n");
    assert!(logs.contains("request ended"), "the log contains the requests");
    for secret in ["key-of-the-tests", "a-wrong-key-that-must-not-show"] {
        assert!(!logs.contains(secret));
    }
    let dump = fleet.entry_state(0).await.to_string();
    assert!(!dump.contains("key-of-the-tests"));
});
