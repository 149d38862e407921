//! Callers, which reuse their connections and record each request with its response.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Method;
use reqwest::RequestBuilder;

use super::fragile;
use super::gateway_status::Addrs;
use super::gateway_status::GatewayStatus;
use crate::gateway::world::Answer;
use crate::gateway::world::ENGINE;
use crate::gateway::world::KEY;
use crate::gateway::world::PLAIN;
use crate::gateway::world::send;

/// The deadline that callers state in their requests.
pub(super) const DEADLINE: Duration = Duration::from_secs(4);

/// The time after which callers abandon a request without a response.
const TIMEOUT: Duration = Duration::from_secs(15);

/// The minimum interval between two requests of a caller.
const REQUEST_EVERY: Duration = Duration::from_millis(25);

/// The limit for opening a connection, so that a caller soon abandons a suspended gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The kinds of requests: calls and streams, repeatable or run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    Safe,
    Once,
    Stream,
    OnceStream,
    /// A harmless stream from the upstreams that some requests crash.
    Fragile,
    /// A stream that crashes them.
    Fatal,
}

impl RequestKind {
    /// The kinds that callers choose from at random.
    pub(super) const ALL: [Self; 5] =
        [Self::Safe, Self::Once, Self::Stream, Self::OnceStream, Self::Fragile];

    pub(super) fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream | Self::Fragile | Self::Fatal)
    }

    pub(super) fn is_stream(self) -> bool {
        !matches!(self, Self::Safe | Self::Once)
    }

    pub(super) fn service(self) -> &'static str {
        match self {
            Self::Safe | Self::Once => PLAIN,
            Self::Stream | Self::OnceStream => ENGINE,
            Self::Fragile | Self::Fatal => fragile::SERVICE,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::OnceStream => "once-stream",
            Self::Fragile | Self::Fatal => "fragile",
        }
    }
}

/// A request and its response.
#[derive(Debug, Clone)]
pub(super) struct RequestRecord {
    pub(super) id: String,
    pub(super) kind: RequestKind,
    /// The number of the gateway, and the generation of the process that got the request.
    pub(super) gateway: usize,
    pub(super) generation: u64,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    /// None when the connection closed without a response.
    pub(super) answer: Option<Answer>,
}

pub(super) fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().timeout(TIMEOUT);
    builder.connect_timeout(CONNECT_TIMEOUT).build().expect("the HTTP client can be built")
}

/// Sends one request to a gateway and records its response.
pub(super) async fn send_request(
    http: &reqwest::Client,
    gateway: &GatewayStatus,
    kind: RequestKind,
    key: &str,
    id: String,
) -> RequestRecord {
    let body =
        if kind == RequestKind::Fragile { format!("prompt {id}") } else { "a prompt".to_owned() };
    send_with_body(http, gateway, kind, key, id, body).await
}

/// Like [`send_request`], with the given body where the kind has one.
pub(super) async fn send_with_body(
    http: &reqwest::Client,
    gateway: &GatewayStatus,
    kind: RequestKind,
    key: &str,
    id: String,
    body: String,
) -> RequestRecord {
    let addrs = *gateway.addrs.lock();
    let mut request = request(http, &addrs, kind, key, &id);
    if kind.is_stream() {
        request = request.body(body);
    }
    let sent = Instant::now();
    let answer = send(request).await;
    RequestRecord {
        id,
        kind,
        gateway: gateway.number,
        generation: addrs.generation,
        sent,
        ended: Instant::now(),
        answer,
    }
}

fn request(
    http: &reqwest::Client,
    addrs: &Addrs,
    kind: RequestKind,
    key: &str,
    id: &str,
) -> RequestBuilder {
    let url = format!("http://{}/{}/x", addrs.callers, kind.path());
    let method = if kind.is_stream() { Method::POST } else { Method::GET };
    let request = http
        .request(method, url)
        .header("Host", "test.example")
        .header("Request-Id", id)
        .header("Deadline-Ms", DEADLINE.as_millis().to_string())
        .bearer_auth(key);
    if !kind.is_stream() {
        return request;
    }
    request
        .header("Model", if kind == RequestKind::OnceStream { "small" } else { "*" })
        .header("Token-Usage", "100,20")
        .header("Prompt-Prefix", "a1:60,b2:40")
}

/// Sends one request after another until `stop` is set. Returns the records.
pub(super) async fn run(
    name: String,
    seed: u64,
    gateways: Vec<Arc<GatewayStatus>>,
    stop: Arc<AtomicBool>,
) -> Vec<RequestRecord> {
    let http = client();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ticks = tokio::time::interval(REQUEST_EVERY);
    let mut records = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        ticks.tick().await;
        let gateway = choose(&mut rng, &gateways);
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        let id = format!("{name}-{}", records.len());
        records.push(send_request(&http, gateway, kind, KEY, id).await);
    }
    records
}

/// Chooses a gateway in rotation at random, or any gateway when none is in rotation.
fn choose<'a>(rng: &mut StdRng, gateways: &'a [Arc<GatewayStatus>]) -> &'a GatewayStatus {
    let in_rotation = gateways.iter().filter(|gateway| *gateway.is_in_rotation.lock());
    let in_rotation: Vec<_> = in_rotation.collect();
    if in_rotation.is_empty() {
        return &gateways[rng.random_range(0..gateways.len())];
    }
    in_rotation[rng.random_range(0..in_rotation.len())]
}
