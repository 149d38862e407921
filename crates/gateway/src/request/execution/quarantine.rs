//! Requests during which upstreams have crashed: isolated from other requests, or not sent.

use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_policy::fatal::Disposition;

use super::Execution;
use crate::fatal::Trial;
use crate::request::AbandonReason;

/// `Retry-After` of a request that is quarantined for good: long, as nothing will have changed.
const QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Minimum `Retry-After` of a quarantined request whose trial is due: when the trial begins is not known.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Execution {
    /// Applies what is known of crashes during this request, and during others with the same parts in their prompts,
    /// before each attempt.
    ///
    /// Crashes count across all tries of a request. Where each try was judged alone, each crashed up to three
    /// more upstreams: 38 in a quarter of a minute, in whose worst ten seconds 228 of 233 long streams
    /// of other callers were not served.
    ///
    /// # Errors
    /// [`AbandonReason::HeldBack`] when the request is quarantined and has not run; [`AbandonReason::Lost`]
    /// when it is quarantined and may have run.
    pub(super) async fn check_crashes(&mut self) -> Result<(), AbandonReason> {
        self.isolation_seed = None;
        if !self.state.fatal.is_used() {
            return Ok(());
        }
        let now = self.state.now();
        let mut is_isolated = false;
        for (subject, disposition) in self.state.fatal.dispositions(now, self.call.crash_subjects())
        {
            match disposition {
                Disposition::Free => {}
                Disposition::Suspect => is_isolated |= !subject.is_part(),
                Disposition::HeldBack { .. } if self.is_on_trial(subject) => is_isolated = true,
                Disposition::HeldBack { due } => return Err(self.reject_quarantined(due)),
                Disposition::MayTry => {
                    self.begin_trial(subject).await?;
                    is_isolated = true;
                }
            }
        }
        self.isolation_seed = is_isolated.then(|| self.call.fingerprint().seed());
        Ok(())
    }

    fn is_on_trial(&self, subject: CrashSubject) -> bool {
        self.trials.iter().any(|trial| trial.subject() == subject)
    }

    async fn begin_trial(&mut self, subject: CrashSubject) -> Result<(), AbandonReason> {
        let is_first_attempt = self.progress.attempts() == 0;
        let trial = if is_first_attempt { Trial::begin(&self.state, subject).await } else { None };
        let Some(trial) = trial else {
            self.trials.clear();
            return Err(self.reject_quarantined(None));
        };
        self.trials.push(trial);
        Ok(())
    }

    fn reject_quarantined(&self, due: Option<MonoTime>) -> AbandonReason {
        if self.progress.may_have_run() {
            return AbandonReason::Lost;
        }
        let now = self.state.now();
        let retry_after =
            due.map_or(QUARANTINED_RETRY_AFTER, |due| due.since(now).max(UNKNOWN_RETRY_AFTER));
        AbandonReason::HeldBack { retry_after }
    }

    /// Records that the request got a complete response, which clears it of crashes.
    pub(in crate::request) fn record_response(&self) {
        if self.state.fatal.is_used() {
            let request = self.call.fingerprint().into();
            self.state.fatal.answered(self.state.now(), request);
        }
    }

    /// Records that a response was written for a while, or is complete, which clears the parts of the prompt.
    pub(in crate::request) fn record_survival(&self) {
        self.state.fatal.survived(self.state.now(), self.call.parts());
    }
}
