//! The gateway's daemon as a real process.

use reqwest::Method;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::world::KEY;
use super::world::PLAIN;
use super::world::config;
use super::world::readiness;
use super::world::send;
use crate::case::case;
use crate::harness::Process;
use crate::harness::gateway_settings;
use crate::harness::wait_until;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stallhoist-gateway");

struct Running {
    process: Process,
    http: reqwest::Client,
    _store: StoreStandin,
    _upstream: UpstreamStandin,
}

impl Running {
    async fn start() -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op", "config", config(1));
        let upstream = UpstreamStandin::start("i-0", Behaviour::answer("done")).await;
        let upstream = upstream.expect("the upstream starts");
        store.put("servers", "i-0", upstream.entry(PLAIN, "zone-1", "v1", "ready"));
        let process = Process::start(PROGRAM, &gateway_settings(store.addr()).to_string());
        let http = reqwest::Client::builder().no_proxy().build().expect("a client");
        let running = Self { process, http, _store: store, _upstream: upstream };
        let ready_addr = running.process.addr("readiness_addr").to_string();
        wait_until("the daemon is ready", async || {
            readiness(&running.http, &ready_addr).await == 200
        })
        .await;
        running
    }

    async fn send_request(&self) -> Option<u16> {
        let url = format!("http://{}/safe/x", self.process.addr("callers_addr"));
        let request = self.http.request(Method::GET, url).header("Host", "test.example");
        let answer = send(request.header("Request-Id", "id-7").bearer_auth(KEY)).await?;
        Some(answer.status)
    }
}

case!(it_serves_and_stops_on_request, async {
    let mut running = Running::start().await;
    assert_eq!(running.send_request().await, Some(200));
    running.process.terminate();
    let mut exited = || running.process.has_exited_cleanly();
    wait_until("the process has exited successfully", || {
        std::future::ready(exited() == Some(true))
    })
    .await;
});

case!(a_hang_up_signal_keeps_it_running, async {
    let running = Running::start().await;
    running.process.hang_up();
    wait_until("the settings are read", async || {
        let log = running.process.log();
        log.iter().any(|line| line.contains("settings read anew"))
    })
    .await;
    assert_eq!(running.send_request().await, Some(200));
});

case!(the_log_holds_the_cause_of_a_rejection, async {
    let running = Running::start().await;
    let url = format!("http://{}/nowhere/x", running.process.addr("callers_addr"));
    let request = running.http.get(url).header("Request-Id", "id-8");
    assert_eq!(send(request).await.expect("an answer").status, 404);
    wait_until("the log holds it", async || {
        let log = running.process.log();
        let is_rejection = |line: &String| line.contains("id-8") && line.contains("no route fits");
        log.iter().any(is_rejection)
    })
    .await;
});

// An engineer on call has only the log: it holds the outcome of each request with its id, and no
// key.
case!(the_log_holds_the_outcome_of_a_request_and_no_key, async {
    let running = Running::start().await;
    assert_eq!(running.send_request().await, Some(200));
    wait_until("the log holds it", async || {
        let log = running.process.log();
        let is_end = |line: &String| line.contains("id-7") && line.contains("request ended");
        log.iter().any(is_end)
    })
    .await;
    assert!(!running.process.log().iter().any(|line| line.contains(KEY)));
});
