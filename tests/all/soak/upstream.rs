//! The upstreams of a run, each behind a fault proxy.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::Behaviour;
use stallhoist_standins::users_platform::StoreStandin;
use stallhoist_standins::users_platform::UpstreamStandin;

use super::period::Period;
use super::plan::UPSTREAMS;
use super::plan::UpstreamFault;
use super::reports::ReportHistory;
use super::reports::UPSTREAM;
use crate::gateway::world::ENGINE;
use crate::gateway::world::PLAIN;

/// The events of each stream, and the interval before each.
pub(super) const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// The duration of a call, long enough that many are in progress when a process stops.
const CALL_TIME: Duration = Duration::from_millis(250);

/// An upstream, its proxy, and its condition during the run.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) standin: UpstreamStandin,
    pub(super) proxy: FaultProxy,
    pub(super) service: &'static str,
    pub(super) zone: String,
    /// The past and planned periods in which it warms up.
    pub(super) cold: Vec<Period>,
    /// The start time of its current incarnation, by its own clock.
    started_at_ms: u64,
    pub(super) left: Option<Instant>,
    /// What it has reported about itself.
    pub(super) reports: ReportHistory,
}

/// The start time of each upstream's first incarnation, and the increment for each restart.
const FIRST_START_MS: u64 = 1_760_000_000_000;
const START_STEP_MS: u64 = 1_000;

impl Upstream {
    pub(super) async fn start(number: usize, service: &'static str) -> Self {
        let usual = default_behaviour(service);
        let standin = UpstreamStandin::start(&format!("i-{number}"), usual).await;
        let standin = standin.expect("an upstream starts");
        let proxy = FaultProxy::start(standin.addr()).await.expect("a proxy starts");
        standin.set_response_header(UPSTREAM, standin.instance());
        let zone = format!("zone-{}", number % 2);
        let cold = Vec::new();
        let reports = ReportHistory::default();
        Self {
            standin,
            proxy,
            service,
            zone,
            cold,
            started_at_ms: FIRST_START_MS,
            left: None,
            reports,
        }
    }

    /// Restarts it under its ID. Requests in progress are cut.
    pub(super) fn restart(&mut self, store: &StoreStandin) {
        self.started_at_ms += START_STEP_MS;
        self.proxy.cut();
        self.list(store, "ready");
    }

    /// Writes a late row of its previous incarnation.
    pub(super) fn list_earlier_incarnation(&self, store: &StoreStandin) {
        let mut entry = self.entry("ready");
        entry["born"] = json!(self.started_at_ms - START_STEP_MS);
        store.put("servers", self.standin.instance(), entry);
    }

    /// Replaces its row by one of another writer, which cannot be parsed.
    pub(super) fn replace_row(&self, store: &StoreStandin) {
        store.put_raw("servers", self.standin.instance(), "*** of another writer ***");
    }

    /// Writes its row to the store, with the address of its proxy.
    pub(super) fn list(&self, store: &StoreStandin, state: &str) {
        store.put("servers", self.standin.instance(), self.entry(state));
    }

    fn entry(&self, state: &str) -> Value {
        let mut entry = self.standin.entry(self.service, &self.zone, "v1", state);
        entry["address"] = json!(self.proxy.addr().to_string());
        entry["born"] = json!(self.started_at_ms);
        entry["cold_remaining_ms"] = json!(self.cold_remaining().as_millis() as u64);
        entry
    }

    fn cold_remaining(&self) -> Duration {
        let now = Instant::now();
        let remaining = self.cold.iter().map(|period| period.to.saturating_duration_since(now));
        remaining.max().unwrap_or_default()
    }
}

/// Starts the upstreams of both services and lists them.
pub(super) async fn start_all(store: &StoreStandin) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for number in 0..2 * UPSTREAMS {
        let service = if number < UPSTREAMS { PLAIN } else { ENGINE };
        let upstream = Upstream::start(number, service).await;
        upstream.list(store, "ready");
        upstreams.push(upstream);
    }
    upstreams
}

/// Lists every upstream that has not begun to leave.
pub(super) fn list_all(store: &StoreStandin, upstreams: &[Upstream]) {
    for upstream in upstreams.iter().filter(|upstream| upstream.left.is_none()) {
        upstream.list(store, "ready");
    }
}

fn default_behaviour(service: &str) -> Behaviour {
    if service == ENGINE { stream(Some(80), None) } else { Behaviour::Echo { after: CALL_TIME } }
}

/// The behaviour of an upstream under a fault.
pub(super) fn faulty_behaviour(fault: UpstreamFault) -> Behaviour {
    match fault {
        UpstreamFault::Fails => Behaviour::Fail,
        UpstreamFault::Rejects => Behaviour::NotExecuted,
        UpstreamFault::Misdirects => Behaviour::Misdirected,
        UpstreamFault::AnswersWrongRequest => Behaviour::WrongId,
        UpstreamFault::OmitsSeal => Behaviour::NoSeal,
        UpstreamFault::CutsBody => Behaviour::CutBody,
        UpstreamFault::CutsBeforeReply => Behaviour::CutBeforeReply,
        UpstreamFault::Hangs => Behaviour::Hang,
        UpstreamFault::CutsStream => stream(None, Some(3)),
    }
}

fn stream(confidence: Option<u8>, truncate_after: Option<u64>) -> Behaviour {
    Behaviour::Stream { events: EVENTS, pause: EVENT_INTERVAL, confidence, truncate_after }
}
