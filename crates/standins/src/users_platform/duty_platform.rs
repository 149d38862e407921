//! HTTP interface of the platform's receiver of duties.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;

use super::server::Body;
use super::server::Server;

/// A usage report that the receiver has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedReport {
    /// When it arrived.
    pub arrived: Instant,
    /// The host that holds the duty, as it says.
    pub holder: String,
    /// Its fencing token.
    pub epoch: u64,
    /// The window.
    pub window: u64,
    /// The requests of each workspace.
    pub counts: BTreeMap<String, u64>,
}

/// Fault that affects calls to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyFault {
    /// Every call gets this status and is not accepted.
    Status(u16),
    /// Calls are accepted, but their answers are lost.
    LoseAnswers,
    /// Calls get no response and are not accepted.
    Silent,
}

#[derive(Debug, Deserialize)]
struct UsageBody {
    window: u64,
    counts: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct Shared {
    accepted: Mutex<Vec<AcceptedReport>>,
    fault: Mutex<Option<DutyFault>>,
}

/// A stand-in for the platform's receiver of duties, on loopback. It stops when dropped. It checks no fencing token.
#[derive(Debug)]
pub struct DutyPlatformStandin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

impl DutyPlatformStandin {
    /// Starts a receiver on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let of_handler = Arc::clone(&shared);
        let handler = move |request| handle(Arc::clone(&of_handler), request);
        let server = Server::start(handler).await?;
        Ok(Self { addr: server.addr(), shared, _server: server })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets or clears a fault.
    pub fn set_fault(&self, fault: Option<DutyFault>) {
        *self.shared.fault.lock() = fault;
    }

    /// Returns the accepted reports, in order.
    pub fn accepted(&self) -> Vec<AcceptedReport> {
        self.shared.accepted.lock().clone()
    }

    /// Returns how the accepted reports break the rules of a single holder, where holders must not act in turns
    /// within `lease`.
    pub fn violations(&self, lease: Duration) -> Vec<String> {
        let accepted = self.accepted();
        let mut violations = differing_reports(&accepted);
        violations.extend(order_violations(&accepted, lease));
        violations
    }
}

/// Returns the windows with two different reports.
pub fn differing_reports(accepted: &[AcceptedReport]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut first: BTreeMap<u64, &AcceptedReport> = BTreeMap::new();
    for report in accepted {
        if first.entry(report.window).or_insert(report).counts != report.counts {
            violations.push(format!("two reports of window {}", report.window));
        }
    }
    violations
}

/// Returns how the order of the reports breaks the rules of a single holder, where holders must not act in turns
/// within `lease`.
pub fn order_violations(accepted: &[AcceptedReport], lease: Duration) -> Vec<String> {
    let mut violations = two_holders(accepted);
    violations.extend(out_of_turn(accepted, lease));
    violations
}

/// Epochs of two holders, and epochs that go back.
fn two_holders(accepted: &[AcceptedReport]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut highest = 0;
    for report in accepted {
        if *holders.entry(report.epoch).or_insert(&report.holder) != report.holder {
            violations.push(format!("two holders of epoch {}", report.epoch));
        }
        if report.epoch < highest {
            violations.push(format!("epoch {} after {highest}", report.epoch));
        }
        highest = highest.max(report.epoch);
    }
    violations
}

/// Holders that act again within `lease` after another one has acted in between.
fn out_of_turn(accepted: &[AcceptedReport], lease: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    for (n, first) in accepted.iter().enumerate() {
        let later = accepted[n..].iter().take_while(|later| later.arrived - first.arrived < lease);
        let mut others = later.skip_while(|later| later.holder == first.holder);
        if others.any(|later| later.holder == first.holder) {
            violations.push(format!("{} acts out of turn", first.holder));
        }
    }
    violations
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let fault = *shared.fault.lock();
    match fault {
        Some(DutyFault::Status(status)) => return Ok(answer(status)),
        Some(DutyFault::Silent) => std::future::pending().await,
        Some(DutyFault::LoseAnswers) | None => {}
    }
    if (head.method, head.uri.path()) != (Method::POST, "/usage") {
        return Ok(answer(StatusCode::NOT_FOUND.as_u16()));
    }
    let Some(report) = read_report(&head.headers, &body) else {
        return Ok(answer(StatusCode::BAD_REQUEST.as_u16()));
    };
    shared.accepted.lock().push(report);
    if fault == Some(DutyFault::LoseAnswers) {
        return Err(io::Error::other("response dropped by a fault"));
    }
    Ok(answer(StatusCode::OK.as_u16()))
}

fn read_report(headers: &HeaderMap, body: &Bytes) -> Option<AcceptedReport> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let body: UsageBody = serde_json::from_slice(body).ok()?;
    Some(AcceptedReport {
        arrived: Instant::now(),
        holder: text("duty-holder")?.to_owned(),
        epoch: text("fence-token")?.parse().ok()?,
        window: body.window,
        counts: body.counts,
    })
}

fn answer(status: u16) -> Response<Body> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    response
}
