//! Many bodies of the largest size at once. Most stop just short of their end.

use bytes::Bytes;

use crate::case::case;
use crate::crowd::Crowd;
use crate::crowd::head;
use crate::gateway::Gateway;
use crate::gateway::MAX_BODY_BYTES;
use crate::gateway::OTHER_KEY;

const CROWD: usize = 48;

const PIECE_BYTES: usize = 64 << 10;

async fn is_borne(start: String, parts: Vec<Bytes>) {
    let gateway = Gateway::start().await;
    let crowd = Crowd::send(&gateway, CROWD, start, parts).await;
    gateway.is_well().await;
    let large = || vec![b'a'; MAX_BODY_BYTES];
    assert_eq!(gateway.status_with(OTHER_KEY, large()).await, Some(200));
    drop(crowd);
    assert_eq!(gateway.status_of(large()).await, Some(200));
    gateway.is_well().await;
}

fn announced() -> String {
    head(&format!("Content-Length: {MAX_BODY_BYTES}"))
}

fn chunked() -> String {
    head("Transfer-Encoding: chunked")
}

fn chunk(bytes: usize) -> Bytes {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'a');
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}

case!(announced_bodies_that_stop_before_their_last_byte, async {
    is_borne(announced(), vec![Bytes::from(vec![b'a'; MAX_BODY_BYTES - 1])]).await;
});

case!(announced_bodies_in_pieces, async {
    let piece = Bytes::from(vec![b'a'; PIECE_BYTES]);
    let mut pieces = vec![piece.clone(); MAX_BODY_BYTES / PIECE_BYTES];
    pieces[0] = piece.slice(1..);
    is_borne(announced(), pieces).await;
});

case!(whole_bodies, async {
    is_borne(announced(), vec![Bytes::from(vec![b'a'; MAX_BODY_BYTES])]).await;
});

case!(large_chunks_without_an_end, async {
    is_borne(chunked(), vec![chunk(MAX_BODY_BYTES - 1)]).await;
});

case!(chunks_without_an_end, async {
    is_borne(chunked(), vec![chunk(PIECE_BYTES); MAX_BODY_BYTES / PIECE_BYTES]).await;
});

case!(bodies_far_over_the_limit_in_chunks, async {
    is_borne(chunked(), vec![chunk(1 << 20); 16]).await;
});

case!(bodies_far_over_the_limit_that_are_announced, async {
    let start = head(&format!("Content-Length: {}", 1_usize << 40));
    is_borne(start, vec![Bytes::from(vec![b'a'; MAX_BODY_BYTES])]).await;
});
