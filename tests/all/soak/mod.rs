//! A randomized soak of the gateways: real processes, real signals, and connections that
//! proxies delay, reset, silence and refuse, while callers go on sending requests.
//!
//! A run is known by its seed, which gives the faults and their times; what happens then
//! also depends on the machine. The invariants are checked from what callers and upstreams
//! have recorded, and at the end from the gateways' state dumps.
//!
//! By hand: `STALLHOIST_SOAK_SEEDS=1..51 STALLHOIST_SOAK_SECONDS=20 cargo test --release
//! --test all soak -- --nocapture`, and `STALLHOIST_SOAK_GATEWAYS=40` for other than four. Without the
//! variables, in every test run, two seeds are played for a short time. A seed that ever failed is to be added to those, with a line on the cause.

mod caller;
mod faults;
mod fleet;
mod fragile;
mod gateway_status;
mod invariants;
mod operator_config;
mod period;
mod plan;
mod supervisor;
mod upstream;
mod violations;
mod words;
mod zones;

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep_until;

use self::caller::Kind;
use self::caller::RequestRecord;
use self::fleet::Fleet;
use self::gateway_status::GatewayStatus;
use self::plan::Plan;
use self::violations::Violations;
use crate::case::case;
use crate::gateway::world::Answer;
use crate::gateway::world::KEY;
use crate::harness::wait_until;

const CALLERS: u64 = 32;
const USUAL_GATEWAYS: usize = 4;
/// The seeds of every test run. With a mechanism switched off, these noticed it: retries of what
/// may run once, untrue refusals and a stop that waits for nothing (1), success without a seal
/// and answers to other requests (5).
const USUAL_SEEDS: [u64; 2] = [1, 5];
/// How long faults go on in a run of every test run.
const SHORT: Duration = Duration::from_secs(6);

/// Soaks run one after another: each takes a dozen processes and a good part of a machine.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Plays one seed: faults begin during `lasts`. Gives the violations.
async fn play(seed: u64, lasts: Duration) -> Vec<String> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let violations = Violations::default();
    let gateways = given("GATEWAYS").unwrap_or(USUAL_GATEWAYS);
    let mut fleet = Fleet::start(gateways, &violations).await;
    wait_until("all gateways are ready", async || are_up_to_date(&fleet).await).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(seed, &fleet, &stop);
    play_faults(Plan::new(seed, lasts, gateways), &mut fleet).await;
    fleet.settle().await;
    let up_to_date = async || are_up_to_date(&fleet).await;
    wait_until("all gateways know the newest state", up_to_date).await;
    stop.store(true, Ordering::SeqCst);
    let mut requests = Vec::new();
    for caller in callers {
        requests.extend(caller.await.expect("a caller does not panic"));
    }
    requests.extend(fleet.end_series().await);
    requests.extend(check_recovery(&fleet, seed, &violations).await);
    invariants::check(&fleet, &requests, &violations);
    fragile::check(&fleet, &requests, &violations);
    zones::check(&fleet, &requests, &violations);
    words::check(&fleet, &requests, &violations);
    check_service(&requests, &violations);
    println!("{}", summary(seed, &fleet, &requests, &violations));
    violations.all()
}

fn start_callers(
    seed: u64,
    fleet: &Fleet,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<RequestRecord>>> {
    let start = |n| {
        let name = format!("s{seed}-{n}");
        let seed = seed.wrapping_mul(CALLERS).wrapping_add(n);
        tokio::spawn(caller::run(name, seed, fleet.gateways.clone(), Arc::clone(stop)))
    };
    (0..CALLERS).map(start).collect()
}

async fn play_faults(plan: Plan, fleet: &mut Fleet) {
    let began = Instant::now();
    for (at, fault) in plan.faults {
        sleep_until(began + at).await;
        fleet.begin(fault).await;
    }
}

/// Whether each gateway is ready, has the newest configuration and lists all upstreams.
async fn are_up_to_date(fleet: &Fleet) -> bool {
    let usual = fleet.upstreams.lock().iter().filter(|u| u.left.is_none()).count();
    let listed = usual + fleet.fragile.len();
    for gateway in &fleet.gateways {
        let Some(dump) = state_dump(gateway).await else {
            return false;
        };
        let lines = dump["upstreams"].as_array().cloned().unwrap_or_default();
        let known = lines.iter().filter(|line| line.as_str().unwrap_or("").contains(" Listed "));
        let is_newest = dump["config_version"] == fleet.config.version;
        if dump["is_ready"] != true || !is_newest || known.count() != listed {
            return false;
        }
    }
    true
}

async fn state_dump(gateway: &GatewayStatus) -> Option<Value> {
    let addr = gateway.addrs.lock().operators;
    caller::client().get(format!("http://{addr}/state")).send().await.ok()?.json().await.ok()
}

/// Sends each gateway each kind of request once all faults have ended, and checks that it
/// serves them and refuses the keys that were withdrawn. Gives the requests, for the other checks.
async fn check_recovery(fleet: &Fleet, seed: u64, violations: &Violations) -> Vec<RequestRecord> {
    let http = caller::client();
    let mut requests = Vec::new();
    for gateway in &fleet.gateways {
        for kind in Kind::ALL {
            let id = format!("s{seed}-end-{}", requests.len());
            let request = caller::ask(&http, gateway, kind, KEY, id).await;
            if served(std::slice::from_ref(&request)) == 0 {
                violations.add(format!("not served though all is well: {request:?}"));
            }
            requests.push(request);
        }
        for key in &fleet.config.withdrawn_keys {
            let request = caller::ask(&http, gateway, Kind::Safe, key, "withdrawn".into()).await;
            let status = request.answer.map(|answer| answer.status);
            if status != Some(401) {
                violations.add(format!("{key} was withdrawn, and its caller got {status:?}"));
            }
        }
    }
    requests
}

/// A run in which hardly anything is answered proves nothing.
fn check_service(requests: &[RequestRecord], violations: &Violations) {
    let served = served(requests);
    let others = requests.iter().filter(|request| request.kind != Kind::Fatal).count();
    if served * 4 < others {
        violations.add(format!("only {served} of {others} were served"));
    }
}

fn served(requests: &[RequestRecord]) -> usize {
    let is_served = |answer: &Answer| answer.status == 200 && answer.is_whole;
    requests.iter().filter(|request| request.answer.as_ref().is_some_and(is_served)).count()
}

fn summary(
    seed: u64,
    fleet: &Fleet,
    requests: &[RequestRecord],
    violations: &Violations,
) -> String {
    let broken = violations.all().len();
    let processes = requests.iter().map(|request| request.generation).max().unwrap_or(0);
    format!(
        "seed {seed}: {} of {} served, up to {processes} processes of a gateway, {broken} broken; \
         {} fatal requests, {} ends, {} others held back",
        served(requests),
        requests.len(),
        fleet.series,
        fleet.fragile.iter().map(|upstream| upstream.ends().len()).sum::<usize>(),
        invariants::held_back(requests).count(),
    )
}

async fn play_all(seeds: impl IntoIterator<Item = u64>, lasts: Duration) {
    let mut failed = Vec::new();
    for seed in seeds {
        let broken = play(seed, lasts).await;
        if !broken.is_empty() {
            failed.push((seed, broken));
        }
    }
    assert!(failed.is_empty(), "invariants were violated: {failed:#?}");
}

/// The seeds that an operator gives, as `FROM..TO`.
fn given_seeds() -> Option<Vec<u64>> {
    let text = std::env::var("STALLHOIST_SOAK_SEEDS").ok()?;
    let (from, to) = text.split_once("..").expect("seeds are given as FROM..TO");
    let number = |text: &str| text.parse().expect("a seed is a number");
    Some((number(from)..number(to)).collect())
}

/// A number that an operator gives.
fn given<T: FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(format!("STALLHOIST_SOAK_{name}")).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{name}: {text} is no number")))
}

case!(invariants_hold_through_the_faults_of_each_seed, async {
    let seeds = given_seeds().unwrap_or(USUAL_SEEDS.to_vec());
    let lasts = given("SECONDS").map_or(SHORT, Duration::from_secs);
    play_all(seeds, lasts).await;
});
