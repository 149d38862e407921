//! Prompt parts that crash each upstream which begins to answer a request with them.
//!
//! No two requests with such a part are alike, so what is known of whole requests says nothing of the next one. Sound
//! requests share their caller, their route and their first part with them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stallhoist_gateway::Gateway;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::CrashRule;
use stallhoist_standins::users_platform::UpstreamStandin;
use tokio::task::JoinSet;

use super::fleet::Fleet;
use super::world::ENGINE;
use super::world::KEY;
use super::world::send;
use super::world::start_gateway;
use crate::case::case;
use crate::harness::wait_until;

const UPSTREAMS: usize = 12;

const FATAL_PART: &str = "dead01";
const FIRST_PART: &str = "a1";

/// A route whose streams may be repeated.
const PATH: &str = "/stream/x";

/// The store's table of what is quarantined.
const TABLE: &str = "stallhoist-fatal-requests";

/// Time from the head of a fatal request's response to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// The platform's rule counts requests with the part that reach upstreams later than the contact time after so many
/// crashes. The contact time is the shortest of all deployments.
const CRASHES_UNTIL_KNOWN: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_SENDS_WHEN_KNOWN: usize = 3;

/// Interval between two requests with the part, and sound requests beside each of them.
const FATAL_INTERVAL: Duration = Duration::from_millis(100);
const SOUND_BESIDE: usize = 2;

/// How long callers go on after twice the contact time, and at most in all.
const OBSERVED_FOR: Duration = Duration::from_secs(2);
const MAX_DURATION: Duration = Duration::from_secs(20);

/// A sound request, and whether its caller got a whole response.
struct Sound {
    sent_at: Instant,
    is_served: bool,
}

/// Gateways, and upstreams that a prompt part crashes.
struct World {
    fleet: Fleet,
    upstreams: Vec<UpstreamStandin>,
}

impl World {
    /// The upstreams crash `after` the head of the response; if that is zero, before it.
    async fn start(gateways: usize, after: Duration) -> Arc<Self> {
        let fleet = Fleet::of(gateways).await;
        let pause = Duration::from_millis(20);
        let behaviour =
            Behaviour::Stream { events: 10, pause, confidence: None, truncate_after: None };
        let mut upstreams = Vec::new();
        for n in 0..UPSTREAMS {
            let upstream = UpstreamStandin::start(&format!("i-{n}"), behaviour.clone()).await;
            let upstream = upstream.expect("the upstream starts");
            let rule = CrashRule::of_part(FATAL_PART, after);
            upstream.crash_on(rule, fleet.store.writer(), ENGINE);
            upstreams.push(upstream);
        }
        wait_until("all upstreams and gateways are known", async || {
            let dumps = fleet.dumps().await;
            fleet.knows_upstream("i-11").await
                && dumps.iter().all(|dump| dump["entries"] == gateways)
        })
        .await;
        Arc::new(Self { fleet, upstreams })
    }

    /// Sends a request with these shared parts to a gateway. Its body and the last part of its prompt are its own.
    async fn ask(&self, gateway: usize, path: &str, shared: &[&str]) -> Sound {
        let gateway = &self.fleet.entries[gateway % self.fleet.entries.len()];
        self.ask_at(gateway, path, shared).await
    }

    async fn ask_at(&self, gateway: &Gateway, path: &str, shared: &[&str]) -> Sound {
        let own = format!("{:x}", rand::random::<u64>());
        let parts = shared.iter().copied().chain([own.as_str()]);
        let parts: Vec<_> = parts.map(|id| format!("{id}:40")).collect();
        let url = format!("http://{}{path}", gateway.callers_addr());
        let request = self.fleet.http.post(url).header("Host", "test.example").bearer_auth(KEY);
        let request = request.header("Request-Id", &own).header("Deadline-Ms", 4_000);
        let request = request.header("Model", "*").header("Token-Usage", "120,20");
        let request = request.header("Prompt-Prefix", parts.join(",")).body(own);
        let sent_at = Instant::now();
        let answer = send(request).await;
        let is_served = answer.is_some_and(|answer| answer.status == 200 && answer.is_whole);
        Sound { sent_at, is_served }
    }

    /// Sends requests with these shared parts to the gateways in turn, until they are rejected.
    async fn crash_until_quarantined(&self, shared: &[&str]) {
        for _ in 0..UPSTREAMS {
            let crashes = self.crashes();
            for gateway in 0..self.fleet.entries.len() {
                self.ask(gateway, PATH, shared).await;
            }
            if crashes > 0 && self.crashes() == crashes {
                return;
            }
        }
        panic!("each round of requests crashes an upstream");
    }

    fn crashes(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.ends().len()).sum()
    }

    /// The number of parts that are quarantined in the store. Requests are, too.
    fn quarantined_parts(&self) -> usize {
        let rows = self.fleet.store.keys(TABLE);
        rows.iter().filter(|key| key.starts_with("part-")).count()
    }

    /// When the part had crashed so many upstreams that it is known; the last crash, if there are fewer.
    fn known_at(&self) -> Option<Instant> {
        let ends = self.upstreams.iter().flat_map(UpstreamStandin::ends);
        let mut ends: Vec<_> = ends.map(|end| end.at).collect();
        ends.sort_unstable();
        ends.get(CRASHES_UNTIL_KNOWN - 1).or(ends.last()).copied()
    }

    /// How often requests with the part reached upstreams after a moment.
    fn sends_after(&self, moment: Instant) -> usize {
        let arrivals = self.upstreams.iter().flat_map(UpstreamStandin::arrivals);
        arrivals.filter(|arrival| arrival.has_part(FATAL_PART) && arrival.at > moment).count()
    }

    /// Callers send fatal requests, and sound ones beside each, to the gateways in turn. Returns the sound ones.
    async fn play(self: &Arc<Self>, path: &'static str) -> Vec<Sound> {
        let began = Instant::now();
        let is_over = || {
            let since_known = self.known_at().map_or(Duration::ZERO, |at| at.elapsed());
            since_known > 2 * CONTACT_TIME + OBSERVED_FOR || began.elapsed() > MAX_DURATION
        };
        let mut ticks = tokio::time::interval(FATAL_INTERVAL);
        let (mut fatal, mut sound) = (JoinSet::new(), JoinSet::new());
        let mut gateways = (0..self.fleet.entries.len()).cycle();
        let mut next_gateway = || gateways.next().unwrap_or_default();
        while !is_over() {
            ticks.tick().await;
            let (world, gateway) = (Arc::clone(self), next_gateway());
            fatal.spawn(async move { world.ask(gateway, path, &[FIRST_PART, FATAL_PART]).await });
            for n in 0..SOUND_BESIDE {
                let (world, gateway) = (Arc::clone(self), next_gateway());
                let other = format!("beef0{n}");
                sound.spawn(async move { world.ask(gateway, path, &[FIRST_PART, &other]).await });
            }
        }
        fatal.join_all().await;
        sound.join_all().await
    }
}

/// The part is not sent when it is known, and sound requests that share all else with it are.
async fn is_quarantined(path: &'static str, gateways: usize, crash_delay: Duration) {
    let world = World::start(gateways, crash_delay).await;
    let sound = world.play(path).await;
    let known = world.known_at().expect("it has crashed five upstreams");
    let sends = world.sends_after(known + CONTACT_TIME);
    assert!(sends <= MAX_SENDS_WHEN_KNOWN, "sent {sends} times after it was known");
    let late = sound.iter().filter(|sound| sound.sent_at > known + 2 * CONTACT_TIME);
    let (served, unserved): (Vec<_>, Vec<_>) = late.partition(|sound| sound.is_served);
    let (served, unserved) = (served.len(), unserved.len());
    assert!(served > unserved, "{served} sound requests were served, {unserved} were not");
}

case!(a_part_that_crashes_upstreams_is_quarantined_by_all_gateways, {
    is_quarantined(PATH, 7, CRASH_DELAY)
});

case!(a_part_of_streams_that_may_run_once_is_quarantined_by_all_gateways, {
    is_quarantined("/once-stream/x", 7, CRASH_DELAY)
});

case!(a_part_that_crashes_upstreams_before_they_respond_is_quarantined, {
    is_quarantined(PATH, 7, Duration::ZERO)
});
case!(a_part_that_crashes_upstreams_is_quarantined_by_one_gateway, {
    is_quarantined(PATH, 1, CRASH_DELAY)
});

// All gateways lose power; the store has the record.
case!(starting_gateways_know_which_parts_are_quarantined, async {
    let world = World::start(3, CRASH_DELAY).await;
    let sound = [FIRST_PART, "beef00"];
    for gateway in 0..world.fleet.entries.len() {
        assert!(world.ask(gateway, PATH, &sound).await.is_served);
    }
    world.crash_until_quarantined(&[FIRST_PART, FATAL_PART]).await;
    wait_until("the store has it", async || world.quarantined_parts() == 1).await;
    assert!(world.ask(0, PATH, &sound).await.is_served);
    let crashes = world.crashes();
    let started = start_gateway(&world.fleet.store).await;
    let ask = async |shared| world.ask_at(&started, PATH, shared).await.is_served;
    wait_until("sound requests are served", async || ask(&sound).await).await;
    assert!(!ask(&[FIRST_PART, FATAL_PART]).await);
    assert_eq!(world.crashes(), crashes);
});

// A sound part was in the same requests each time. Nothing else can tell them apart.
case!(a_sound_part_that_always_came_with_a_fatal_one_is_served_after_its_trial, async {
    let world = World::start(3, CRASH_DELAY).await;
    world.crash_until_quarantined(&["beef00", FATAL_PART]).await;
    wait_until("the store has both", async || world.quarantined_parts() == 2).await;
    let ask = async || world.ask(0, PATH, &["beef00"]).await.is_served;
    assert!(!ask().await);
    wait_until("it is served again", ask).await;
    wait_until("the store has one", async || world.quarantined_parts() == 1).await;
});
