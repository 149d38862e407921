//! Continues a stream on another upstream after it broke, or while it is silent.

use std::time::Duration;

use super::AttemptResponse;
use super::Execution;
use crate::request::AbandonReason;
use crate::request::attempt::OpenStream;

/// How long a stream that another attempt is to replace stays open after that attempt was sent. An upstream that rejects
/// the attempt does so sooner, and one that accepts it may begin at once: two must not be at work for over 400 ms.
const HANDOVER_TIME: Duration = Duration::from_millis(200);

impl Execution {
    /// Resumes a broken stream on another upstream, after the last event that the caller has received.
    ///
    /// # Errors
    /// Fails when no attempt is left, or when none of them gives a stream.
    pub(crate) async fn resume(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Box<OpenStream>, AbandonReason> {
        self.resume_replacing(last_event, None).await
    }

    /// Continues a silent stream on another upstream. It stays open until an attempt may be at work on the request there,
    /// so that it can be waited for if there is none: see [`OpenStream::is_open`].
    ///
    /// # Errors
    /// Fails when there is no other upstream, no attempt is left, or none of them gives a stream.
    pub(crate) async fn resume_elsewhere(
        &mut self,
        last_event: Option<u64>,
        silent: &mut OpenStream,
    ) -> Result<Box<OpenStream>, AbandonReason> {
        self.tried.push(silent.incarnation.clone());
        if !self.has_another_upstream(&silent.incarnation) {
            return Err(AbandonReason::Lost);
        }
        self.resume_replacing(last_event, Some(silent)).await
    }

    async fn resume_replacing(
        &mut self,
        last_event: Option<u64>,
        replaced: Option<&mut OpenStream>,
    ) -> Result<Box<OpenStream>, AbandonReason> {
        self.last_event = last_event.or(self.last_event);
        if !self.may_retry() {
            return Err(AbandonReason::Lost);
        }
        match self.next_response(replaced).await? {
            AttemptResponse::Stream(stream) => Ok(stream),
            AttemptResponse::Whole(_) => Err(AbandonReason::Lost),
        }
    }
}

/// Closes a stream that an attempt is to replace once that attempt was sent `HANDOVER_TIME` ago. Does not return.
pub(super) async fn close_after_handover(replaced: Option<&mut OpenStream>) {
    if let Some(replaced) = replaced {
        tokio::time::sleep(HANDOVER_TIME).await;
        replaced.close();
    }
    std::future::pending().await
}
