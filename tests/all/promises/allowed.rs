//! P1: a request runs only on a model and version its workspace allows.

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::edit_of;
use crate::harness::send;

case!(not_allowed_is_refused_at_once, async {
    let fleet = Fleet::start(Plan {
        engines: vec!["m@v1", "m@v2"],
        cells: vec![("w/m@v2/ramp_percent", "100")],
        ..Plan::default()
    })
    .await;
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v2/allowed", "yes", "no")])).await;
    assert_eq!(status, 200, "{reply}");
    for _ in 0..10 {
        let answer = send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("an answer");
        assert_eq!(answer.target, "m@v1");
    }
    let answer = send(fleet.caller(0).chat("m@v2", "x", 2, false)).await.expect("an answer");
    assert_eq!((answer.status, answer.outcome.as_str()), (403, "not-run"));
    assert!(fleet.engines[1].executions().is_empty());
});

// An entry that is suspended during the edit still has the old table when it resumes.
case!(entry_frozen_over_the_edit_runs_nothing_forbidden, async {
    let fleet = Fleet::start(Plan { entries: 2, engines: vec!["m@v1"], ..Plan::default() }).await;
    fleet.entries[1].freeze();
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v1/allowed", "yes", "no")])).await;
    assert_eq!(status, 200, "{reply}");
    let late = tokio::spawn(send(fleet.caller(1).chat("m@v1", "x", 2, false)));
    fleet.entries[1].wake();
    let answer = late.await.expect("the call ends").expect("an answer");
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    assert!(fleet.engines[0].executions().is_empty());
});
