//! Upstreams that name a limit: how many requests a second they take from all entries together.
//!
//! What users saw: an upstream that had named a limit of 1.6 requests a second got 46 within four seconds
//! from entries that it had told so; 15 are allowed. The order of events: from a moment on it named the
//! limit in all its answers, turned nothing away, and got what it had got before. The cause: a head was read
//! for whether the request ran, for load and for how long the upstream is cold, and whatever else an upstream
//! says was dropped there. The list of upstreams says nothing of limits.
//!
//! The evidence: with three upstreams, one of which names 2.2 a second, 82 to 118 came to it within four
//! seconds from four entries that it had told (18 allowed). Had each entry kept to the limit by itself, twelve
//! would still have sent up to twelve times as much: the limit is the fleet's.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use stallhoist_standins::users_platform::Behaviour;

use super::callers_of_fleet::CallerResponse;
use super::callers_of_fleet::WORK;
use super::callers_of_fleet::World;
use super::callers_of_fleet::entry_of;
use super::callers_of_fleet::first_reported;
use super::callers_of_fleet::statuses;
use super::world::KEY;
use super::world::PLAIN;
use super::world::readiness;
use super::world::send;
use super::world::settings;
use super::world::start_gateway_with;
use crate::case::case;
use crate::harness::wait_until;

const SERVER_LIMIT: &str = "server-limit";

/// The bound of the platform's page: in four seconds one and a half times the limit, and five besides,
/// from three seconds after it was first named, of entries that were told half a second before.
const WINDOW: Duration = Duration::from_secs(4);
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
const TOLD_BEFORE: Duration = Duration::from_millis(500);

/// How long callers go on after the limit was named.
const GO_ON_FOR: Duration = Duration::from_millis(7_500);

impl World {
    /// The most requests in a window that count against the bound.
    fn most_in_window(&self, upstream: usize, named: Instant, got: &[CallerResponse]) -> usize {
        let told = first_reported(got, upstream, SERVER_LIMIT);
        let counts = |entry: usize, at: Instant| {
            told.get(&entry).is_some_and(|told| at >= *told + TOLD_BEFORE)
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

fn allowed(limit_per_s: f64) -> f64 {
    OVERAGE * limit_per_s * WINDOW.as_secs_f64() + SLACK
}

/// Of three upstreams some name this limit: they get something still, and no more than is allowed.
macro_rules! kept {
    ($name:ident, $entries:expr, $limited:expr, $limit_per_s:expr) => {
        case!($name, async {
            let world = World::start($entries, 3).await;
            let named = Instant::now();
            let limited = 0..$limited;
            for upstream in limited.clone() {
                world.upstreams[upstream].says(SERVER_LIMIT, &format!("{}", $limit_per_s));
            }
            let got = world.ask_all_until(1, named + GO_ON_FOR).await;
            for upstream in limited {
                let most = world.most_in_window(upstream, named, &got);
                let bound = 1..=allowed($limit_per_s) as usize;
                assert!(bound.contains(&most), "{most} in four seconds");
            }
        });
    };
}

kept!(one_of_three_with_one_entry, 1, 1, 2.2);
kept!(one_of_three_with_four_entries, 4, 1, 2.2);
kept!(one_of_three_with_twelve_entries, 12, 1, 2.2);
kept!(all_three_with_four_entries, 4, 3, 2.2);
kept!(a_small_one_with_four_entries, 4, 1, 0.3);

impl World {
    /// An upstream names a limit, and all entries know it.
    async fn all_are_told(&self, upstream: usize, limit: &str) {
        self.upstreams[upstream].says(SERVER_LIMIT, limit);
        wait_until("an entry is told", async || {
            self.ask_until(0, Instant::now() + WORK).await;
            self.is_limited(limit, 1).await
        })
        .await;
        let entries = self.fleet.entries.len();
        wait_until("the others are told", async || self.is_limited(limit, entries).await).await;
    }

    /// Waits until the first entry may use its part.
    async fn entry_is_counted(&self) {
        wait_until("the entry is counted", async || {
            self.fleet.dumps().await[0]["upstreams"].to_string().contains("place=Free")
        })
        .await;
    }

    /// Whether so many entries know of an upstream with this limit, at least.
    async fn is_limited(&self, limit: &str, entries: usize) -> bool {
        let word = format!("limit={limit}");
        let dumps = self.fleet.dumps().await;
        let knows = |dump: &&Value| dump["upstreams"].to_string().contains(&word);
        dumps.iter().filter(knows).count() >= entries
    }
}

case!(with_all_limited_the_rest_is_refused_at_once_and_told_when_to_come_back, async {
    let world = World::start(1, 1).await;
    world.all_are_told(0, "0.5").await;
    let ask = async || send(world.request(0).1).await.expect("an answer");
    world.entry_is_counted().await;
    wait_until("its part is used", async || ask().await.status == 503).await;
    let asked = Instant::now();
    let refused = ask().await;
    assert!(asked.elapsed() < Duration::from_millis(300), "{:?}", asked.elapsed());
    assert_eq!(refused.status, 503);
    let retry_after: f64 = refused.header("retry-after").parse().expect("a time to come back");
    // The time comes true: the next one is served then, whatever else is asked.
    let due = Instant::now() + Duration::from_secs_f64(retry_after);
    wait_until("that time is over", async || Instant::now() >= due).await;
    assert_eq!(ask().await.status, 200);
});

case!(an_entry_that_sends_nothing_hears_from_the_others_that_it_is_over, async {
    let world = World::start(4, 1).await;
    world.all_are_told(0, "0.3").await;
    world.upstreams[0].says_no_more(SERVER_LIMIT);
    let end = Instant::now() + Duration::from_secs(15);
    world.ask_all_until_unlimited(end).await;
    let world = &world;
    let asked = (0..4).map(|entry| async move {
        let got = world.ask_until(entry, Instant::now() + Duration::from_millis(500)).await;
        statuses(&got)
    });
    assert_eq!(join_all(asked).await, vec![vec![200]; 4]);
});

impl World {
    /// Callers of all entries ask until none of them knows of a limit.
    async fn ask_all_until_unlimited(&self, end: Instant) {
        while !self.is_limited("none", self.fleet.entries.len()).await {
            assert!(Instant::now() < end, "a limit is still known");
            self.ask_all_until(1, Instant::now() + WORK).await;
        }
    }
}

// What users saw: an entry was stopped and started again, and in its first moments sent an upstream more than
// its part: 12 came in four seconds where 11 are allowed. An upstream with nothing to do is the best
// choice until an answer of it has come. The cause: others told the entry only at their next news, 0.2 s later.
case!(an_entry_that_starts_again_knows_which_limits_hold, async {
    let mut world = World::start(4, 3).await;
    world.all_are_told(0, "1.1").await;
    let mut settings = settings(&world.fleet.store);
    settings.host.id = "entry-1".parse().expect("a name");
    settings.seeds = [0, 2].map(|entry| world.fleet.peers_addr(entry)).to_vec();
    drop(world.fleet.entries.remove(1));
    let sent_before = world.upstreams[0].arrivals().len();
    let gateway = start_gateway_with(settings).await;
    let ready = gateway.readiness_addr().to_string();
    wait_until("it is ready", async || readiness(&world.fleet.http, &ready).await == 200).await;
    let url = format!("http://{}/safe/x", gateway.callers_addr());
    let ask = async |n: usize| {
        let request = world.fleet.http.get(&url).header("Host", "test.example").bearer_auth(KEY);
        send(request.header("Request-Id", format!("1-{n}"))).await.expect("an answer").status
    };
    assert_eq!(join_all((0..30).map(ask)).await, [200; 30]);
    // Four in a window from four entries.
    let sent = world.upstreams[0].arrivals().len() - sent_before;
    assert!(sent <= 1, "{sent} came to the limited one");
});

case!(a_row_that_is_written_again_ends_no_limit, async {
    let world = World::start(1, 1).await;
    world.all_are_told(0, "0.3").await;
    let mut entry = world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready");
    entry["seq"] = json!(2);
    entry["slots"] = json!(9);
    world.fleet.store.put("servers", "i-0", entry);
    world.fleet.store.put(
        "servers",
        "i-1",
        world.upstreams[0].entry(PLAIN, "zone-1", "v1", "ready"),
    );
    wait_until("the rows are read", async || world.fleet.knows("i-1").await).await;
    assert!(world.is_limited("0.3", 1).await);
});

case!(a_refusal_that_names_none_ends_no_limit, async {
    let world = World::start(1, 1).await;
    world.all_are_told(0, "100").await;
    world.entry_is_counted().await;
    world.upstreams[0].says_no_more(SERVER_LIMIT);
    world.upstreams[0].then(vec![Behaviour::NotExecuted; 3]);
    let refused = world.ask_until(0, Instant::now() + Duration::from_millis(1)).await;
    assert_eq!(statuses(&refused), [503]);
    assert_eq!(world.upstreams[0].arrivals().iter().filter(|arrival| !arrival.is_run).count(), 3);
    assert!(world.is_limited("100", 1).await);
    wait_until("an answer ends it", async || {
        world.ask_until(0, Instant::now() + WORK).await;
        world.is_limited("none", 1).await
    })
    .await;
});

// The process that answers at its address is another one, and speaks for itself.
case!(what_another_process_says_at_its_address_is_not_its_word, async {
    let world = World::start(1, 2).await;
    world.upstreams[1].says(SERVER_LIMIT, "0.3");
    let elsewhere = world.upstreams[1].entry(PLAIN, "zone-1", "v1", "ready");
    world.fleet.store.put("servers", "i-2", elsewhere);
    wait_until("it was asked and said that it is another", async || {
        world.ask_until(0, Instant::now() + WORK).await;
        let arrivals = world.upstreams[1].arrivals();
        arrivals.iter().any(|arrival| arrival.header("expect-instance") == "i-2")
    })
    .await;
    let dump = world.fleet.dumps().await.remove(0);
    let lines = dump["upstreams"].as_array().expect("a list").clone();
    let line = lines.iter().filter_map(Value::as_str).find(|line| line.starts_with("i-2 "));
    assert!(line.expect("it is known").contains("limit=none"), "{line:?}");
});

/// All upstreams say this in place of a limit, and the service goes on.
macro_rules! goes_on {
    ($name:ident, $said:expr) => {
        case!($name, async {
            let world = World::start(1, 1).await;
            world.upstreams[0].says(SERVER_LIMIT, $said);
            let got = world.ask_until(0, Instant::now() + Duration::from_millis(500)).await;
            assert_eq!(statuses(&got), [200]);
        });
    };
}

goes_on!(a_negative_limit, "-1");
goes_on!(a_limit_that_is_no_number, "nan");
goes_on!(an_infinite_limit, "inf");
goes_on!(a_huge_limit, "1e308");
goes_on!(an_empty_limit, "");
goes_on!(a_limit_in_words, "few");
