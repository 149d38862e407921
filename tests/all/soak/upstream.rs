//! The upstreams of a run, each behind a proxy that can fail.

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
use super::words::Said;
use super::words::UPSTREAM;
use crate::gateway::world::ENGINE;
use crate::gateway::world::PLAIN;

/// The events of each stream, and the time before each.
pub(super) const EVENTS: u64 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// How long a call takes: long enough for many to be in progress when a process stops.
const CALL_TIME: Duration = Duration::from_millis(250);

/// An upstream, the proxy before it, and when it began to leave.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) standin: UpstreamStandin,
    pub(super) proxy: FaultProxy,
    pub(super) service: &'static str,
    pub(super) zone: String,
    /// When it was, or will have been, cold.
    pub(super) cold: Vec<Period>,
    /// When its present start was, by its own clock.
    born_ms: u64,
    pub(super) left: Option<Instant>,
    /// What it has said of itself.
    pub(super) said: Said,
}

/// When the first start of each upstream was, and the time between two.
const FIRST_BORN_MS: u64 = 1_760_000_000_000;
const BORN_STEP_MS: u64 = 1_000;

impl Upstream {
    pub(super) async fn start(number: usize, service: &'static str) -> Self {
        let usual = usual_behaviour(service);
        let standin = UpstreamStandin::start(&format!("i-{number}"), usual).await;
        let standin = standin.expect("an upstream starts");
        let proxy = FaultProxy::start(standin.addr()).await.expect("a proxy starts");
        standin.set_response_header(UPSTREAM, standin.instance());
        let zone = format!("zone-{}", number % 2);
        let cold = Vec::new();
        let said = Said::default();
        Self { standin, proxy, service, zone, cold, born_ms: FIRST_BORN_MS, left: None, said }
    }

    /// It starts again under its id: what is in progress there is cut.
    pub(super) fn start_again(&mut self, store: &StoreStandin) {
        self.born_ms += BORN_STEP_MS;
        self.proxy.cut();
        self.list(store, "ready");
    }

    /// A report of its earlier start comes late.
    pub(super) fn list_earlier_start(&self, store: &StoreStandin) {
        let mut entry = self.entry("ready");
        entry["born"] = json!(self.born_ms - BORN_STEP_MS);
        store.put("servers", self.standin.instance(), entry);
    }

    /// Another writer's entry stands in place of its own.
    pub(super) fn overwrite(&self, store: &StoreStandin) {
        store.put_raw("servers", self.standin.instance(), "*** of another writer ***");
    }

    /// Writes its entry to the store, with the address of its proxy.
    pub(super) fn list(&self, store: &StoreStandin, state: &str) {
        store.put("servers", self.standin.instance(), self.entry(state));
    }

    fn entry(&self, state: &str) -> Value {
        let mut entry = self.standin.entry(self.service, &self.zone, "v1", state);
        entry["address"] = json!(self.proxy.addr().to_string());
        entry["born"] = json!(self.born_ms);
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

fn usual_behaviour(service: &str) -> Behaviour {
    if service == ENGINE { stream(Some(80), None) } else { Behaviour::Echo { after: CALL_TIME } }
}

/// What an upstream with a fault does with a request.
pub(super) fn faulty_behaviour(fault: UpstreamFault) -> Behaviour {
    match fault {
        UpstreamFault::Fails => Behaviour::Fail,
        UpstreamFault::TurnsAway => Behaviour::NotExecuted,
        UpstreamFault::IsAnother => Behaviour::Misdirected,
        UpstreamFault::AnswersAnother => Behaviour::WrongId,
        UpstreamFault::LacksSeal => Behaviour::NoSeal,
        UpstreamFault::CutsBody => Behaviour::CutBody,
        UpstreamFault::CutsBeforeReply => Behaviour::CutBeforeReply,
        UpstreamFault::Hangs => Behaviour::Hang,
        UpstreamFault::CutsStream => stream(None, Some(3)),
    }
}

fn stream(confidence: Option<u8>, truncate_after: Option<u64>) -> Behaviour {
    Behaviour::Stream { events: EVENTS, pause: EVENT_PAUSE, confidence, truncate_after }
}
