//! Crowds at the entry of the product's own interface.

use bytes::Bytes;

use crate::case::case;
use crate::crowd::Crowd;
use crate::gateway::MEMORY_BYTES;
use crate::gateway::TURN;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::send;
use crate::process::peak_bytes;

/// The key of the fleet's workspace.
const WORKSPACE_KEY: &str = "workspace-key-of-the-tests";

const CROWD: usize = 48;

const MAX_BODY_BYTES: usize = 4 << 20;

fn plan() -> Plan {
    let memory = format!("{MEMORY_BYTES} B");
    let entry_settings = vec![("callers", "host_memory", memory.into())];
    Plan { engines: vec!["m@v1"], entry_settings, ..Plan::default() }
}

async fn is_well(fleet: &Fleet) {
    let answer = send(fleet.caller(0).chat("m@v1", "an ordinary request", 4, false)).await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    let peak = peak_bytes(fleet.entries[0].id());
    println!("peak {peak} bytes");
    assert!(peak <= MEMORY_BYTES, "{peak} bytes of memory were in use");
}

async fn is_borne(framing: &str, body: Bytes) {
    let _turn = TURN.lock().await;
    let fleet = Fleet::start(plan()).await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: test.example\r\n\
         Authorization: Bearer {WORKSPACE_KEY}\r\n{framing}\r\n\r\n"
    );
    let addr = fleet.entries[0].addr("callers_addr");
    is_well(&fleet).await;
    let crowd = Crowd::send_to(addr, CROWD, head, vec![body]).await;
    is_well(&fleet).await;
    drop(crowd);
    is_well(&fleet).await;
}

case!(announced_bodies_that_stop_before_their_last_byte, async {
    let body = vec![b'a'; MAX_BODY_BYTES - 1];
    is_borne(&format!("Content-Length: {MAX_BODY_BYTES}"), body.into()).await;
});

case!(a_large_chunk_without_an_end, async {
    let mut chunk = format!("{MAX_BODY_BYTES:x}\r\n").into_bytes();
    chunk.resize(MAX_BODY_BYTES, b'a');
    is_borne("Transfer-Encoding: chunked", chunk.into()).await;
});
