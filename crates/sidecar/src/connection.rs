//! Connections of entries and the messages they send.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stallhoist_core::AttemptId;
use stallhoist_core::IncarnationId;
use stallhoist_core::Revision;
use stallhoist_wire::FrameReader;
use stallhoist_wire::FrameSender;
use stallhoist_wire::Side;
use stallhoist_wire::WireError;
use stallhoist_wire::attempt_from_wire;
use stallhoist_wire::bill_from_wire;
use stallhoist_wire::handshake;
use stallhoist_wire::messages::Attempt;
use stallhoist_wire::messages::BillHeld;
use stallhoist_wire::messages::BillHold;
use stallhoist_wire::messages::frame::Body;
use stallhoist_wire::start_writer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::attempts;
use crate::peers::Peer;
use crate::shared::Shared;
use crate::table_sync;

/// Accepts connections until the process ends.
pub(crate) async fn accept_all(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&shared), stream));
            }
            Err(error) => {
                // Most likely out of file descriptors, which are freed as connections end.
                log::warn!(error:%; "cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let max_frame_bytes = shared.settings.max_frame_bytes;
    let handshake =
        handshake(stream, Side::Responder, &shared.identity, &shared.fleet_key, max_frame_bytes);
    let (framed, identity) = match handshake.await {
        Ok(done) => done,
        Err(error) => return log::warn!(error:%; "handshake failed"),
    };
    let (sender, mut reader) = start_writer(framed);
    let incarnation = identity.incarnation;
    log::info!(entry:% = identity.host, zone:% = identity.zone; "entry connected");
    let peer = Peer { identity, sender: sender.clone(), revision: Revision::default() };
    shared.peers.lock().add(peer);
    let _ = sender.send(Body::Status(shared.status(true))).await;
    let ended = read_messages(&shared, &sender, &mut reader, incarnation).await;
    shared.peers.lock().remove(incarnation, &sender);
    sender.close();
    log::info!(reason:% = ended; "entry disconnected");
}

async fn read_messages(
    shared: &Arc<Shared>,
    sender: &FrameSender,
    reader: &mut FrameReader,
    peer: IncarnationId,
) -> WireError {
    let silence_timeout = Duration::from_millis(shared.settings.timing.peer_timeout_ms);
    loop {
        let body = match reader.next_within(silence_timeout).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        if let Err(error) = handle_message(shared, sender, peer, body) {
            return error;
        }
    }
}

fn handle_message(
    shared: &Arc<Shared>,
    sender: &FrameSender,
    peer: IncarnationId,
    body: Body,
) -> Result<(), WireError> {
    match body {
        Body::Probe(probe) => {
            let reply = attempts::probe(shared, &probe)?;
            let _ = sender.try_send(Body::ProbeReply(reply));
        }
        Body::Dispatch(dispatch) => attempts::dispatch(shared, sender, dispatch)?,
        Body::Cancel(cancel) => {
            attempts::cancel(shared, attempt_from_wire(cancel.attempt.as_ref())?);
        }
        Body::Attest(attest) => {
            let id = attempt_from_wire(attest.attempt.as_ref())?;
            sender.send_or_close(Body::Attestation(attempts::attest(shared, id)));
        }
        Body::Resume(resume) => {
            let id = attempt_from_wire(resume.attempt.as_ref())?;
            attempts::resume(shared, sender, id, resume.next_sequence);
        }
        Body::Status(status) => record_revision(shared, sender, peer, Revision(status.revision)),
        Body::TableHeld(held) => {
            shared.peers.lock().record_revision(peer, Revision(held.revision));
            // The sweep task reports it, in one message for all entries that hold it by then.
            shared.progress_changed.store(true, Ordering::SeqCst);
        }
        Body::TableSnapshot(snapshot) => {
            shared.peers.lock().record_revision(peer, Revision(snapshot.revision));
            table_sync::apply_snapshot(shared, &snapshot)?;
        }
        Body::TableEdit(edit) => {
            shared.peers.lock().record_revision(peer, Revision(edit.revision));
            table_sync::apply_edit(shared, sender, &edit)?;
        }
        Body::TablePull(_) => shared.table.send_snapshot(sender),
        Body::BillHold(hold) => hold_bill(shared, sender, &hold)?,
        Body::Rated(rated) => {
            let target = rated.target.parse().map_err(|_| WireError::BadField("target"))?;
            shared.evidence.lock().record_rating(&target, rated.poor);
        }
        Body::BillSettled(settled) => settle_bills(shared, &settled.attempts)?,
        _ => return Err(WireError::BadField("a message that only sidecars send")),
    }
    Ok(())
}

fn record_revision(shared: &Shared, sender: &FrameSender, peer: IncarnationId, theirs: Revision) {
    shared.peers.lock().record_revision(peer, theirs);
    shared.table.sync_with_peer(sender, theirs);
}

fn hold_bill(shared: &Shared, sender: &FrameSender, hold: &BillHold) -> Result<(), WireError> {
    let record = hold.record.as_ref().ok_or(WireError::BadField("record"))?;
    shared.bills.lock().hold(shared.now(), bill_from_wire(record)?);
    let _ = sender.try_send(Body::BillHeld(BillHeld { request: record.request.clone() }));
    Ok(())
}

fn settle_bills(shared: &Shared, attempts: &[Attempt]) -> Result<(), WireError> {
    let attempts: Result<Vec<AttemptId>, WireError> =
        attempts.iter().map(|attempt| attempt_from_wire(Some(attempt))).collect();
    shared.bills.lock().settle(&attempts?);
    Ok(())
}
