//! Large messages over a slow connection, between an entry and a sidecar, and from the store.
//!
//! A peer that sends nothing for the silence timeout counts as gone. The timeout must apply to received bytes,
//! not to complete messages: otherwise a peer whose connection needs longer than the timeout for one message
//! is disconnected, reconnects, and sends the same message again.

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

/// The silence timeout. A large message takes four times as long.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
const SLOW_BYTES_PER_S: u32 = 100_000;
const LARGE_BYTES: usize = 200_000;

/// One end of a connection, which closes when either half is dropped.
type End = (FrameSender, FrameReader);

/// Opens a connection over a slow link and returns both of its ends.
async fn connect_slowly() -> (End, End, FaultProxy) {
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

case!(message_that_takes_longer_than_the_silence_timeout_arrives, async {
    let ((sender, _), (_sender, mut reader), _link) = connect_slowly().await;
    sender.send(large_message()).await.expect("it is queued");
    let body = reader.next_within(SILENCE_TIMEOUT).await.expect("it arrives");
    assert_eq!(body, large_message());
});

case!(silence_within_a_message_closes_the_connection, async {
    let ((sender, _), (_sender, mut reader), link) = connect_slowly().await;
    sender.send(large_message()).await.expect("it is queued");
    let begun = wait_until("it begins", async || link.passed_bytes(Direction::ToListener) > 0);
    let cut = async {
        begun.await;
        link.hold(Direction::ToListener);
    };
    let (received, ()) = tokio::join!(reader.next_within(SILENCE_TIMEOUT), cut);
    assert!(matches!(received, Err(WireError::Closed)), "{received:?}");
});

// The timeout of a call applies until its response starts, and then to each pause in it.
case!(long_list_of_records_arrives_over_a_slow_link, async {
    const RECORDS: usize = 40;
    let platform = PlatformStandin::start(([127, 0, 0, 1], 0).into()).await.expect("it starts");
    let addr = platform.url().trim_start_matches("http://").parse().expect("an address");
    let link = FaultProxy::start(addr).await.expect("a proxy starts");
    let client = PlatformClient::new(&format!("http://{}", link.addr()), SILENCE_TIMEOUT);
    let value = json!("x".repeat(LARGE_BYTES / RECORDS));
    for n in 0..RECORDS {
        let put = Put { key: format!("record-{n}"), value: value.clone() };
        let written = Transaction { puts: vec![put], ..Transaction::default() };
        client.commit(&written).await.expect("it is written");
    }
    link.throttle(SLOW_BYTES_PER_S);
    let page = client.list("record-", "", RECORDS).await.expect("it arrives");
    assert_eq!(page.records.len(), RECORDS);
});
