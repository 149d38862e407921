//! More connections than the process may have descriptors.

use bytes::Bytes;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::prlimit;

use crate::case::case;
use crate::crowd::Crowd;
use crate::crowd::head;
use crate::gateway::Gateway;

const DESCRIPTORS: usize = 300;

const CROWD: usize = 400;

async fn is_borne(start: String, parts: Vec<Bytes>) {
    let gateway = Gateway::start_with(DESCRIPTORS).await;
    let limit = Some(DESCRIPTORS as u64);
    let limit = Rlimit { current: limit, maximum: limit };
    let id = i32::try_from(gateway.process_id()).expect("a process ID fits in 32 bits");
    prlimit(Pid::from_raw(id), Resource::Nofile, limit).expect("the limit can be lowered");
    let mut crowd = Crowd::send(&gateway, CROWD, start, parts).await;
    gateway.is_well().await;
    crowd.send_all(b"a").await;
    crowd.check_and_leave(&gateway).await;
}

case!(bodies_that_stop, async {
    is_borne(head("Content-Length: 1000"), vec![Bytes::from_static(b"some bytes")]).await;
});

case!(heads_that_stop, async {
    is_borne("POST /safe/x HTTP/1.1\r\nHost: ".to_owned(), Vec::new()).await;
});

case!(silent_connections, async {
    is_borne(String::new(), Vec::new()).await;
});
