//! Upstreams that name a limit: how many requests a second they take from all entries together.
//!
//! What users saw: an upstream that had named a limit of 1.6 requests a second got 46 within four seconds
//! from entries that it had told so; 15 are allowed. The order of events: from a moment on it named the
//! limit in all its answers, turned nothing away, and got what it had got before. The list of upstreams says
//! nothing of limits.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::fleet::Fleet;
use super::world::KEY;
use super::world::PLAIN;
use crate::case::case;
use crate::harness::wait_until;

const SERVER_LIMIT: &str = "server-limit";

/// What an upstream works on one request: each entry has a caller that asks again at once, so
/// some 20 requests a second.
const WORK: Duration = Duration::from_millis(50);

/// The bound of the platform's page: in four seconds one and a half times the limit, and five besides,
/// from three seconds after it was first named, of entries that were told half a second before.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
const TOLD_BEFORE: Duration = Duration::from_millis(500);

/// How long callers go on after the limit was named.
const GO_ON_FOR: Duration = Duration::from_millis(7_500);

/// Entries, and upstreams of one plain service.
struct World {
    fleet: Fleet,
    upstreams: Vec<UpstreamStandin>,
}

/// What one entry's caller saw.
#[derive(Default)]
struct Seen {
    /// When it first got an answer that names a limit, by upstream.
    told: HashMap<String, Instant>,
    statuses: HashMap<u16, usize>,
}

impl World {
    async fn start(entries: usize, upstreams: usize) -> Self {
        let fleet = Fleet::of(entries).await;
        let mut started = Vec::new();
        for n in 0..upstreams {
            let instance = format!("i-{n}");
            let usual = Behaviour::Answer { body: instance.clone(), after: WORK };
            let upstream = UpstreamStandin::start(&instance, usual).await;
            let upstream = upstream.expect("the upstream starts");
            let entry = upstream.entry(PLAIN, "zone-1", "v1", "ready");
            fleet.store.put("servers", &instance, entry);
            started.push(upstream);
        }
        let world = Self { fleet, upstreams: started };
        let last = format!("i-{}", upstreams - 1);
        wait_until("all upstreams and entries are known", async || {
            let dumps = world.fleet.dumps().await;
            let knows_all = |dump: &serde_json::Value| {
                dump["upstreams"].to_string().contains(&last) && dump["entries"] == entries
            };
            dumps.iter().all(knows_all)
        })
        .await;
        world
    }

    /// A caller of one entry that asks again and again, until then.
    async fn ask_until(&self, entry: usize, end: Instant) -> Seen {
        let mut seen = Seen::default();
        let url = format!("http://{}/safe/x", self.fleet.entries[entry].callers_addr());
        while Instant::now() < end {
            let request = self.fleet.http.get(&url).header("Host", "test.example").bearer_auth(KEY);
            let id = format!("{entry}-{:x}", rand::random::<u64>());
            let answer = request.header("Request-Id", id).send().await.expect("an answer");
            *seen.statuses.entry(answer.status().as_u16()).or_default() += 1;
            if answer.headers().contains_key(SERVER_LIMIT) {
                let upstream = answer.text().await.expect("a body");
                seen.told.entry(upstream).or_insert_with(Instant::now);
            }
        }
        seen
    }

    /// One caller of each entry.
    async fn ask_all_until(&self, end: Instant) -> Vec<Seen> {
        join_all((0..self.fleet.entries.len()).map(|entry| self.ask_until(entry, end))).await
    }

    /// The most requests in a window that count against the bound.
    fn most_in_window(&self, upstream: usize, named: Instant, seen: &[Seen]) -> usize {
        let name = format!("i-{upstream}");
        let counts = |entry: usize, at: Instant| {
            let told = seen[entry].told.get(&name);
            told.is_some_and(|told| at >= *told + TOLD_BEFORE)
        };
        let arrivals = self.upstreams[upstream].arrivals();
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| counts(entry_of(arrival.header("request-id")), arrival.at))
            .map(|arrival| arrival.at)
            .collect();
        let in_force = counted.iter().filter(|at| **at >= named + IN_FORCE_AFTER);
        let within = |last: &Instant| {
            counted.iter().filter(|at| **at <= *last && **at + WINDOW >= *last).count()
        };
        in_force.map(within).max().unwrap_or(0)
    }
}

/// The entry to which a caller sent a request.
fn entry_of(id: &str) -> usize {
    let entry = id.split_once('-').and_then(|(entry, _)| entry.parse().ok());
    entry.expect("an entry's number")
}

fn allowed(limit_per_s: f64) -> f64 {
    OVERAGE * limit_per_s * WINDOW.as_secs_f64() + SLACK
}

/// Of three upstreams some name this limit, and no more comes to them than is allowed.
macro_rules! kept {
    ($name:ident, $entries:expr, $limited:expr, $limit_per_s:expr) => {
        case!($name, async {
            let world = World::start($entries, 3).await;
            let named = Instant::now();
            let limited = 0..$limited;
            for upstream in limited.clone() {
                world.upstreams[upstream].says(SERVER_LIMIT, &format!("{}", $limit_per_s));
            }
            let seen = world.ask_all_until(named + GO_ON_FOR).await;
            for upstream in limited {
                let most = world.most_in_window(upstream, named, &seen);
                assert!(most as f64 <= allowed($limit_per_s), "{most} in four seconds");
            }
        });
    };
}

kept!(one_of_three_with_four_entries, 4, 1, 2.2);
