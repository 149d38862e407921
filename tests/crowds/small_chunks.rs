//! Many bodies in chunks of one byte: a body takes little more memory than its bytes, whatever its chunks.

use std::time::Duration;

use bytes::Bytes;

use crate::case::case;
use crate::crowd::Crowd;
use crate::crowd::head;
use crate::gateway::Gateway;
use crate::gateway::MAX_BODY_BYTES;

const CHUNK: &str = "1\r\na\r\n";

/// Connections whose chunks come in packets of many.
const PACKED_CROWD: usize = 12;

/// Chunks of a packet.
const PACKED_CHUNKS: usize = 8 << 10;

/// Connections whose chunks come one by one.
const SPARSE_CROWD: usize = 100;

/// Chunks of each of them.
const SPARSE_CHUNKS: usize = 1_500;

/// Pause between two chunks of a connection, so that each is read alone.
const SPARSE_INTERVAL: Duration = Duration::from_millis(2);

case!(many_in_a_packet, async {
    let gateway = Gateway::start().await;
    let packet = Bytes::from(CHUNK.repeat(PACKED_CHUNKS));
    let packets = vec![packet; MAX_BODY_BYTES / PACKED_CHUNKS];
    let start = head("Transfer-Encoding: chunked");
    let crowd = Crowd::send(&gateway, PACKED_CROWD, start, packets).await;
    crowd.check_and_leave(&gateway).await;
});

case!(one_by_one, async {
    let gateway = Gateway::start().await;
    let start = head("Transfer-Encoding: chunked");
    let mut crowd = Crowd::send(&gateway, SPARSE_CROWD, start, Vec::new()).await;
    let mut rounds = tokio::time::interval(SPARSE_INTERVAL);
    for _ in 0..SPARSE_CHUNKS {
        rounds.tick().await;
        crowd.send_all(CHUNK.as_bytes()).await;
    }
    crowd.check_and_leave(&gateway).await;
});

case!(a_body_of_one_byte_chunks_is_served, async {
    let gateway = Gateway::start().await;
    let chunks = futures_util::stream::iter((0..64 << 10).map(|_| Ok::<_, std::io::Error>("a")));
    assert_eq!(gateway.status_of(reqwest::Body::wrap_stream(chunks)).await, Some(200));
    let bodies = gateway.upstream.arrivals();
    assert_eq!(bodies.last().map(|arrival| arrival.body.len()), Some(64 << 10));
});
