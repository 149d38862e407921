//! P5: a caller receives the complete response to its own request.

use futures_util::future::join_all;
use stallhoist_standins::Direction;
use stallhoist_standins::engine::EngineSwitches;

use crate::case::case;
use crate::harness::Answer;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::harness::wait_until;

const TOKENS: u64 = 100;

/// A plan with one engine, whose responses take half a second.
fn slow_plan() -> Plan {
    Plan {
        engines: vec!["m@v1"],
        services: 0,
        switches: EngineSwitches { step_base_us: 4_000, ..EngineSwitches::default() },
        ..Plan::default()
    }
}

fn expected(prompt: &str) -> String {
    let words: Vec<_> = (2..TOKENS).map(|n| format!("w{n}")).collect();
    format!("[m@v1] {prompt} {}", words.join(" "))
}

async fn wait_until_half_done(fleet: &Fleet) {
    wait_until("the engine has produced half of the response", || async {
        fleet.engines[0].executions().iter().any(|e| e.tokens as u64 > TOKENS / 2)
    })
    .await;
}

fn assert_marked_incomplete(answer: &Answer) {
    assert!(!answer.body.contains("[DONE]"), "a part must not pass as the whole");
    assert!(answer.body.contains("\"error\""), "the response contains an error: {}", answer.body);
}

case!(everybody_gets_their_own, async {
    let fleet = Fleet::start(Plan { entries: 2, ..Plan::default() }).await;
    let calls = (0..40).map(|number| {
        let prompt = format!("caller-{number}");
        let is_streamed = number % 2 == 0;
        let call = fleet.caller(number % 2).chat("m", &prompt, TOKENS, is_streamed);
        async move {
            let answer = send(call).await.expect("an answer");
            let text = if is_streamed { answer.streamed_text() } else { answer.text() };
            assert_eq!(text, expected(&prompt));
        }
    });
    join_all(calls).await;
});

/// The connection breaks during the response, which must resume where it stopped.
async fn cut_and_resume(is_streamed: bool) {
    let fleet = Fleet::start(slow_plan()).await;
    let call = tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, is_streamed)));
    wait_until_half_done(&fleet).await;
    fleet.hosts[0].proxy.cut();
    let answer = call.await.expect("the call ends").expect("an answer");
    let text = if is_streamed { answer.streamed_text() } else { answer.text() };
    assert_eq!(text, expected("x"));
    assert_eq!(fleet.engines[0].executions().len(), 1, "the request ran only once");
}

case!(cut_mid_stream_is_resumed, cut_and_resume(true));
case!(cut_before_a_whole_answer_is_resumed, cut_and_resume(false));

/// One direction of the connection stops delivering without being closed. The entry must detect the
/// silence and resume the response.
async fn silence_and_resume(direction: Direction) {
    let fleet = Fleet::start(slow_plan()).await;
    let call = tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, true)));
    wait_until_half_done(&fleet).await;
    fleet.hosts[0].proxy.hold(direction);
    wait_until("the entry notices", || async {
        fleet.entry_state(0).await["links"][0]["is_connected"] == false
    })
    .await;
    fleet.hosts[0].proxy.cut();
    fleet.hosts[0].proxy.heal();
    let answer = call.await.expect("the call ends").expect("an answer");
    assert_eq!(answer.streamed_text(), expected("x"));
    assert_eq!(fleet.engines[0].executions().len(), 1);
}

case!(one_way_silence_to_the_entry, silence_and_resume(Direction::ToOpener));
case!(one_way_silence_to_the_sidecar, silence_and_resume(Direction::ToListener));

case!(sidecar_killed_mid_stream_is_told, async {
    let mut fleet = Fleet::start(slow_plan()).await;
    let call = tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, true)));
    wait_until_half_done(&fleet).await;
    fleet.hosts[0].sidecar.kill();
    let answer = call.await.expect("the call ends").expect("an answer");
    assert_marked_incomplete(&answer);
});

case!(sidecar_killed_before_a_whole_answer_is_run_elsewhere, async {
    let plan = Plan { engines: vec!["m@v1", "m@v1"], ..slow_plan() };
    let mut fleet = Fleet::start(plan).await;
    let call = tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, false)));
    wait_until("it runs", || async {
        fleet.engines.iter().any(|engine| !engine.executions().is_empty())
    })
    .await;
    let runs_at = usize::from(fleet.engines[0].executions().is_empty());
    fleet.hosts[runs_at].sidecar.kill();
    let answer = call.await.expect("the call ends").expect("an answer");
    assert_eq!(answer.text(), expected("x"));
});

case!(frozen_sidecar_goes_on_after_it_wakes, async {
    let fleet = Fleet::start(slow_plan()).await;
    let call = tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, true)));
    wait_until_half_done(&fleet).await;
    fleet.hosts[0].sidecar.freeze();
    wait_until("the entry notices", || async {
        fleet.entry_state(0).await["links"][0]["is_connected"] == false
    })
    .await;
    fleet.hosts[0].sidecar.wake();
    let answer = call.await.expect("the call ends").expect("an answer");
    assert_eq!(answer.streamed_text(), expected("x"));
});

/// The engine ends its response without the end marker.
async fn engine_truncates_response(is_streamed: bool) {
    let plan = Plan {
        switches: EngineSwitches { truncate_after_tokens: 3, ..EngineSwitches::default() },
        ..slow_plan()
    };
    let fleet = Fleet::start(plan).await;
    let call = fleet.caller(0).chat("m", "x", TOKENS, is_streamed);
    let answer = send(call).await.expect("an answer");
    assert_marked_incomplete(&answer);
    if !is_streamed {
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "failed"));
    }
}

case!(engine_breaks_off_mid_stream, engine_truncates_response(true));
case!(engine_fails_a_whole_answer, engine_truncates_response(false));

// When an entry crashes during a stream, the caller's connection breaks without an end marker.
case!(entry_killed_mid_stream_shows_as_broken, async {
    let mut fleet = Fleet::start(slow_plan()).await;
    let call = tokio::spawn(send(fleet.caller(0).chat("m", "x", TOKENS, true)));
    wait_until_half_done(&fleet).await;
    fleet.entries[0].kill();
    let answer = call.await.expect("the call ends");
    assert!(answer.is_none_or(|answer| !answer.body.contains("[DONE]")));
});
