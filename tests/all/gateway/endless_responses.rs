//! Upstreams in trouble that send bytes without end, in a head or a body, until the gateway closes the connection.

use super::framing::Endless;
use super::framing::Fault;
use super::framing::Framing;
use super::framing::World;
use crate::case::case;
use crate::harness::wait_until;

/// Bytes of a head or of one event after which a gateway has broken it off.
const SMALL_BYTES: usize = 8 << 20;

/// The same of a body.
const BODY_BYTES: usize = 32 << 20;

/// Parts in which the most that is taken is sent: in about half a second.
const PARTS: usize = 256;

/// Checks that an endless response is broken off early enough for another attempt, and that no more of it was taken than
/// this.
async fn is_broken_off(is_stream: bool, endless: Endless, max_bytes: usize) {
    let world = World::start(is_stream).await;
    let (answer, requests) = world.ask_with(Fault::Endless(endless)).await;
    assert_eq!((answer.status, answer.is_whole, requests), (200, true, 2));
    assert_eq!(answer.body, world.whole());
    let endless_bytes = || *world.upstream.endless_bytes.lock();
    wait_until("the connection is closed", async || endless_bytes().is_some()).await;
    let taken = endless_bytes().unwrap_or_default();
    assert!(taken <= max_bytes, "{taken} bytes were taken");
}

/// A name, whether the response is a stream, what comes first, what is repeated, and the most that is taken.
macro_rules! broken_off {
    ($name:ident, $is_stream:expr, $after_head:expr, $start:expr, $repeated:expr, $max_bytes:expr) => {
        case!($name, {
            let endless = Endless {
                after_head: $after_head,
                start: $start,
                repeated: $repeated,
                part_bytes: $max_bytes / PARTS,
            };
            is_broken_off($is_stream, endless, $max_bytes)
        });
    };
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

broken_off!(bytes_that_are_no_head, false, None, "", "\0garbage", SMALL_BYTES);
broken_off!(a_line_of_a_head_without_end, false, None, "HTTP/1.1 200 OK\r\na: ", "b", SMALL_BYTES);
broken_off!(fields_of_a_head_without_end, false, None, HEAD, "a: b\r\n", SMALL_BYTES);
broken_off!(
    interim_responses_without_end,
    false,
    None,
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    SMALL_BYTES
);
broken_off!(a_body_without_end, false, Some(Framing::Close), "", "garbage", BODY_BYTES);
broken_off!(a_body_of_the_stated_length, false, Some(Framing::Length), "", "garbage", BODY_BYTES);
broken_off!(chunks_without_end, false, Some(Framing::Chunks), "", "7\r\ngarbage\r\n", BODY_BYTES);
broken_off!(a_chunk_size_without_end, false, Some(Framing::Chunks), "1;a=", "b", SMALL_BYTES);
broken_off!(
    trailers_without_end,
    false,
    Some(Framing::Chunks),
    "1\r\na\r\n0\r\n",
    "a: b\r\n",
    SMALL_BYTES
);
broken_off!(an_event_without_end, true, Some(Framing::Close), "id: 1\ndata: ", "b", SMALL_BYTES);
broken_off!(
    lines_of_an_event_without_end,
    true,
    Some(Framing::Chunks),
    "",
    "9\r\ndata: ab\n\r\n",
    SMALL_BYTES
);

// The deadline was not checked while there was always something to read.
case!(events_without_end_stop_at_the_deadline, async {
    let world = World::start(true).await;
    let endless = Endless {
        after_head: Some(Framing::Close),
        start: "",
        repeated: "id: 1\ndata: a\n\n",
        part_bytes: SMALL_BYTES,
    };
    let started = std::time::Instant::now();
    let (answer, _) = world.ask_with(Fault::Endless(endless)).await;
    assert!(!answer.is_whole);
    let elapsed = started.elapsed();
    assert!(elapsed < std::time::Duration::from_millis(4_500), "it took {elapsed:?}");
});
