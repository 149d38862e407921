//! Keeps one gateway running as the platform does: sends signals to its process and restarts it
//! after it has exited.

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

/// The time within which a process must exit after the signal to stop, and the tolerance for a busy
/// machine.
pub(super) const STOP_GRACE: Duration = Duration::from_secs(8);
const GRACE_SLACK: Duration = Duration::from_secs(3);

/// The interval of checks for an exited process, or for one to resume.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time after a resume in which the process handles requests sent while it was suspended. It
/// counts as faulty meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// A signal for a gateway's process.
#[derive(Debug, Clone, Copy)]
pub(super) enum Signal {
    Kill,
    Terminate,
    /// Suspends the process for this time.
    Freeze(Duration),
    HangUp,
}

/// Keeps one gateway running until it is dropped.
pub(super) struct Supervisor {
    settings: Value,
    process: Process,
    status: Arc<GatewayStatus>,
    terminated_at: Option<Instant>,
    resume_at: Option<Instant>,
    violations: Violations,
}

impl Supervisor {
    pub(super) fn start(number: usize, settings: Value, violations: Violations) -> Self {
        let process = Process::start(PROGRAM, &settings.to_string());
        let status = Arc::new(GatewayStatus::new(number, Addrs::of(&process, 1)));
        Self { settings, process, status, terminated_at: None, resume_at: None, violations }
    }

    pub(super) fn status(&self) -> Arc<GatewayStatus> {
        Arc::clone(&self.status)
    }

    /// Sends signals until the channel is closed, then waits until the process is neither suspended
    /// nor stopping.
    pub(super) async fn run(mut self, mut signals: mpsc::UnboundedReceiver<Signal>) -> Self {
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
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
        while self.terminated_at.is_some() || self.resume_at.is_some() {
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
                self.record_fault(now, now);
                self.restart();
            }
            Signal::Terminate if self.terminated_at.is_none() => {
                self.process.terminate();
                self.terminated_at = Some(now);
            }
            Signal::Freeze(duration) if self.resume_at.is_none() => {
                self.process.freeze();
                self.resume_at = Some(now + duration);
                self.record_fault(now, now + duration + CATCH_UP_TIME);
            }
            Signal::HangUp => self.process.hang_up(),
            // The process is already stopping or suspended.
            Signal::Terminate | Signal::Freeze(_) => {}
        }
    }

    /// Resumes the process when its suspension is over, and restarts it when it has exited.
    fn check(&mut self) {
        let now = Instant::now();
        if self.resume_at.is_some_and(|at| now >= at) {
            self.process.wake();
            self.resume_at = None;
        }
        match (self.process.has_exited_cleanly(), self.terminated_at) {
            (None, None) => {}
            (None, Some(at)) if now < at + STOP_GRACE + GRACE_SLACK => {}
            (None, Some(at)) => self.stop_overran(at, now),
            (Some(true), Some(_)) => self.restart(),
            (Some(exited_cleanly), _) => {
                self.report(&format!(
                    "a process exited without a stop request, cleanly: {exited_cleanly}"
                ));
                self.restart();
            }
        }
    }

    fn stop_overran(&mut self, terminated_at: Instant, now: Instant) {
        if !self.status.was_faulty(terminated_at, now) {
            self.report("a process did not exit within the grace period after a stop request");
        }
        self.process.kill();
        self.restart();
    }

    fn record_fault(&self, from: Instant, to: Instant) {
        self.status.faults.lock().push(Period { from, to });
    }

    fn restart(&mut self) {
        self.terminated_at = None;
        self.resume_at = None;
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
