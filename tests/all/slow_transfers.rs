//! Messages and answers that are large for the link that carries them: between an entry and a
//! sidecar, and from the table service.
//!
//! The other end is taken for gone when it is silent. A message of which more comes all the time is
//! no silence, however long it takes: judged by whole messages, an end whose link needed longer for
//! one than the silence that is borne was taken for gone, connected again, and sent it anew.

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use stallhoist_platform::PlatformClient;
use stallhoist_platform::Put;
use stallhoist_platform::Transaction;
use stallhoist_standins::Direction;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::platform::PlatformStandin;
use stallhoist_wire::FrameCodec;
use stallhoist_wire::FrameReader;
use stallhoist_wire::FrameSender;
use stallhoist_wire::WireError;
use stallhoist_wire::messages::Chunk;
use stallhoist_wire::messages::frame::Body;
use stallhoist_wire::start_writer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::case::case;
use crate::harness::wait_until;

const MAX_FRAME_BYTES: usize = 1 << 20;

/// The silence that is borne. A large message takes four times as long.
const SILENCE: Duration = Duration::from_millis(500);
const SLOW_BYTES_PER_S: u32 = 100_000;
const LARGE_BYTES: usize = 200_000;

/// One end of a connection: it closes when a half is dropped.
type End = (FrameSender, FrameReader);

/// Two ends of a connection over a slow link.
async fn ends() -> (End, End, FaultProxy) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let link = FaultProxy::start(listener.local_addr().expect("an address")).await;
    let link = link.expect("a proxy starts");
    link.throttle(SLOW_BYTES_PER_S);
    let opened = TcpStream::connect(link.addr()).await.expect("a connection");
    let (accepted, _) = listener.accept().await.expect("it arrives");
    let framed = |stream| Framed::new(stream, FrameCodec::new(MAX_FRAME_BYTES));
    (start_writer(framed(opened)), start_writer(framed(accepted)), link)
}

fn large_message() -> Body {
    Body::Chunk(Chunk { payload: Bytes::from(vec![7; LARGE_BYTES]), ..Chunk::default() })
}

case!(a_message_that_takes_longer_than_the_silence_that_is_borne_comes, async {
    let ((sender, _), (_sender, mut reader), _link) = ends().await;
    sender.send(large_message()).await.expect("it is queued");
    let body = reader.next_within(SILENCE).await.expect("it comes");
    assert_eq!(body, large_message());
});

case!(an_end_that_falls_silent_in_a_message_is_taken_for_gone, async {
    let ((sender, _), (_sender, mut reader), link) = ends().await;
    sender.send(large_message()).await.expect("it is queued");
    let begun = wait_until("it begins", async || link.passed_bytes(Direction::ToListener) > 0);
    let cut = async {
        begun.await;
        link.hold(Direction::ToListener);
    };
    let (received, ()) = tokio::join!(reader.next_within(SILENCE), cut);
    assert!(matches!(received, Err(WireError::Closed)), "{received:?}");
});

// The time of a call is that until its answer begins, and of each rest in it.
case!(a_long_list_of_records_comes_over_a_slow_link, async {
    const RECORDS: usize = 40;
    let platform = PlatformStandin::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let addr = platform.url().trim_start_matches("http://").parse().expect("an address");
    let link = FaultProxy::start(addr).await.expect("a proxy starts");
    let client = PlatformClient::new(&format!("http://{}", link.addr()), SILENCE);
    let value = json!("x".repeat(LARGE_BYTES / RECORDS));
    for n in 0..RECORDS {
        let put = Put { key: format!("record-{n}"), value: value.clone() };
        let written = Transaction { puts: vec![put], ..Transaction::default() };
        client.commit(&written).await.expect("it is written");
    }
    link.throttle(SLOW_BYTES_PER_S);
    let page = client.list("record-", "", RECORDS).await.expect("it comes");
    assert_eq!(page.records.len(), RECORDS);
});
