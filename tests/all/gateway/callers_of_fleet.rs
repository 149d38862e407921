//! Several gateways in front of upstreams of one plain service, and callers that record their responses.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use reqwest::RequestBuilder;
use reqwest::header::HeaderMap;
use serde_json::Value;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::fleet::Fleet;
use super::world::KEY;
use super::world::PLAIN;
use crate::harness::wait_until;

/// Processing time of one request: a caller that repeats its request at once sends about 20 per second.
pub(super) const WORK: Duration = Duration::from_millis(50);

/// Header in which an upstream names itself.
const UPSTREAM: &str = "x-upstream";

/// Gateways, and upstreams of one plain service.
pub(super) struct World {
    pub(super) fleet: Fleet,
    pub(super) upstreams: Vec<UpstreamStandin>,
}

/// A response that a caller received.
pub(super) struct CallerResponse {
    pub(super) id: String,
    pub(super) entry: usize,
    pub(super) sent: Instant,
    pub(super) at: Instant,
    pub(super) status: u16,
    headers: HeaderMap,
}

impl CallerResponse {
    /// Whether the response comes from this upstream and has this header.
    fn has_header(&self, upstream: usize, name: &str) -> bool {
        let instance = self.headers.get(UPSTREAM).and_then(|value| value.to_str().ok());
        instance == Some(&format!("i-{upstream}")) && self.headers.contains_key(name)
    }
}

/// The distinct statuses of responses, in order.
pub(super) fn statuses(responses: &[CallerResponse]) -> Vec<u16> {
    let statuses: BTreeSet<u16> = responses.iter().map(|response| response.status).collect();
    statuses.into_iter().collect()
}

/// When each gateway first forwarded a response of this upstream with this header.
pub(super) fn first_reported(
    responses: &[CallerResponse],
    upstream: usize,
    name: &str,
) -> HashMap<usize, Instant> {
    let mut first_times = HashMap::new();
    for response in responses.iter().filter(|response| response.has_header(upstream, name)) {
        let first = first_times.entry(response.entry).or_insert(response.at);
        *first = response.at.min(*first);
    }
    first_times
}

/// The gateway to which a caller sent a request, by the request's id.
pub(super) fn entry_of(id: &str) -> usize {
    let entry = id.split_once('-').and_then(|(entry, _)| entry.parse().ok());
    entry.expect("a gateway's number")
}

impl World {
    pub(super) async fn start(entries: usize, upstreams: usize) -> Self {
        let fleet = Fleet::of(entries).await;
        let mut started = Vec::new();
        for n in 0..upstreams {
            let instance = format!("i-{n}");
            let behaviour = Behaviour::Answer { body: instance.clone(), after: WORK };
            let upstream = UpstreamStandin::start(&instance, behaviour).await;
            let upstream = upstream.expect("the upstream starts");
            upstream.set_response_header(UPSTREAM, &instance);
            let entry = upstream.entry(PLAIN, "zone-1", "v1", "ready");
            fleet.store.put("servers", &instance, entry);
            started.push(upstream);
        }
        let world = Self { fleet, upstreams: started };
        let last = format!("i-{}", upstreams - 1);
        wait_until("all upstreams and gateways are known", async || {
            let dumps = world.fleet.dumps().await;
            let knows_all = |dump: &Value| {
                dump["upstreams"].to_string().contains(&last) && dump["entries"] == entries
            };
            dumps.iter().all(knows_all)
        })
        .await;
        world
    }

    /// A request to a gateway, with an id that names the gateway.
    pub(super) fn request(&self, entry: usize) -> (String, RequestBuilder) {
        let url = format!("http://{}/safe/x", self.fleet.entries[entry].callers_addr());
        let request = self.fleet.http.get(url).header("Host", "test.example").bearer_auth(KEY);
        let id = format!("{entry}-{:x}", rand::random::<u64>());
        let request = request.header("Request-Id", &id);
        (id, request)
    }

    /// Sends requests to one gateway, one after the other, until `end`.
    pub(super) async fn ask_until(&self, entry: usize, end: Instant) -> Vec<CallerResponse> {
        let mut responses = Vec::new();
        while Instant::now() < end {
            let (id, request) = self.request(entry);
            let sent = Instant::now();
            let answer = request.send().await.expect("an answer");
            let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
            responses.push(CallerResponse { id, entry, sent, at: Instant::now(), status, headers });
        }
        responses
    }

    /// Runs `callers` concurrent callers of each gateway until `end`.
    pub(super) async fn ask_all_until(&self, callers: usize, end: Instant) -> Vec<CallerResponse> {
        let entries = (0..self.fleet.entries.len()).flat_map(|n| std::iter::repeat_n(n, callers));
        let responses = join_all(entries.map(|entry| self.ask_until(entry, end))).await;
        responses.into_iter().flatten().collect()
    }
}
