//! Latency that the proxy path adds, throughput of one entry, and memory over a long run:
//! `cargo bench --bench overhead`.
//!
//! Runs real processes in a release build. The engine responds as fast as it can. Direct and routed
//! requests alternate in one run, so that noise of the machine affects both.

#[allow(dead_code, unused_imports)]
#[path = "../tests/all/harness/mod.rs"]
mod harness;
#[path = "support/quiet.rs"]
mod quiet;

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use harness::Fleet;
use harness::Plan;
use quiet::quiet;
use reqwest::RequestBuilder;
use serde_json::json;
use stallhoist_measure::ProcessUsage;
use stallhoist_measure::Report;
use stallhoist_measure::percentile;

const ROUNDS: usize = 3_000;
const LONG_RUN: usize = 100_000;
const LONG_RUN_CALLERS: usize = 64;

/// Three engines; polls and flushes are as frequent as with default settings.
fn plan() -> Plan {
    let quiet = quiet();
    let default_intervals = vec![
        ("bill", "flush_ms", 1_000.into()),
        ("platform", "table_poll_ms", 2_000.into()),
        ("platform", "host_list_poll_ms", 2_000.into()),
    ];
    Plan {
        engines: vec!["m@v1", "m@v1", "m@v1"],
        entry_settings: [quiet.entry_settings.clone(), default_intervals].concat(),
        ..quiet
    }
}

fn direct(http: &reqwest::Client, url: &str) -> RequestBuilder {
    http.post(format!("{url}/v1/chat/completions")).json(&json!({
        "model": "m@v1",
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": 4,
    }))
}

async fn measure_ms(request: RequestBuilder) -> f64 {
    let began = Instant::now();
    let response = request.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 200);
    response.bytes().await.expect("a complete body");
    began.elapsed().as_secs_f64() * 1_000.0
}

/// Latencies of direct and of routed requests in milliseconds, with `callers` concurrent callers.
async fn compare(fleet: &Fleet, callers: usize) -> (Vec<f64>, Vec<f64>) {
    let http = reqwest::Client::builder().no_proxy().build().expect("a client can be made");
    let url = fleet.engines[0].url();
    let caller = fleet.caller(0);
    let run_caller = || async {
        let (mut direct_ms, mut routed_ms) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS / callers + 20 {
            let plain = measure_ms(direct(&http, &url)).await;
            let routed = measure_ms(caller.chat("m", "hello", 4, false)).await;
            // The first rounds open connections and are not counted.
            if round >= 20 {
                direct_ms.push(plain);
                routed_ms.push(routed);
            }
        }
        (direct_ms, routed_ms)
    };
    let all = join_all((0..callers).map(|_| run_caller())).await;
    let (direct_ms, routed_ms): (Vec<_>, Vec<_>) = all.into_iter().unzip();
    (direct_ms.concat(), routed_ms.concat())
}

async fn measure_latency(fleet: &Fleet) {
    let headings = ["callers", "figure", "direct ms", "routed ms", "added ms"];
    let mut report = Report::new("added-latency", &headings);
    for callers in [1, 64] {
        let (mut direct_ms, mut routed_ms) = compare(fleet, callers).await;
        for (figure, quantile) in [("p50", 0.50), ("p99", 0.99)] {
            let plain = percentile(&mut direct_ms, quantile);
            let routed = percentile(&mut routed_ms, quantile);
            report.row([
                callers.to_string(),
                figure.to_owned(),
                format!("{plain:.3}"),
                format!("{routed:.3}"),
                format!("{:.3}", routed - plain),
            ]);
        }
    }
    report.finish();
}

async fn measure_long_run(fleet: &Fleet) {
    let headings = ["after requests", "entry MiB", "sidecar MiB"];
    let mut memory = Report::new("memory", &headings);
    let entry = fleet.entries[0].id();
    let sidecar = fleet.hosts[0].sidecar.id();
    let mut record_memory = |after: usize| {
        memory.row([
            after.to_string(),
            format!("{:.1}", ProcessUsage::of(entry).resident_mib),
            format!("{:.1}", ProcessUsage::of(sidecar).resident_mib),
        ]);
    };
    record_memory(0);
    let before = (ProcessUsage::of(entry), ProcessUsage::of(sidecar));
    let began = Instant::now();
    let caller = fleet.caller(0);
    let segments = 4;
    for part in 1..=segments {
        let run_caller = || async {
            for _ in 0..LONG_RUN / segments / LONG_RUN_CALLERS {
                measure_ms(caller.chat("m", "hello", 4, false)).await;
            }
        };
        join_all((0..LONG_RUN_CALLERS).map(|_| run_caller())).await;
        fleet.engines.iter().for_each(|engine| engine.clear_executions());
        record_memory(LONG_RUN / segments * part);
    }
    let took = began.elapsed();
    // Lets the ledger's writes and the periodic sweeps finish.
    tokio::time::sleep(Duration::from_secs(8)).await;
    record_memory(LONG_RUN);
    memory.finish();
    let after = (ProcessUsage::of(entry), ProcessUsage::of(sidecar));
    let per_request = |before: ProcessUsage, after: ProcessUsage, requests: usize| {
        (after.processor - before.processor).as_secs_f64() * 1e6 / requests as f64
    };
    let mut report = Report::new("throughput", &["figure", "value"]);
    let rate = LONG_RUN as f64 / took.as_secs_f64();
    report.row(["requests a second through one entry".to_owned(), format!("{rate:.0}")]);
    report.row([
        "entry processor time a request, us".to_owned(),
        format!("{:.0}", per_request(before.0, after.0, LONG_RUN)),
    ]);
    report.row([
        "sidecar processor time a request, us".to_owned(),
        format!("{:.0}", per_request(before.1, after.1, LONG_RUN / fleet.hosts.len())),
    ]);
    report.finish();
}

#[tokio::main]
async fn main() {
    let fleet = Fleet::start(plan()).await;
    measure_latency(&fleet).await;
    measure_long_run(&fleet).await;
}
