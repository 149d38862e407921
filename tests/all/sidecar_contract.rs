//! The protocol between entries and sidecars, tested with a peer that violates it.

use stallhoist_core::NotRunReason;
use stallhoist_core::Revision;
use stallhoist_table::Table;
use stallhoist_wire::HandshakeError;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::messages::AttemptFate;
use stallhoist_wire::messages::Attest;
use stallhoist_wire::messages::Cancel;
use stallhoist_wire::messages::Dispatch;
use stallhoist_wire::messages::FinalKind;
use stallhoist_wire::messages::Probe;
use stallhoist_wire::messages::TableSnapshot;
use stallhoist_wire::messages::frame::Body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::case::case;
use crate::harness::FakeEntry;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::chat_dispatch;
use crate::harness::edit_of;
use crate::harness::new_attempt;
use crate::harness::send;

async fn single_engine_fleet() -> Fleet {
    Fleet::start(Plan { engines: vec!["m@v1"], services: 0, ..Plan::default() }).await
}

/// Sends a dispatch and returns the reason of its rejection, or none if its response is
/// complete.
async fn fate(peer: &mut FakeEntry, dispatch: Dispatch) -> Option<NotRunReason> {
    peer.send(Body::Dispatch(dispatch)).await;
    peer.receive(|body| match body {
        Body::Refusal(refusal) => Some(NotRunReason::from_code(refusal.reason)),
        Body::Final(last) => {
            assert_eq!(last.kind(), FinalKind::Whole);
            Some(None)
        }
        _ => None,
    })
    .await
    .expect("the connection stays up")
}

case!(a_wrong_key_is_rejected, async {
    let fleet = single_engine_fleet().await;
    let addr = fleet.hosts[0].sidecar.addr("entries_addr");
    let refused = FakeEntry::connect_with(addr, "another fleet's key").await;
    assert!(matches!(refused, Err(HandshakeError::WrongKey | HandshakeError::Wire(_))));
});

/// Bytes that are no handshake close the connection. Nothing but the sidecar's own hello is
/// sent on it, and other connections are not affected.
async fn check_garbage_closes_only_its_connection(garbage: Vec<u8>) {
    let fleet = single_engine_fleet().await;
    let mut stream =
        TcpStream::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await.expect("connects");
    stream.write_all(&garbage).await.expect("bytes go out");
    let mut answered = Vec::new();
    let _ = stream.read_to_end(&mut answered).await;
    assert!(answered.len() < 200, "only a hello comes back, not {} bytes", answered.len());
    let answer = send(fleet.caller(0).chat("m", "still here", 4, false)).await.expect("an answer");
    assert_eq!(answer.outcome, "completed");
}

case!(
    a_malformed_handshake,
    check_garbage_closes_only_its_connection(b"GET / HTTP/1.1\r\n\r\n".to_vec())
);
case!(an_oversized_first_frame, check_garbage_closes_only_its_connection(vec![0x7f; 8]));
case!(an_empty_frame, check_garbage_closes_only_its_connection(vec![0, 0, 0, 0]));

case!(a_malformed_message_closes_only_its_connection, async {
    let fleet = single_engine_fleet().await;
    let addr = fleet.hosts[0].sidecar.addr("entries_addr");
    let mut peer = FakeEntry::connect(addr).await;
    // A probe with an invalid target.
    peer.send(Body::Probe(Probe { target: "@@".to_owned(), ..Probe::default() })).await;
    assert!(peer.receive(|body| matches!(body, Body::ProbeReply(_)).then_some(())).await.is_none());
    let answer = send(fleet.caller(0).chat("m", "still here", 4, false)).await.expect("an answer");
    assert_eq!(answer.outcome, "completed");
});

/// The sidecar checks a dispatch against its own table, whatever the entry has checked.
async fn check_dispatch_is_rejected(change: impl Fn(&mut Dispatch), expected: NotRunReason) {
    let fleet = Fleet::start(Plan {
        engines: vec!["m@v1"],
        services: 0,
        cells: vec![
            ("w/m@old/allowed", "yes"),
            ("w/m@old/state", "withdrawn"),
            ("other/m@v1/weight", "1"),
        ],
        ..Plan::default()
    })
    .await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let mut dispatch = chat_dispatch(new_attempt(), "m@v1", 4);
    change(&mut dispatch);
    assert_eq!(fate(&mut peer, dispatch).await, Some(expected));
    assert!(fleet.engines[0].executions().is_empty());
}

case!(
    rejects_a_target_of_another_workspace,
    check_dispatch_is_rejected(|d| d.workspace = "other".to_owned(), NotRunReason::NotAllowed)
);
case!(
    rejects_an_unknown_workspace,
    check_dispatch_is_rejected(|d| d.workspace = "no".to_owned(), NotRunReason::NotAllowed)
);
case!(
    rejects_a_target_that_is_not_served,
    check_dispatch_is_rejected(|d| d.target = "m@old".to_owned(), NotRunReason::NotServed)
);
case!(
    rejects_a_newer_table_revision,
    check_dispatch_is_rejected(|d| d.revision = 99, NotRunReason::NoTable)
);
case!(
    rejects_a_passed_deadline,
    check_dispatch_is_rejected(|d| d.deadline_ms = 0, NotRunReason::DeadlinePassed)
);

case!(a_duplicate_dispatch_runs_once, async {
    let fleet = single_engine_fleet().await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let dispatch = chat_dispatch(new_attempt(), "m@v1", 4);
    peer.send(Body::Dispatch(dispatch.clone())).await;
    assert_eq!(fate(&mut peer, dispatch).await, None);
    // The duplicate was processed before this second attempt, which has a response.
    assert_eq!(fate(&mut peer, chat_dispatch(new_attempt(), "m@v1", 4)).await, None);
    assert_eq!(fleet.engines[0].executions().len(), 2);
});

case!(an_attested_attempt_is_barred, async {
    let fleet = single_engine_fleet().await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let id = new_attempt();
    peer.send(Body::Attest(Attest { attempt: attempt_to_wire(id) })).await;
    let attested = peer
        .receive(|body| match body {
            Body::Attestation(attestation) => Some(attestation.fate()),
            _ => None,
        })
        .await;
    assert_eq!(attested, Some(AttemptFate::Barred));
    let late = fate(&mut peer, chat_dispatch(id, "m@v1", 4)).await;
    assert_eq!(late, Some(NotRunReason::Barred));
    assert!(fleet.engines[0].executions().is_empty());
});

case!(a_cancel_before_its_dispatch_bars_the_attempt, async {
    let fleet = single_engine_fleet().await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let id = new_attempt();
    peer.send(Body::Cancel(Cancel { attempt: attempt_to_wire(id) })).await;
    let late = fate(&mut peer, chat_dispatch(id, "m@v1", 4)).await;
    assert_eq!(late, Some(NotRunReason::Barred));
    assert!(fleet.engines[0].executions().is_empty());
});

case!(an_older_table_is_not_installed, async {
    let fleet = single_engine_fleet().await;
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await;
    assert!(status == 200 || status == 202, "{reply}");
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let old = Table { revision: Revision(1), ..Table::default() };
    let table_json = serde_json::to_vec(&old).expect("a table is plain data");
    peer.send(Body::TableSnapshot(TableSnapshot { revision: 1, table_json })).await;
    // The old table allows nothing; if it were active, the dispatch would be rejected.
    assert_eq!(fate(&mut peer, chat_dispatch(new_attempt(), "m@v1", 4)).await, None);
    assert_eq!(fleet.sidecar_state(0).await["revision"], 2);
});
