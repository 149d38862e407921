//! P3: a session stays on the version on which it started.

use crate::case::case;
use crate::harness::Answer;
use crate::harness::Caller;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::edit_of;
use crate::harness::send;

async fn two_versions(entries: usize) -> Fleet {
    let engines = vec!["m@v1", "m@v1", "m@v2", "m@v2"];
    Fleet::start(Plan { entries, engines, services: 0, ..Plan::default() }).await
}

/// Begins a session on version 1, regardless of the weights.
async fn begin_session(caller: &Caller) -> Answer {
    let answer = send(caller.chat("m@v1", "begin", 2, false)).await.expect("an answer");
    assert_eq!(answer.target, "m@v1");
    answer
}

async fn continue_session(caller: &Caller, session: &str) -> Answer {
    let request = caller.chat("m", "go on", 2, false).header("Stallhoist-Session", session);
    send(request).await.expect("an answer")
}

case!(through_a_roll_out_on_any_entry, async {
    let mut fleet = two_versions(2).await;
    let session = begin_session(&fleet.caller(0)).await.session.expect("a session");
    let roll_out = edit_of(&[
        ("w/m@v1/weight", "1", "0"),
        ("w/m@v1/state", "active", "draining"),
        ("w/m@v2/weight", "1", "100"),
    ]);
    assert_eq!(fleet.edit(0, &roll_out).await.0, 200);
    fleet.wait_until_active(2).await;
    fleet.entries[0].kill();
    fleet.restart_entry(0);
    fleet.wait_until_active(2).await;
    for entry in [0, 1, 0, 1] {
        assert_eq!(continue_session(&fleet.caller(entry), &session).await.target, "m@v1");
        let new = send(fleet.caller(entry).chat("m", "new", 2, false)).await.expect("an answer");
        assert_eq!(new.target, "m@v2", "new requests go to the new version");
    }
});

// After the loss of its host, the session continues on another host of the same version.
case!(through_the_loss_of_its_host, async {
    let mut fleet = two_versions(1).await;
    let session = begin_session(&fleet.caller(0)).await.session.expect("a session");
    fleet.hosts[0].sidecar.kill();
    for _ in 0..4 {
        let answer = continue_session(&fleet.caller(0), &session).await;
        assert_eq!((answer.outcome.as_str(), answer.target.as_str()), ("completed", "m@v1"));
    }
});

// P2 takes precedence over P3: requests of a session on a withdrawn version are rejected as
// "withdrawn".
case!(ends_when_its_version_is_withdrawn, async {
    let fleet = two_versions(1).await;
    let session = begin_session(&fleet.caller(0)).await.session.expect("a session");
    let withdraw = edit_of(&[("w/m@v1/state", "active", "withdrawn")]);
    assert_eq!(fleet.edit(0, &withdraw).await.0, 200);
    let answer = continue_session(&fleet.caller(0), &session).await;
    assert_eq!((answer.outcome.as_str(), answer.code().as_str()), ("not-run", "withdrawn"));
});

async fn refused(change: impl Fn(&str) -> String) {
    let fleet = two_versions(1).await;
    let session = begin_session(&fleet.caller(0)).await.session.expect("a session");
    let answer = continue_session(&fleet.caller(0), &change(&session)).await;
    assert_eq!((answer.status, answer.code().as_str()), (400, "bad-header"));
}

case!(
    a_forged_token_is_refused,
    refused(|token| {
        let mut forged = token.to_owned();
        let last = if forged.pop() == Some('A') { 'B' } else { 'A' };
        forged.push(last);
        forged
    })
);
case!(a_token_of_another_key_is_refused, refused(|token| format!("x{token}")));
case!(a_cut_token_is_refused, refused(|token| token[..token.len() / 2].to_owned()));
