//! The contract between entries and sidecars, met by a peer that breaks it.

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

async fn small_fleet() -> Fleet {
    Fleet::start(Plan { engines: vec!["m@v1"], services: 0, ..Plan::default() }).await
}

/// Sends a dispatch and gives the reason of its refusal, or none when it ran whole.
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

case!(wrong_key_is_shut_out, async {
    let fleet = small_fleet().await;
    let addr = fleet.hosts[0].sidecar.addr("entries_addr");
    let refused = FakeEntry::connect_with(addr, "another fleet's key").await;
    assert!(matches!(refused, Err(HandshakeError::WrongKey | HandshakeError::Wire(_))));
});

/// Bytes that are no handshake end the connection before anything is answered but the
/// sidecar's own hello, and other connections go on.
async fn garbage_closes_only_its_connection(garbage: Vec<u8>) {
    let fleet = small_fleet().await;
    let mut stream =
        TcpStream::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await.expect("connects");
    stream.write_all(&garbage).await.expect("bytes go out");
    let mut answered = Vec::new();
    let _ = stream.read_to_end(&mut answered).await;
    assert!(answered.len() < 200, "only a hello comes back, not {} bytes", answered.len());
    let answer = send(fleet.caller(0).chat("m", "still here", 4, false)).await.expect("an answer");
    assert_eq!(answer.outcome, "completed");
}

case!(garbled_handshake, garbage_closes_only_its_connection(b"GET / HTTP/1.1\r\n\r\n".to_vec()));
case!(oversized_first_frame, garbage_closes_only_its_connection(vec![0x7f; 8]));
case!(empty_frame, garbage_closes_only_its_connection(vec![0, 0, 0, 0]));

case!(garbled_frame_after_the_handshake_closes_only_its_connection, async {
    let fleet = small_fleet().await;
    let addr = fleet.hosts[0].sidecar.addr("entries_addr");
    let mut peer = FakeEntry::connect(addr).await;
    // A probe whose target is none.
    peer.send(Body::Probe(Probe { target: "@@".to_owned(), ..Probe::default() })).await;
    assert!(peer.receive(|body| matches!(body, Body::ProbeReply(_)).then_some(())).await.is_none());
    let answer = send(fleet.caller(0).chat("m", "still here", 4, false)).await.expect("an answer");
    assert_eq!(answer.outcome, "completed");
});

/// The gate decides by its own table, whatever the entry believes.
async fn gate_refuses(change: impl Fn(&mut Dispatch), expected: NotRunReason) {
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
    gate_other_workspace,
    gate_refuses(|d| d.workspace = "other".to_owned(), NotRunReason::NotAllowed)
);
case!(
    gate_unknown_workspace,
    gate_refuses(|d| d.workspace = "no".to_owned(), NotRunReason::NotAllowed)
);
case!(gate_not_served, gate_refuses(|d| d.target = "m@old".to_owned(), NotRunReason::NotServed));
case!(gate_newer_table, gate_refuses(|d| d.revision = 99, NotRunReason::NoTable));
case!(gate_past_deadline, gate_refuses(|d| d.deadline_ms = 0, NotRunReason::DeadlinePassed));

case!(a_doubled_dispatch_runs_once, async {
    let fleet = small_fleet().await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let dispatch = chat_dispatch(new_attempt(), "m@v1", 4);
    peer.send(Body::Dispatch(dispatch.clone())).await;
    assert_eq!(fate(&mut peer, dispatch).await, None);
    // A second attempt comes through after it, so the doubled one is past.
    assert_eq!(fate(&mut peer, chat_dispatch(new_attempt(), "m@v1", 4)).await, None);
    assert_eq!(fleet.engines[0].executions().len(), 2);
});

case!(an_attested_attempt_is_barred, async {
    let fleet = small_fleet().await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let id = new_attempt();
    peer.send(Body::Attest(Attest { attempt: attempt_to_wire(id) })).await;
    let fate_said = peer
        .receive(|body| match body {
            Body::Attestation(attestation) => Some(attestation.fate()),
            _ => None,
        })
        .await;
    assert_eq!(fate_said, Some(AttemptFate::Barred));
    let late = fate(&mut peer, chat_dispatch(id, "m@v1", 4)).await;
    assert_eq!(late, Some(NotRunReason::Barred));
    assert!(fleet.engines[0].executions().is_empty());
});

case!(a_cancel_that_overtakes_its_dispatch_bars_it, async {
    let fleet = small_fleet().await;
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let id = new_attempt();
    peer.send(Body::Cancel(Cancel { attempt: attempt_to_wire(id) })).await;
    let late = fate(&mut peer, chat_dispatch(id, "m@v1", 4)).await;
    assert_eq!(late, Some(NotRunReason::Barred));
    assert!(fleet.engines[0].executions().is_empty());
});

case!(an_older_table_is_not_installed, async {
    let fleet = small_fleet().await;
    let (status, reply) = fleet.edit(0, &edit_of(&[("w/m@v1/weight", "1", "7")])).await;
    assert!(status == 200 || status == 202, "{reply}");
    let mut peer = FakeEntry::connect(fleet.hosts[0].sidecar.addr("entries_addr")).await;
    let old = Table { revision: Revision(1), ..Table::default() };
    let table_json = serde_json::to_vec(&old).expect("a table is plain data");
    peer.send(Body::TableSnapshot(TableSnapshot { revision: 1, table_json })).await;
    // The old table allows nothing; with it in force this would be refused.
    assert_eq!(fate(&mut peer, chat_dispatch(new_attempt(), "m@v1", 4)).await, None);
    assert_eq!(fleet.sidecar_state(0).await["revision"], 2);
});
