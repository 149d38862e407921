//! Randomized soak test of the gateways: real processes, real signals, and proxies that delay,
//! reset, silence and refuse connections while callers keep sending requests.
//!
//! The seed of a run determines the faults and their times. The interleaving also depends on the
//! machine, so a seed doesn't reproduce a run exactly. The invariants are checked against what
//! callers and upstreams recorded, and at the end against the gateways' state dumps.
//!
//! Begin with `plan`, which draws the faults, and `faults`, which injects them into the `fleet`.
//! `invariants`, `fragile`, `zones`, `reports` and `retries` check the recorded requests, `duties` the usage reports.
//!
//! By hand: `STALLHOIST_SOAK_SEEDS=1..51 STALLHOIST_SOAK_SECONDS=20 cargo test --release
//! --test all soak -- --nocapture`, and `STALLHOIST_SOAK_GATEWAYS=40` for other than four. Without the
//! variables, as in every test run, two seeds run for a short time. Add each seed that fails to
//! them, with a line on the cause.

mod caller;
mod duties;
mod faults;
mod fleet;
mod fragile;
mod gateway_status;
mod invariants;
mod operator_config;
mod period;
mod plan;
mod reports;
mod retries;
mod supervisor;
mod upstream;
mod violations;
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

use self::caller::RequestKind;
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
const DEFAULT_GATEWAYS: usize = 4;
/// The seeds of every test run, which detect these faults when injected into the gateway. Seed 1:
/// retries of requests that may run only once, rejections of requests that ran, and a stop that
/// doesn't wait for requests in progress. Seed 5: success without a seal, and responses to other
/// requests.
const DEFAULT_SEEDS: [u64; 2] = [1, 5];
/// The time during which faults begin in the default run.
const DEFAULT_FAULT_PHASE: Duration = Duration::from_secs(6);

/// Serializes the soak runs: each starts a dozen processes and loads much of a machine.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Runs one seed, whose faults begin during `duration`. Returns the violations.
async fn run_seed(seed: u64, duration: Duration) -> Vec<String> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let violations = Violations::default();
    let gateways = from_env("GATEWAYS").unwrap_or(DEFAULT_GATEWAYS);
    let mut fleet = Fleet::start(gateways, retries::settings(seed), &violations).await;
    wait_until("all gateways are ready", async || are_synced(&fleet).await).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(seed, &fleet, &stop);
    inject_faults(Plan::new(seed, duration, gateways), &mut fleet).await;
    fleet.settle().await;
    let up_to_date = async || are_synced(&fleet).await;
    wait_until("all gateways have the newest state", up_to_date).await;
    fleet.wait_for_report().await;
    stop.store(true, Ordering::SeqCst);
    let mut requests = Vec::new();
    for caller in callers {
        requests.extend(caller.await.expect("a caller does not panic"));
    }
    requests.extend(fleet.finish_series().await);
    requests.extend(check_recovery(&fleet, seed, &violations).await);
    invariants::check(&fleet, &requests, &violations);
    fragile::check(&fleet, &requests, &violations);
    zones::check(&fleet, &requests, &violations);
    reports::check(&fleet, &requests, &violations);
    retries::check(&fleet, &requests, &violations);
    duties::check(&fleet, &violations);
    check_service(&requests, &violations);
    println!("{}", summary(seed, &fleet, &requests, &violations));
    let violations = violations.all();
    violations.iter().for_each(|violation| println!("seed {seed}: {violation}"));
    violations
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

async fn inject_faults(plan: Plan, fleet: &mut Fleet) {
    let began = Instant::now();
    for (at, fault) in plan.faults {
        sleep_until(began + at).await;
        fleet.inject(fault).await;
    }
}

/// Whether each gateway is ready, has the newest configuration and lists all upstreams that have
/// not left.
async fn are_synced(fleet: &Fleet) -> bool {
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

/// Sends each kind of request to each gateway after all faults have ended. Checks that it serves
/// them and rejects the withdrawn keys. Returns the requests for the other checks.
async fn check_recovery(fleet: &Fleet, seed: u64, violations: &Violations) -> Vec<RequestRecord> {
    let http = caller::client();
    let mut requests = Vec::new();
    for gateway in &fleet.gateways {
        for kind in RequestKind::ALL {
            let id = format!("s{seed}-end-{}", requests.len());
            let request = caller::send_request(&http, gateway, kind, KEY, id).await;
            if served(std::slice::from_ref(&request)) == 0 {
                violations.add(format!("not served although all faults have ended: {request:?}"));
            }
            requests.push(request);
        }
        for key in &fleet.config.withdrawn_keys {
            let request =
                caller::send_request(&http, gateway, RequestKind::Safe, key, "withdrawn".into())
                    .await;
            let status = request.answer.map(|answer| answer.status);
            if status != Some(401) {
                violations
                    .add(format!("{key} was withdrawn, but a request with it got {status:?}"));
            }
        }
    }
    requests
}

/// Checks that at least a quarter of the requests were served, as the other checks prove little
/// without responses.
fn check_service(requests: &[RequestRecord], violations: &Violations) {
    let served = served(requests);
    let others = requests.iter().filter(|request| request.kind != RequestKind::Fatal).count();
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
    let violated = violations.all().len();
    let processes = requests.iter().map(|request| request.generation).max().unwrap_or(0);
    format!(
        "seed {seed}: {} of {} served, up to {processes} processes of a gateway, {violated} violations; \
         {} fatal requests, {} crashes, {} others quarantined",
        served(requests),
        requests.len(),
        fleet.series,
        fleet.fragile.iter().map(|upstream| upstream.ends().len()).sum::<usize>(),
        invariants::held_back(requests).count(),
    )
}

async fn run_seeds(seeds: impl IntoIterator<Item = u64>, duration: Duration) {
    let mut failed = Vec::new();
    for seed in seeds {
        let violated = run_seed(seed, duration).await;
        if !violated.is_empty() {
            failed.push((seed, violated));
        }
    }
    assert!(failed.is_empty(), "invariants were violated: {failed:#?}");
}

/// The seeds in `STALLHOIST_SOAK_SEEDS`, as `FROM..TO`, where `TO` is excluded.
fn seeds_from_env() -> Option<Vec<u64>> {
    let text = std::env::var("STALLHOIST_SOAK_SEEDS").ok()?;
    let (from, to) = text.split_once("..").expect("STALLHOIST_SOAK_SEEDS has the form FROM..TO");
    let number = |text: &str| text.parse().expect("a seed is an unsigned integer");
    Some((number(from)..number(to)).collect())
}

/// The number in the environment variable `STALLHOIST_SOAK_<name>`.
fn from_env<T: FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(format!("STALLHOIST_SOAK_{name}")).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("STALLHOIST_SOAK_{name}: {text} is not a number")))
}

case!(invariants_hold_through_the_faults_of_each_seed, async {
    let seeds = seeds_from_env().unwrap_or(DEFAULT_SEEDS.to_vec());
    let duration = from_env("SECONDS").map_or(DEFAULT_FAULT_PHASE, Duration::from_secs);
    run_seeds(seeds, duration).await;
});
