//! Keeps one gateway running as the platform does: sends signals to its process, and starts
//! another one when it has ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::gateway_status::Addrs;
use super::gateway_status::GatewayStatus;
use super::period::Period;
use super::violations::Violations;
use crate::harness::Process;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stallhoist-gateway");

/// The time from the signal to stop until the process must have ended, and what a busy
/// machine is given besides.
pub(super) const GRACE: Duration = Duration::from_secs(8);
const GRACE_SLACK: Duration = Duration::from_secs(3);

/// How often it is checked whether the process has ended or is to be woken.
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// After a process wakes, it still handles what callers sent while it was frozen.
const CATCH_UP: Duration = Duration::from_secs(1);

/// A signal for a gateway's process.
#[derive(Debug, Clone, Copy)]
pub(super) enum Signal {
    Kill,
    Terminate,
    /// Stops the process for so long, and then lets it go on.
    Freeze(Duration),
    HangUp,
}

/// Keeps one gateway running until it is dropped.
pub(super) struct Supervisor {
    settings: Value,
    process: Process,
    status: Arc<GatewayStatus>,
    terminated_at: Option<Instant>,
    wakes_at: Option<Instant>,
    violations: Violations,
}

impl Supervisor {
    pub(super) fn start(number: usize, settings: Value, violations: Violations) -> Self {
        let process = Process::start(PROGRAM, &settings.to_string());
        let status = Arc::new(GatewayStatus::new(number, Addrs::of(&process, 1)));
        Self { settings, process, status, terminated_at: None, wakes_at: None, violations }
    }

    pub(super) fn status(&self) -> Arc<GatewayStatus> {
        Arc::clone(&self.status)
    }

    /// Sends signals until the channel is closed, then waits until the process is awake and
    /// none is stopping.
    pub(super) async fn run(mut self, mut signals: mpsc::UnboundedReceiver<Signal>) -> Self {
        let mut checks = tokio::time::interval(CHECK_EVERY);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                signal = signals.recv() => match signal {
                    Some(signal) => self.send(signal),
                    None => break,
                },
                _ = checks.tick() => self.check(),
            }
        }
        while self.terminated_at.is_some() || self.wakes_at.is_some() {
            checks.tick().await;
            self.check();
        }
        self
    }

    fn send(&mut self, signal: Signal) {
        let now = Instant::now();
        match signal {
            Signal::Kill => {
                self.process.kill();
                self.note_fault(now, now);
                self.restart();
            }
            Signal::Terminate if self.terminated_at.is_none() => {
                self.process.terminate();
                self.terminated_at = Some(now);
            }
            Signal::Freeze(lasts) if self.wakes_at.is_none() => {
                self.process.freeze();
                self.wakes_at = Some(now + lasts);
                self.note_fault(now, now + lasts + CATCH_UP);
            }
            Signal::HangUp => self.process.hang_up(),
            // The process is stopping, or frozen, already.
            Signal::Terminate | Signal::Freeze(_) => {}
        }
    }

    /// Wakes the process when it is time, and starts another one when it has ended.
    fn check(&mut self) {
        let now = Instant::now();
        if self.wakes_at.is_some_and(|at| now >= at) {
            self.process.wake();
            self.wakes_at = None;
        }
        match (self.process.has_exited_cleanly(), self.terminated_at) {
            (None, None) => {}
            (None, Some(at)) if now < at + GRACE + GRACE_SLACK => {}
            (None, Some(at)) => self.grace_is_over(at, now),
            (Some(true), Some(_)) => self.restart(),
            (Some(is_well), _) => {
                self.report(&format!("a process ended by itself, well: {is_well}"));
                self.restart();
            }
        }
    }

    fn grace_is_over(&mut self, terminated_at: Instant, now: Instant) {
        if !self.status.was_faulty(terminated_at, now) {
            self.report("a process that was told to stop did not end in its grace");
        }
        self.process.kill();
        self.restart();
    }

    fn note_fault(&self, from: Instant, to: Instant) {
        self.status.faults.lock().push(Period { from, to });
    }

    fn restart(&mut self) {
        self.terminated_at = None;
        self.wakes_at = None;
        let settings = self.settings.to_string();
        self.process = tokio::task::block_in_place(|| Process::start(PROGRAM, &settings));
        let mut addrs = self.status.addrs.lock();
        *addrs = Addrs::of(&self.process, addrs.generation + 1);
    }

    fn report(&self, what: &str) {
        let host = self.settings["host"]["id"].as_str().unwrap_or_default();
        self.violations.add(format!("{host}: {what}: {:?}", self.process.log().last()));
    }
}
