//! Many connections whose request head does not end.

use bytes::Bytes;

use crate::case::case;
use crate::crowd::Crowd;
use crate::crowd::head;
use crate::gateway::Gateway;

const CROWD: usize = 1_200;

/// The part of the head that each connection sends.
const HEAD_BYTES: usize = 60_000;

async fn is_borne(parts: Vec<Bytes>) {
    let gateway = Gateway::start().await;
    let start = "POST /safe/x HTTP/1.1\r\nHost: test.example\r\n".to_owned();
    let crowd = Crowd::send(&gateway, CROWD, start, parts).await;
    crowd.check_and_leave(&gateway).await;
}

case!(a_field_without_an_end, async {
    let mut field = b"a: ".to_vec();
    field.resize(HEAD_BYTES, b'b');
    is_borne(vec![field.into()]).await;
});

case!(fields_without_an_end, async {
    let fields = (0..30).map(|n| format!("a-{n}: {}\r\n", "b".repeat(HEAD_BYTES / 30)));
    is_borne(vec![fields.collect::<String>().into()]).await;
});

case!(trailers_without_an_end, async {
    let gateway = Gateway::start().await;
    let body = format!("1\r\na\r\n0\r\n{}", "a: b\r\n".repeat(HEAD_BYTES / 6));
    let start = head("Transfer-Encoding: chunked");
    let crowd = Crowd::send(&gateway, CROWD, start, vec![body.into()]).await;
    crowd.check_and_leave(&gateway).await;
});
