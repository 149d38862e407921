//! Keeps one gateway running as the platform does: starts it again when it is gone, asks
//! whether it is ready, sends it signals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::violations::Violations;
use crate::gateway::world::readiness;
use crate::harness::Process;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stallhoist-gateway");

/// The time from the signal to stop until the process must have ended, and what a busy
/// machine is given besides.
pub(super) const GRACE: Duration = Duration::from_secs(8);
const GRACE_SLACK: Duration = Duration::from_secs(3);

const LOOK_EVERY: Duration = Duration::from_millis(20);
/// The platform asks once a second, and takes a process out after two misses.
const ASK_EVERY: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

/// What a gateway's process is to be done to.
#[derive(Debug, Clone, Copy)]
pub(super) enum Order {
    Kill,
    Terminate,
    Freeze(Duration),
    HangUp,
}

/// Where a gateway can be reached at present.
#[derive(Debug, Clone, Copy)]
pub(super) struct Addrs {
    pub(super) callers: SocketAddr,
    pub(super) readiness: SocketAddr,
    pub(super) operators: SocketAddr,
    /// Counts its processes, so that what is true of one life is told from another.
    pub(super) life: u64,
}

/// A time in which something unplanned went on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    pub(super) from: Instant,
    pub(super) to: Instant,
}

impl Span {
    pub(super) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}

/// What others see of a gateway.
#[derive(Debug)]
pub(super) struct Seat {
    pub(super) addrs: Mutex<Addrs>,
    /// Whether the platform sends new connections here.
    pub(super) is_in: Mutex<bool>,
    /// When it was killed or frozen.
    pub(super) troubles: Mutex<Vec<Span>>,
}

impl Seat {
    pub(super) fn is_troubled(&self, from: Instant, to: Instant) -> bool {
        self.troubles.lock().iter().any(|span| span.overlaps(from, to))
    }
}

/// Keeps one gateway running until it is dropped.
pub(super) struct Keeper {
    settings: Value,
    process: Process,
    seat: Arc<Seat>,
    terminated_at: Option<Instant>,
    wakes_at: Option<Instant>,
    violations: Violations,
}

impl Keeper {
    pub(super) fn start(settings: Value, violations: Violations) -> Self {
        let process = Process::start(PROGRAM, &settings.to_string());
        let seat = Arc::new(Seat {
            addrs: Mutex::new(addrs(&process, 1)),
            is_in: Mutex::new(true),
            troubles: Mutex::default(),
        });
        Self { settings, process, seat, terminated_at: None, wakes_at: None, violations }
    }

    pub(super) fn seat(&self) -> Arc<Seat> {
        Arc::clone(&self.seat)
    }

    /// Carries out orders until there can be no more, and then wakes what is frozen.
    pub(super) async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) -> Self {
        let mut looks = tokio::time::interval(LOOK_EVERY);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => self.carry_out(order),
                    None => break,
                },
                _ = looks.tick() => self.look(),
            }
        }
        while self.terminated_at.is_some() || self.wakes_at.is_some() {
            looks.tick().await;
            self.look();
        }
        self
    }

    fn carry_out(&mut self, order: Order) {
        let now = Instant::now();
        match order {
            Order::Kill => {
                self.process.kill();
                self.troubled(now, now);
                self.restart();
            }
            Order::Terminate if self.terminated_at.is_none() => {
                self.process.terminate();
                self.terminated_at = Some(now);
            }
            Order::Freeze(lasts) if self.wakes_at.is_none() => {
                self.process.freeze();
                self.wakes_at = Some(now + lasts);
                // Callers' packets of that time are handled just after it.
                self.troubled(now, now + lasts + Duration::from_secs(1));
            }
            Order::HangUp => self.process.hang_up(),
            // It is being done already.
            Order::Terminate | Order::Freeze(_) => {}
        }
    }

    fn look(&mut self) {
        let now = Instant::now();
        if self.wakes_at.is_some_and(|at| now >= at) {
            self.process.wake();
            self.wakes_at = None;
        }
        match (self.process.has_ended_well(), self.terminated_at) {
            (None, None) => {}
            (None, Some(at)) if now < at + GRACE + GRACE_SLACK => {}
            (None, Some(at)) => {
                if !self.seat.is_troubled(at, now) {
                    self.tell("a process that was told to stop did not end in its grace");
                }
                self.process.kill();
                self.restart();
            }
            (Some(true), Some(_)) => self.restart(),
            (Some(is_well), _) => {
                self.tell(&format!("a process ended by itself, well: {is_well}"));
                self.restart();
            }
        }
    }

    fn troubled(&self, from: Instant, to: Instant) {
        self.seat.troubles.lock().push(Span { from, to });
    }

    fn restart(&mut self) {
        self.terminated_at = None;
        self.wakes_at = None;
        let settings = self.settings.to_string();
        self.process = tokio::task::block_in_place(|| Process::start(PROGRAM, &settings));
        let mut known = self.seat.addrs.lock();
        *known = addrs(&self.process, known.life + 1);
    }

    fn tell(&self, what: &str) {
        let host = self.settings["host"]["id"].as_str().unwrap_or_default();
        self.violations.add(format!("{host}: {what}: {:?}", self.process.log().last()));
    }
}

/// Asks a gateway whether it is ready, as the platform does.
pub(super) async fn ask_readiness(seat: Arc<Seat>, http: reqwest::Client) {
    let mut asks = tokio::time::interval(ASK_EVERY);
    let mut misses = 0;
    loop {
        asks.tick().await;
        let addr = seat.addrs.lock().readiness.to_string();
        misses = if readiness(&http, &addr).await == 200 { 0 } else { misses + 1 };
        *seat.is_in.lock() = misses < MISSES;
    }
}

fn addrs(process: &Process, life: u64) -> Addrs {
    Addrs {
        callers: process.addr("callers_addr"),
        readiness: process.addr("readiness_addr"),
        operators: process.addr("operators_addr"),
        life,
    }
}
