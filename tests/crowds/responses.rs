//! Many callers that do not read their responses.

use bytes::Bytes;
use stallhoist_standins::users_platform::Behaviour;

use crate::case::case;
use crate::crowd::Crowd;
use crate::crowd::head;
use crate::gateway::Gateway;

const CROWD: usize = 48;

const RESPONSE_BYTES: usize = 12 << 20;

/// Requests that are sent one after the other on each connection.
const REQUESTS: usize = 16;

case!(large_responses_that_are_not_read, async {
    let gateway = Gateway::start().await;
    let large = Behaviour::answer(&"a".repeat(RESPONSE_BYTES));
    gateway.upstream.then(std::iter::repeat_n(large.clone(), CROWD));
    let crowd = Crowd::send(&gateway, CROWD, head("Content-Length: 0"), Vec::new()).await;
    gateway.has_run(CROWD).await;
    gateway.upstream.clear_queued_behaviours();
    crowd.check_and_leave(&gateway).await;
    gateway.upstream.then([large]);
    assert_eq!(gateway.status_of("a request").await, Some(200));
});

case!(requests_without_reading_a_response, async {
    let gateway = Gateway::start().await;
    let start = head("Content-Length: 0").repeat(REQUESTS);
    let crowd = Crowd::send(&gateway, CROWD, start, Vec::<Bytes>::new()).await;
    crowd.check_and_leave(&gateway).await;
});
