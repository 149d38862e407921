//! What callers and checks know of a gateway while its processes come and go.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use super::period::Period;
use crate::gateway::world::readiness;
use crate::harness::Process;

/// The platform asks once a second, and takes a gateway out of rotation after two misses.
const POLL_EVERY: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

/// Where the current process of a gateway can be reached.
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

/// What callers and checks know of a gateway.
#[derive(Debug)]
pub(super) struct GatewayStatus {
    /// Its place in the fleet, from 0.
    pub(super) number: usize,
    pub(super) addrs: Mutex<Addrs>,
    /// Whether the platform sends new connections here.
    pub(super) is_in_rotation: Mutex<bool>,
    /// When it was killed or frozen.
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

    /// Whether it was killed or frozen at any time from `from` to `to`.
    pub(super) fn was_faulty(&self, from: Instant, to: Instant) -> bool {
        self.faults.lock().iter().any(|period| period.overlaps(from, to))
    }
}

/// Asks a gateway whether it is ready, as the platform does.
pub(super) async fn poll_readiness(gateway: Arc<GatewayStatus>, http: reqwest::Client) {
    let mut polls = tokio::time::interval(POLL_EVERY);
    let mut misses = 0;
    loop {
        polls.tick().await;
        let addr = gateway.addrs.lock().readiness.to_string();
        misses = if readiness(&http, &addr).await == 200 { 0 } else { misses + 1 };
        *gateway.is_in_rotation.lock() = misses < MISSES;
    }
}
