//! The task that performs the duties.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_policy::usage::Delivery;
use stallhoist_policy::usage::DutyStep;
use stallhoist_policy::usage::DutyWrite;
use stallhoist_policy::usage::UsageCall;
use stallhoist_policy::usage::WriteFailure;
use tokio::time::timeout;

use super::Duties;
use super::DutyCallError;
use super::DutyPlatform;
use super::state::Standing;
use crate::control_store::ControlStore;
use crate::control_store::ControlStoreError;
use crate::metrics::UsageResult;
use crate::state::GatewayState;

/// Bounds of the wait for the next step. The upper one limits how late a change of the agreed time is noticed.
const MIN_WAIT: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Interval of checks whether this gateway knows what its decisions need.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A call without an answer is repeated after this time: the platform accepts an exact repeat.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Performs the duties, forever. Returns at once if there are none.
pub(crate) async fn perform_duties<S: ControlStore>(
    state: Arc<GatewayState>,
    store: Arc<S>,
    platform: Option<Arc<dyn DutyPlatform>>,
) {
    let (Some(duties), Some(platform)) = (&state.duties, platform) else {
        return;
    };
    let performer =
        Performer { state: &state, duties, store: store.as_ref(), platform: &*platform };
    loop {
        if !state.is_synced() {
            tokio::time::sleep(SYNC_CHECK_INTERVAL).await;
            continue;
        }
        performer.step().await;
    }
}

#[derive(Debug)]
struct Performer<'a, S> {
    state: &'a GatewayState,
    duties: &'a Duties,
    store: &'a S,
    platform: &'a dyn DutyPlatform,
}

impl<S: ControlStore> Performer<'_, S> {
    async fn step(&self) {
        let step = self.duties.step(self.state.now(), self.standing());
        self.state.metrics.set_duties(self.duties.status(self.state.now()).as_ref());
        match step {
            DutyStep::Wait(wait) => {
                let _ = timeout(wait.clamp(MIN_WAIT, MAX_WAIT), self.duties.changed()).await;
            }
            DutyStep::Read => self.read().await,
            DutyStep::Write(write) => self.write(write).await,
            DutyStep::Send { call, within } => self.send(call, within).await,
        }
    }

    fn standing(&self) -> Standing {
        let is_leaving = self.state.is_leaving();
        let peers = self.state.peers.lock();
        Standing { rank: peers.duty_rank(), is_alone: peers.count() <= 1, is_leaving }
    }

    async fn read(&self) {
        let read = self.state.suspend_recovery.uninterrupted(self.store.read_duty()).await;
        let result = match read {
            Ok(stored) => Some((stored.version, stored.record)),
            Err(error) => {
                log::warn!(error:% = error; "failed to read the record of the usage reports");
                None
            }
        };
        let now = self.state.now();
        self.duties.update(now, |duty, unix| duty.on_read(now, unix, result));
    }

    async fn write(&self, write: DutyWrite) {
        let began = self.state.now();
        let writing = self.store.commit_duty(&write);
        let written = self.state.suspend_recovery.uninterrupted(writing).await;
        match &written {
            Ok(_) if write.left_out > 0 => {
                self.state.metrics.record_usage(UsageResult::LeftOut, write.left_out);
                log::warn!(windows = write.left_out; "windows without a usage report: not counted in time");
            }
            Ok(_) => {}
            Err(ControlStoreError::Conflict) => {
                log::info!("the record of the usage reports was changed by another gateway");
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to write the record of the usage reports");
            }
        }
        let now = self.state.now();
        let result = written.map_err(|error| write_failure(&error));
        self.duties.update(now, |duty, _| duty.on_written(now, began, write, result));
    }

    async fn send(&self, call: UsageCall, within: Duration) {
        let may_send = || !self.duties.time_left(self.state.now()).is_zero();
        let calling = self.platform.report_usage(&call, &may_send);
        let result = timeout(within.min(CALL_TIMEOUT), calling)
            .await
            .unwrap_or_else(|_| Err(DutyCallError::Unsettled("no answer in time".to_owned())));
        let window = call.report.window;
        let delivery = delivery(&result);
        match &result {
            Ok(()) => log::info!(window:% = window, epoch:% = call.epoch; "usage reported"),
            Err(error) => {
                log::warn!(
                    window:% = window,
                    epoch:% = call.epoch,
                    error:% = error;
                    "usage not reported"
                );
            }
        }
        self.state.metrics.record_usage(UsageResult::of(delivery), 1);
        let now = self.state.now();
        self.duties.update(now, |duty, _| duty.on_sent(now, window, delivery));
    }
}

fn write_failure(error: &ControlStoreError) -> WriteFailure {
    match error {
        ControlStoreError::Conflict => WriteFailure::Conflict,
        ControlStoreError::NotReached(_) | ControlStoreError::Refused(_) => WriteFailure::NotDone,
        ControlStoreError::Unsettled(_)
        | ControlStoreError::HistoryGone
        | ControlStoreError::Suspended => WriteFailure::Unknown,
    }
}

fn delivery(result: &Result<(), DutyCallError>) -> Delivery {
    match result {
        Ok(()) => Delivery::Delivered,
        Err(DutyCallError::Rejected(_)) => Delivery::Rejected,
        Err(_) => Delivery::Failed,
    }
}
