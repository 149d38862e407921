//! Callers: they keep their connections and note what they get.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Method;

use super::keeper::Seat;
use crate::gateway::world::Answer;
use crate::gateway::world::KEY;
use crate::gateway::world::send;

/// How long callers say that they wait, and when they stop listening altogether.
pub(super) const DEADLINE: Duration = Duration::from_secs(4);
const LISTEN: Duration = Duration::from_secs(15);

/// The time between two requests of a caller.
const PACE: Duration = Duration::from_millis(25);
/// A connection that is new fails fast where nobody listens.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Safe,
    Once,
    Stream,
    OnceStream,
}

impl Kind {
    pub(super) const ALL: [Self; 4] = [Self::Safe, Self::Once, Self::Stream, Self::OnceStream];

    pub(super) fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream)
    }

    pub(super) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::OnceStream)
    }

    fn path(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::OnceStream => "once-stream",
        }
    }
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub(super) struct Asked {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) gateway: usize,
    pub(super) life: u64,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    /// None when the connection ended without an answer.
    pub(super) got: Option<Answer>,
}

pub(super) fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().timeout(LISTEN);
    builder.connect_timeout(CONNECT_TIMEOUT).build().expect("a client can be made")
}

/// Asks one gateway once.
pub(super) async fn ask(
    http: &reqwest::Client,
    seat: &Seat,
    gateway: usize,
    kind: Kind,
    key: &str,
    id: String,
) -> Asked {
    let addrs = *seat.addrs.lock();
    let url = format!("http://{}/{}/x", addrs.callers, kind.path());
    let method = if kind.is_stream() { Method::POST } else { Method::GET };
    let mut request = http.request(method, url);
    request = request.header("Host", "test.example").header("Request-Id", &id).bearer_auth(key);
    request = request.header("Deadline-Ms", DEADLINE.as_millis().to_string());
    if kind.is_stream() {
        let model = if kind == Kind::Stream { "*" } else { "small" };
        request = request
            .header("Model", model)
            .header("Token-Usage", "100,20")
            .header("Prompt-Prefix", "a1:60,b2:40")
            .body("a prompt");
    }
    let sent = Instant::now();
    let got = send(request).await;
    Asked { id, kind, gateway, life: addrs.life, sent, ended: Instant::now(), got }
}

/// Asks one gateway after another until told to stop; gives all that it asked.
pub(super) async fn run(
    name: String,
    seed: u64,
    seats: Vec<Arc<Seat>>,
    stop: Arc<AtomicBool>,
) -> Vec<Asked> {
    let http = client();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pace = tokio::time::interval(PACE);
    let mut asked = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        pace.tick().await;
        let gateway = choose(&mut rng, &seats);
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let id = format!("{name}-{}", asked.len());
        asked.push(ask(&http, &seats[gateway], gateway, kind, KEY, id).await);
    }
    asked
}

/// One of the gateways that the platform sends callers to; any when there is none.
fn choose(rng: &mut StdRng, seats: &[Arc<Seat>]) -> usize {
    let used: Vec<_> = (0..seats.len()).filter(|n| *seats[*n].is_in.lock()).collect();
    if used.is_empty() {
        return rng.random_range(0..seats.len());
    }
    used[rng.random_range(0..used.len())]
}
