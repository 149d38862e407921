//! The addresses, rotation state and faults of a gateway across restarts of its process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use super::period::Period;
use crate::gateway::world::readiness;
use crate::harness::Process;

/// The platform polls readiness once a second and takes a gateway out of rotation after two misses.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSES: u32 = 2;

/// The addresses of a gateway's current process.
#[derive(Debug, Clone, Copy)]
pub(super) struct Addrs {
    pub(super) callers: SocketAddr,
    pub(super) readiness: SocketAddr,
    pub(super) operators: SocketAddr,
    /// Which of the gateway's processes this is, counted from 1.
    pub(super) generation: u64,
}

impl Addrs {
    pub(super) fn of(process: &Process, generation: u64) -> Self {
        Self {
            callers: process.addr("callers_addr"),
            readiness: process.addr("readiness_addr"),
            operators: process.addr("operators_addr"),
            generation,
        }
    }
}

/// State of a gateway that callers and checks share.
#[derive(Debug)]
pub(super) struct GatewayStatus {
    /// Its index in the fleet, from 0.
    pub(super) number: usize,
    pub(super) addrs: Mutex<Addrs>,
    /// Whether the platform sends new connections here.
    pub(super) is_in_rotation: Mutex<bool>,
    /// When it was killed or suspended.
    pub(super) faults: Mutex<Vec<Period>>,
}

impl GatewayStatus {
    pub(super) fn new(number: usize, addrs: Addrs) -> Self {
        Self {
            number,
            addrs: Mutex::new(addrs),
            is_in_rotation: Mutex::new(true),
            faults: Mutex::default(),
        }
    }

    /// Whether it was killed or suspended at any time from `from` to `to`.
    pub(super) fn was_faulty(&self, from: Instant, to: Instant) -> bool {
        self.faults.lock().iter().any(|period| period.overlaps(from, to))
    }
}

/// Polls the readiness of a gateway, as the platform does, and updates its rotation state.
pub(super) async fn poll_readiness(gateway: Arc<GatewayStatus>, http: reqwest::Client) {
    let mut polls = tokio::time::interval(POLL_INTERVAL);
    let mut misses = 0;
    loop {
        polls.tick().await;
        let addr = gateway.addrs.lock().readiness.to_string();
        misses = if readiness(&http, &addr).await == 200 { 0 } else { misses + 1 };
        *gateway.is_in_rotation.lock() = misses < MAX_MISSES;
    }
}
